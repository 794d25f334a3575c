"""The lessor: the instance that assigns, grants, renews and moves key ranges."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import lease_renewal
from goldcresthall.ranges import lease_table
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import range_rebalancer
from goldcresthall.ranges import retained_tables
from goldcresthall.ranges import table_sizes
from goldcresthall.ranges import transitions
from goldcresthall.store import client
from goldcresthall.store import positions

if TYPE_CHECKING:
    from goldcresthall.admission import range_admissions
    from goldcresthall.core import deployment
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import load_statistics

LEASE_DURATION_S = 3.0
AUTHORITY_S = 6.0
# A successor waits longer than the authority lasts: a grant takes time from the last check of the
# authority to the server.
PREDECESSOR_WAIT_S = AUTHORITY_S + 0.5
STEP_INTERVAL_S = 0.1
CONFIRM_INTERVAL_S = 1.0
CONFIRM_RETRY_INTERVAL_S = 0.3
STORE_LOST_AFTER_S = 1.2


class LessorTerm:
    """One term of an instance as the lessor.

    Four rules ensure that a key has at most one holder:

    * A range gets a new owner only after the previous owner released it, or after
      every lease that any lessor may have granted to it has expired. Before a release the
      owner acknowledges the latest fencing token by a response that cannot be a copy of an
      earlier one, so that it rejects any grant that it has yet to execute.
    * A new owner is recorded in the store before it is granted anything.
    * No grant is sent when the last confirmation from the store is older than
      `AUTHORITY_S`. A successor waits `PREDECESSOR_WAIT_S` for the grants of earlier
      lessors, unless all of them have stopped granting before.
    * While an earlier lessor may still grant, no range changes hands. The higher fencing
      token of the takeover stops its renewals only at servers that know the token, not at
      a server that has started again since, which could hold what it had released before.
      Draining owners keep their ranges until then. Only ranges that the acquired table
      gives to no server may be assigned: an earlier lessor left them free by these rules.

    When the store comes back from a copy, the term ends. This instance takes over again with the
    table that it knows, if its authority lasts until then; see `retained_tables`.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    own
        Identity and address of this instance.
    acquired_table
        Table that this instance wrote to take over, with its offset.
    max_lease_s
        Upper bound for the lease duration in seconds.
    began_at_s
        Reading of the clock before that write, from which the authority lasts. The process may
        have been suspended until it saw the response.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        own: key_ranges.LessorIdentity,
        acquired_table: key_ranges.StoredTable,
        max_lease_s: float,
        began_at_s: float,
    ) -> None:
        self._context = context
        self._own = own
        self._table = acquired_table
        self._sizes = table_sizes.TableSizes(
            context.max_record_bytes, len(ownership_tables.encode(acquired_table.table))
        )
        self._is_over = False
        self._retained: retained_tables.RetainedTable | None = None
        now_s = context.clock.read_s()
        has_predecessors = bool(acquired_table.table.predecessors)
        self._predecessors_end_at_s = now_s + (PREDECESSOR_WAIT_S if has_predecessors else 0.0)
        self._has_lost_records = key_ranges.UNKNOWN_LESSOR in acquired_table.table.predecessors
        self._confirmed_at_s = began_at_s
        self._attempted_at_s = began_at_s
        self._failing_since_s: float | None = None
        self._leases = lease_table.LeaseTable(
            min(LEASE_DURATION_S, max_lease_s), acquired_table.offset
        )
        self._leases.extend_authority(began_at_s + AUTHORITY_S)
        for assignment in acquired_table.table.assignments:
            self._leases.add(transitions.resume(assignment))
        self._renewers = lease_renewal.LeaseRenewers(
            context.channel, context.directory, context.clock, self._leases, context.start_loop
        )
        self._rebalancer = range_rebalancer.RangeRebalancer(context, self._leases, self._renewers)

    @property
    def term(self) -> int:
        """Position of the record with which this instance took over."""
        return self._leases.term

    @property
    def is_over(self) -> bool:
        """Whether the term has ended."""
        return self._is_over

    @property
    def retained(self) -> retained_tables.RetainedTable | None:
        """The table at the end of the term, if it ended because the store lost records."""
        return self._retained

    @property
    def has_store(self) -> bool:
        """Whether the store is reachable or failed for less than `STORE_LOST_AFTER_S`."""
        since_s = self._failing_since_s
        return since_s is None or self._context.clock.read_s() - since_s < STORE_LOST_AFTER_S

    @property
    def predecessors(self) -> tuple[key_ranges.LessorIdentity, ...]:
        """Earlier lessors that may still renew leases."""
        return self._table.table.predecessors

    @property
    def awaits_predecessors(self) -> bool:
        """Whether an earlier lessor may still renew leases now."""
        return (
            bool(self.predecessors) and self._context.clock.read_s() < self._predecessors_end_at_s
        )

    @property
    def admissions(self) -> tuple[range_admissions.RangeAdmission, ...]:
        """Ranges whose owners are overloaded, with the share of requests to admit."""
        return self._rebalancer.admissions

    @property
    def statistics(self) -> load_statistics.LoadStatistics:
        """Request rates and service times reported in this term."""
        return self._rebalancer.statistics

    @property
    def leases(self) -> lease_table.LeaseTable:
        """The leases of this term."""
        return self._leases

    def end_predecessor_wait(self) -> None:
        """End the wait for earlier lessors once all of them have stopped granting."""
        self._predecessors_end_at_s = min(self._predecessors_end_at_s, self._context.clock.read_s())

    def step_down(self, timeout_s: float) -> bool:
        """End the term; return whether no grant is in flight after `timeout_s` seconds."""
        self._is_over = True
        self._renewers.stop()
        return self._leases.close(timeout_s)

    def hand_over(self) -> bool:
        """End the term and record that in the store, so that a successor need not wait.

        Records nothing if a grant is still in flight.

        Returns
        -------
        bool
            `False` if the store is unreachable. The term goes on then, because no successor
            could take over and the leases would expire.
        """
        changes = self._context.store.read_changes(
            ownership_tables.TOPIC, self._table.offset + 1, 0.0
        )
        if isinstance(changes, client.StoreFailed):
            return False
        if not self.step_down(timeout_s=1.0):
            return True
        planned = self._plan_handover(changes)
        outcome = self._context.store.write(
            ownership_tables.TOPIC,
            ownership_tables.KEY,
            ownership_tables.encode(dataclasses.replace(planned.table, lessor=None)),
            planned.offset,
        )
        logging.info(
            "lessor of term %s handed over, outcome of the write: %s",
            positions.describe(self.term),
            outcome,
        )
        return True

    def _plan_handover(self, changes: client.ReadOutcome) -> key_ranges.StoredTable:
        """Return the table to hand over; in a later era of the store, one for that era."""
        table = self._create_table(())
        if isinstance(changes, client.RecordsExpired):
            copied = ownership_tables.read(self._context.store)
            if copied is not None and ownership_tables.is_from_copy(copied):
                retained = retained_tables.RetainedTable(table, self._confirmed_at_s + AUTHORITY_S)
                return retained.restore(self._context, self._own, copied)
        return key_ranges.StoredTable(self._table.offset + 1, table)

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """Run the lessor's steps until the term ends."""
        while not stop_signal.is_set and not self._is_over:
            self.step()
            stop_signal.wait(STEP_INTERVAL_S)

    def step(self) -> None:
        """Confirm the term if due, plan changes and record them in the store."""
        self._confirm()
        self._renewers.update_owners(self._list_owners())
        self._rebalancer.plan(
            range_rebalancer.PlanningConstraints(
                self.has_store,
                self._predecessors_end_at_s,
                self._sizes.may_split,
                may_be_held=self._may_be_held(),
            )
        )
        self._write_decisions()

    def _may_be_held(self) -> bool:
        """Return whether servers may hold ranges of which the store has lost the record."""
        last_grant_s = self._predecessors_end_at_s
        expiry_s = range_leases.find_expiry_s(last_grant_s, self._leases.lease_s)
        return self._has_lost_records and self._context.clock.read_s() < expiry_s

    def _confirm(self) -> None:
        """Check the store for a takeover if due; extends the authority if there is none."""
        now_s = self._context.clock.read_s()
        is_failing = self._failing_since_s is not None
        interval_s = CONFIRM_RETRY_INTERVAL_S if is_failing else CONFIRM_INTERVAL_S
        if now_s - max(self._confirmed_at_s, self._attempted_at_s) < interval_s:
            return
        self._attempted_at_s = now_s
        outcome = self._context.store.read_changes(
            ownership_tables.TOPIC, self._table.offset + 1, 0.0
        )
        if isinstance(outcome, client.StoreFailed):
            self._record_store_failure(now_s)
        elif _is_unchanged(outcome):
            self._record_confirmation(now_s)
        else:
            self._check_stored_table(now_s)

    def _record_store_failure(self, now_s: float) -> None:
        if self._failing_since_s is None:
            logging.warning("lessor of term %d: store unreachable, step confirm", self.term)
            self._failing_since_s = now_s

    def _record_confirmation(self, began_at_s: float) -> None:
        self._confirmed_at_s = began_at_s
        self._failing_since_s = None
        self._leases.extend_authority(began_at_s + AUTHORITY_S)

    def _check_stored_table(self, now_s: float) -> None:
        """Read the stored table and end the term unless this term wrote it."""
        outcome = self._context.store.read_newest(ownership_tables.TOPIC)
        if isinstance(outcome, client.StoreFailed):
            self._record_store_failure(now_s)
            return
        if positions.find_era(outcome.end_offset) != positions.find_era(self.term):
            self._end_for_later_era()
            return
        record = ownership_tables.find_latest(outcome.records)
        if record is None:
            self._end_term("the ownership table is missing")
            return
        try:
            stored = ownership_tables.decode(record)
        except ownership_tables.UnreadableTableError as error:
            self._end_term(f"the ownership table cannot be decoded: {error}")
            return
        if stored.table.lessor != self._own:
            self._end_term(f"{stored.table.lessor} took over")
        elif stored.offset != self._table.offset:
            self._adopt_stored(stored)
            self._record_confirmation(now_s)
        else:
            self._record_confirmation(now_s)

    def _end_for_later_era(self) -> None:
        """End the term, whose records the store may have lost, and retain its table."""
        self._end_term("the store came back from a copy")
        self._retained = retained_tables.RetainedTable(
            self._create_table(()), self._confirmed_at_s + AUTHORITY_S
        )

    def _end_term(self, reason: str) -> None:
        logging.info("lessor of term %s steps down: %s", positions.describe(self.term), reason)
        self.step_down(timeout_s=0.0)

    def _list_owners(self) -> frozenset[deployment.ServerIncarnation]:
        leases = self._leases.snapshot().leases.values()
        return frozenset(lease.owner for lease in leases if lease.owner is not None)

    def _write_decisions(self) -> None:
        """Write new owners and fencing tokens to the store, then mark them as due for a grant."""
        self._rebalancer.drop_unusable_targets()
        leases = self._leases.snapshot().leases
        decided_ids = tuple(
            lease_id for lease_id, lease in leases.items() if transitions.needs_recording(lease)
        )
        if not decided_ids or self._is_over or self._failing_since_s is not None:
            return
        began_at_s = self._context.clock.read_s()
        expected = self._table.offset + 1
        table = self._create_table(decided_ids)
        encoded = ownership_tables.encode(table)
        if not self._sizes.fits(self._table.table, table, len(encoded)):
            return
        outcome = self._context.store.write(
            ownership_tables.TOPIC, ownership_tables.KEY, encoded, expected
        )
        if isinstance(outcome, client.Written):
            self._table = key_ranges.StoredTable(outcome.offset, table)
            self._sizes.record_written(len(encoded))
            self._record_confirmation(began_at_s)
            for lease_id in decided_ids:
                self._leases.update(lease_id, functools.partial(transitions.assign, outcome.offset))
            return
        logging.warning("ownership table not written, step write: %s", outcome)
        if isinstance(outcome, client.OffsetConflict):
            self._check_stored_table(began_at_s)
        else:
            self._record_store_failure(began_at_s)

    def _create_table(self, decided_ids: tuple[int, ...]) -> key_ranges.OwnershipTable:
        fence = self._table.offset + 1
        assignments = []
        for lease_id, lease in sorted(self._leases.snapshot().leases.items()):
            changed = transitions.assign(fence, lease) if lease_id in decided_ids else lease
            if changed is not None and changed.owner is not None:
                assignments.append(
                    key_ranges.RangeAssignment(
                        changed.service, changed.keys, changed.owner, changed.fence
                    )
                )
        has_wait_ended = self._context.clock.read_s() >= self._predecessors_end_at_s
        return key_ranges.OwnershipTable(
            lessor=self._own,
            term=self.term,
            revision=self._leases.create_view().revision,
            predecessors=() if has_wait_ended else self._table.table.predecessors,
            assignments=tuple(assignments),
        )

    def _adopt_stored(self, stored: key_ranges.StoredTable) -> None:
        """Adopt a table of this term whose write was not acknowledged."""
        self._table = stored
        by_keys = {
            (assignment.service, assignment.keys): assignment
            for assignment in stored.table.assignments
        }
        for lease_id, lease in self._leases.snapshot().leases.items():
            assignment = by_keys.get((lease.service, lease.keys))
            if (
                assignment is not None
                and transitions.needs_recording(lease)
                and assignment.fence == stored.offset
            ):
                self._leases.update(
                    lease_id,
                    functools.partial(transitions.assign_to, assignment.owner, stored.offset),
                )


def _is_unchanged(outcome: client.ReadOutcome) -> bool:
    """Return whether a read from the end of the table on proves that nothing was written since."""
    return isinstance(outcome, client.Records) and not outcome.records and outcome.is_caught_up
