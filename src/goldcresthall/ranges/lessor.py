"""The lessor: the instance that decides on owners, grants, renews and moves."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import lease_renewal
from goldcresthall.ranges import lease_table
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import range_rebalancer
from goldcresthall.ranges import transitions
from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import load_statistics

LEASE_S = 3.0
AUTHORITY_S = 6.0
TICK_S = 0.1
CONFIRM_INTERVAL_S = 1.0
CONFIRM_RETRY_S = 0.3
STORE_LOST_AFTER_S = 1.2


class LessorTerm:
    """One tenure of an instance as the lessor.

    Safety rests on three rules. A range gets another owner only when the last one
    gave it back under its latest fencing token, or when every grant that anyone may
    have sent it has run out. A new owner stands in the store before it is granted
    anything. Nothing is granted on a reading of the store that is older than
    `AUTHORITY_S`, which is how long a successor waits for an earlier lessor.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        own: key_ranges.LessorIdentity,
        taken_over: key_ranges.StoredTable,
        max_lease_s: float,
    ) -> None:
        self._context = context
        self._own = own
        self._table = taken_over
        self._is_over = False
        now_s = context.clock.read_s()
        has_predecessors = bool(taken_over.table.predecessors)
        self._predecessors_end_at_s = now_s + (AUTHORITY_S if has_predecessors else 0.0)
        self._confirmed_at_s = now_s
        self._asked_at_s = now_s
        self._failing_since_s: float | None = None
        self._leases = lease_table.LeaseTable(min(LEASE_S, max_lease_s), taken_over.offset)
        self._leases.extend_authority(now_s + AUTHORITY_S)
        for assigned in taken_over.table.assignments:
            self._leases.add(transitions.resume(assigned))
        self._renewers = lease_renewal.LeaseRenewers(
            context.channel, context.directory, context.clock, self._leases, context.start_task
        )
        self._rebalancer = range_rebalancer.RangeRebalancer(context, self._leases, self._renewers)

    @property
    def term(self) -> int:
        """Offset of the record by which it took over."""
        return self._leases.term

    @property
    def is_over(self) -> bool:
        """Whether the tenure has ended."""
        return self._is_over

    @property
    def has_store(self) -> bool:
        """Whether the store answered lately."""
        since_s = self._failing_since_s
        return since_s is None or self._context.clock.read_s() - since_s < STORE_LOST_AFTER_S

    @property
    def predecessors(self) -> tuple[key_ranges.LessorIdentity, ...]:
        """Earlier lessors that may still renew."""
        return self._table.table.predecessors

    @property
    def awaits_predecessors(self) -> bool:
        """Whether an earlier lessor may still renew."""
        return (
            bool(self.predecessors) and self._context.clock.read_s() < self._predecessors_end_at_s
        )

    @property
    def statistics(self) -> load_statistics.LoadStatistics:
        """Heat and speeds that are reported to it."""
        return self._rebalancer.statistics

    @property
    def leases(self) -> lease_table.LeaseTable:
        """Its holdings."""
        return self._leases

    def end_predecessor_wait(self) -> None:
        """Note that no earlier lessor renews any more."""
        self._predecessors_end_at_s = min(self._predecessors_end_at_s, self._context.clock.read_s())

    def step_down(self, timeout_s: float) -> bool:
        """End the tenure; return whether no grant is on its way any more."""
        self._is_over = True
        self._renewers.stop()
        return self._leases.close(timeout_s)

    def hand_over(self) -> None:
        """End the tenure and say so in the store, so that a successor need not wait."""
        if not self.step_down(timeout_s=1.0):
            return
        table = self._create_table(())
        table = dataclasses.replace(table, lessor=None)
        outcome = self._context.store.write(
            ownership_tables.TOPIC,
            ownership_tables.KEY,
            ownership_tables.encode(table),
            self._table.offset + 1,
        )
        logging.info("lessor of term %d handed over: %s", self.term, outcome)

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """Do the lessor's work until the tenure ends."""
        while not stop_signal.is_set and not self._is_over:
            self.step()
            stop_signal.wait(TICK_S)

    def step(self) -> None:
        """Do what is due now."""
        self._confirm()
        self._renewers.update_owners(self._list_owners())
        self._rebalancer.plan(
            range_rebalancer.PlanningConstraints(self.has_store, self._predecessors_end_at_s)
        )
        self._record()

    def _confirm(self) -> None:
        """Read the store now and then, to go on only while nobody took over."""
        now_s = self._context.clock.read_s()
        is_failing = self._failing_since_s is not None
        interval_s = CONFIRM_RETRY_S if is_failing else CONFIRM_INTERVAL_S
        if now_s - max(self._confirmed_at_s, self._asked_at_s) < interval_s:
            return
        self._asked_at_s = now_s
        outcome = self._context.store.read_changes(
            ownership_tables.TOPIC, self._table.offset + 1, 0.0
        )
        if isinstance(outcome, client.StoreFailed):
            self._note_store_failed(now_s)
        elif isinstance(outcome, client.Records) and not outcome.records:
            self._note_confirmed(now_s)
        else:
            self._reread(now_s)

    def _note_store_failed(self, now_s: float) -> None:
        if self._failing_since_s is None:
            logging.warning("lessor of term %d: store lost, step confirm", self.term)
            self._failing_since_s = now_s

    def _note_confirmed(self, read_began_at_s: float) -> None:
        self._confirmed_at_s = read_began_at_s
        self._failing_since_s = None
        self._leases.extend_authority(read_began_at_s + AUTHORITY_S)

    def _reread(self, now_s: float) -> None:
        """Find out whether what stands in the store is this tenure's."""
        outcome = self._context.store.read_newest(ownership_tables.TOPIC)
        if isinstance(outcome, client.StoreFailed):
            self._note_store_failed(now_s)
            return
        record = ownership_tables.find_latest(outcome.records)
        if record is None:
            self._end_tenure("the table is gone")
            return
        try:
            stored = ownership_tables.decode(record)
        except ownership_tables.UnreadableTableError as error:
            self._end_tenure(f"the table cannot be read: {error}")
            return
        if stored.table.lessor != self._own:
            self._end_tenure(f"{stored.table.lessor} took over")
        elif stored.offset != self._table.offset:
            self._adopt(stored)
            self._note_confirmed(now_s)
        else:
            self._note_confirmed(now_s)

    def _end_tenure(self, reason: str) -> None:
        logging.info("lessor of term %d steps down: %s", self.term, reason)
        self.step_down(timeout_s=0.0)

    def _list_owners(self) -> frozenset[deployment.ServerIncarnation]:
        held = self._leases.snapshot().leases.values()
        return frozenset(item.owner for item in held if item.owner is not None)

    def _record(self) -> None:
        """Write new owners and fences to the store, then have them granted."""
        held = self._leases.snapshot().leases
        decided = tuple(
            lease_id for lease_id, item in held.items() if transitions.needs_recording(item)
        )
        if not decided or self._is_over or self._failing_since_s is not None:
            return
        began_at_s = self._context.clock.read_s()
        expected = self._table.offset + 1
        table = self._create_table(decided)
        outcome = self._context.store.write(
            ownership_tables.TOPIC, ownership_tables.KEY, ownership_tables.encode(table), expected
        )
        if isinstance(outcome, client.Written):
            self._table = key_ranges.StoredTable(outcome.offset, table)
            self._note_confirmed(began_at_s)
            for lease_id in decided:
                self._leases.update(lease_id, functools.partial(transitions.assign, outcome.offset))
            return
        logging.warning("table not written, step write: %s", outcome)
        if isinstance(outcome, client.OffsetConflict):
            self._reread(began_at_s)
        else:
            self._note_store_failed(began_at_s)

    def _create_table(self, decided: tuple[int, ...]) -> key_ranges.OwnershipTable:
        fence = self._table.offset + 1
        assignments = []
        for lease_id, item in sorted(self._leases.snapshot().leases.items()):
            changed = transitions.assign(fence, item) if lease_id in decided else item
            if changed is not None and changed.owner is not None:
                assignments.append(
                    key_ranges.RangeAssignment(
                        changed.service, changed.keys, changed.owner, changed.fence
                    )
                )
        settled = self._context.clock.read_s() >= self._predecessors_end_at_s
        return key_ranges.OwnershipTable(
            lessor=self._own,
            term=self.term,
            revision=self._leases.create_view().revision,
            predecessors=() if settled else self._table.table.predecessors,
            assignments=tuple(assignments),
        )

    def _adopt(self, stored: key_ranges.StoredTable) -> None:
        """Adopt a table of this tenure whose write had no answer."""
        self._table = stored
        by_keys = {(item.service, item.keys): item for item in stored.table.assignments}
        for lease_id, item in self._leases.snapshot().leases.items():
            assigned = by_keys.get((item.service, item.keys))
            if (
                assigned is not None
                and transitions.needs_recording(item)
                and assigned.fence == stored.offset
            ):
                self._leases.update(
                    lease_id,
                    functools.partial(transitions.assign_to, assigned.owner, stored.offset),
                )
