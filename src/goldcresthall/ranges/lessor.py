"""The lessor: the instance that decides on owners, grants, renews and moves."""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.gateway import directory
from goldcresthall.kernel import clock
from goldcresthall.kernel import tasks
from goldcresthall.ranges import avoidance
from goldcresthall.ranges import book
from goldcresthall.ranges import grants
from goldcresthall.ranges import heat
from goldcresthall.ranges import holdings
from goldcresthall.ranges import keepers
from goldcresthall.ranges import planner
from goldcresthall.ranges import tables
from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.core import deployment

HOLD_S = 3.0
AUTHORITY_S = 6.0
TICK_S = 0.1
BALANCE_INTERVAL_S = 0.4
CONFIRM_INTERVAL_S = 1.0
CONFIRM_RETRY_S = 0.3
LOST_AFTER_S = 1.0
STORE_LOST_AFTER_S = 1.2
ANNOUNCE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Duties:
    """What a lessor needs to do its work."""

    store: client.StoreClient
    channel: grants.GrantChannel
    directory: directory.Directory
    clock: clock.Clock
    start_task: tasks.TaskStarter = tasks.start


class Lessor:
    """One tenure of an instance as the lessor.

    Safety rests on three rules. A range gets another owner only when the last one
    gave it back under its latest fencing token, or when every grant that anyone may
    have sent it has run out. A new owner stands in the store before it is granted
    anything. Nothing is granted on a reading of the store that is older than
    `AUTHORITY_S`, which is how long a successor waits for an earlier lessor.
    """

    def __init__(
        self,
        duties: Duties,
        own: key_ranges.Lessor,
        taken_over: key_ranges.StoredTable,
        longest_hold_s: float,
    ) -> None:
        self._duties = duties
        self._own = own
        self._table = taken_over
        self._heat = heat.ServiceHeat()
        self._avoided = avoidance.AvoidedServers()
        self._is_over = False
        now_s = duties.clock.read_s()
        has_predecessors = bool(taken_over.table.predecessors)
        self._others_end_at_s = now_s + (AUTHORITY_S if has_predecessors else 0.0)
        self._confirmed_at_s = now_s
        self._asked_at_s = now_s
        self._failing_since_s: float | None = None
        self._balanced_at_s = now_s
        self._book = book.HoldingBook(min(HOLD_S, longest_hold_s), taken_over.offset)
        self._book.extend_authority(now_s + AUTHORITY_S)
        for assigned in taken_over.table.assignments:
            self._book.add(_resume(assigned))
        self._keepers = keepers.Keepers(
            duties.channel, duties.directory, duties.clock, self._book, duties.start_task
        )

    @property
    def term(self) -> int:
        """Offset of the record by which it took over."""
        return self._book.term

    @property
    def is_over(self) -> bool:
        """Whether the tenure has ended."""
        return self._is_over

    @property
    def has_store(self) -> bool:
        """Whether the store answered lately."""
        since_s = self._failing_since_s
        return since_s is None or self._duties.clock.read_s() - since_s < STORE_LOST_AFTER_S

    @property
    def predecessors(self) -> tuple[key_ranges.Lessor, ...]:
        """Earlier lessors that may still renew."""
        return self._table.table.predecessors

    @property
    def awaits_predecessors(self) -> bool:
        """Whether an earlier lessor may still renew."""
        return bool(self.predecessors) and self._duties.clock.read_s() < self._others_end_at_s

    @property
    def heat(self) -> heat.ServiceHeat:
        """Heat and speeds that are reported to it."""
        return self._heat

    @property
    def book(self) -> book.HoldingBook:
        """Its holdings."""
        return self._book

    def settle_predecessors(self) -> None:
        """Note that no earlier lessor renews any more."""
        self._others_end_at_s = min(self._others_end_at_s, self._duties.clock.read_s())

    def step_down(self, timeout_s: float) -> bool:
        """End the tenure; return whether no grant is on its way any more."""
        self._is_over = True
        self._keepers.stop()
        return self._book.close(timeout_s)

    def hand_over(self) -> None:
        """End the tenure and say so in the store, so that a successor need not wait."""
        if not self.step_down(timeout_s=1.0):
            return
        table = self._create_table(())
        table = dataclasses.replace(table, lessor=None)
        outcome = self._duties.store.write(
            tables.TOPIC, tables.KEY, tables.encode(table), self._table.offset + 1
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
        self._keepers.adopt(self._list_owners())
        self._plan()
        self._record()

    def _confirm(self) -> None:
        """Read the store now and then, to go on only while nobody took over."""
        now_s = self._duties.clock.read_s()
        is_failing = self._failing_since_s is not None
        interval_s = CONFIRM_RETRY_S if is_failing else CONFIRM_INTERVAL_S
        if now_s - max(self._confirmed_at_s, self._asked_at_s) < interval_s:
            return
        self._asked_at_s = now_s
        outcome = self._duties.store.read_changes(tables.TOPIC, self._table.offset + 1, 0.0)
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
        self._book.extend_authority(read_began_at_s + AUTHORITY_S)

    def _reread(self, now_s: float) -> None:
        """Find out whether what stands in the store is this tenure's."""
        outcome = self._duties.store.read_newest(tables.TOPIC)
        if isinstance(outcome, client.StoreFailed):
            self._note_store_failed(now_s)
            return
        record = tables.find_latest(outcome.records)
        if record is None:
            self._end_tenure("the table is gone")
            return
        try:
            stored = tables.decode(record)
        except tables.UnreadableTableError as error:
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

    def _list_owners(self) -> frozenset[deployment.ServerLife]:
        held = self._book.snapshot().holdings.values()
        return frozenset(item.owner for item in held if item.owner is not None)

    def _plan(self) -> None:
        configuration = self._duties.directory.configuration
        if configuration is None or not self._duties.directory.servers.by_name:
            return
        now_s = self._duties.clock.read_s()
        is_balancing = now_s - self._balanced_at_s >= BALANCE_INTERVAL_S and self.has_store
        if is_balancing:
            self._balanced_at_s = now_s
        for name in configuration.keyed_services:
            self._cover(name)
            self._drop_lost(name, now_s)
            self._place(name, now_s, is_balancing=is_balancing)

    def _cover(self, service: str) -> None:
        """Add free holdings for keys that no holding covers."""
        held = [
            item.keys for item in self._book.snapshot().holdings.values() if item.service == service
        ]
        first = key_ranges.FIRST_KEY
        for keys in sorted(held):
            if keys.first > first:
                self._add_free(service, key_ranges.KeyRange(first, keys.first - 1))
            first = max(first, keys.last + 1)
        if first <= key_ranges.LAST_KEY:
            self._add_free(service, key_ranges.KeyRange(first, key_ranges.LAST_KEY))

    def _add_free(self, service: str, keys: key_ranges.KeyRange) -> None:
        self._book.add(holdings.Holding(service=service, keys=keys, owner=None))

    def _drop_lost(self, service: str, now_s: float) -> None:
        """Let go of owners that are gone, leave or fail to answer."""
        for holding_id, item in self._book.snapshot().holdings.items():
            if item.service == service and item.owner is not None:
                self._review(holding_id, item, item.owner, now_s)

    def _review(
        self,
        holding_id: int,
        item: holdings.Holding,
        owner: deployment.ServerLife,
        now_s: float,
    ) -> None:
        latest = self._duties.directory.servers.by_name.get(owner.name)
        if latest is not None and latest.server.life != owner:
            self._free(holding_id, item, f"{owner} is over")
        elif item.phase is holdings.Phase.EXPIRING:
            if now_s >= item.find_expiry_s(self._book.hold_s, self._others_end_at_s):
                self._free(holding_id, item, "the grant ran out")
        elif _is_failing(item, now_s) or self._is_unknown(owner, latest):
            self._expire(holding_id, item)
        elif latest is None or latest.draining_since_s is not None:
            self._release(holding_id, item, None)
        elif item.unanswered and item.failing_since_s is None:
            self._book.update(holding_id, _demand_fence)

    def _is_unknown(self, owner: deployment.ServerLife, latest: directory.Listed | None) -> bool:
        return latest is None and self._keepers.find_server(owner) is None

    def _free(self, holding_id: int, item: holdings.Holding, reason: str) -> None:
        def change(present: holdings.Holding) -> holdings.Holding | None:
            if present.in_flight or present.phase is holdings.Phase.FREE:
                return None
            return dataclasses.replace(
                present,
                owner=None,
                phase=holdings.Phase.FREE,
                ready=False,
                handover="",
                target=None,
                unanswered=False,
                needs_fence=False,
                failing_since_s=None,
            )

        if self._book.update(holding_id, change):
            logging.info("range %s of %s is free: %s", item.keys, item.service, reason)

    def _expire(self, holding_id: int, item: holdings.Holding) -> None:
        def change(present: holdings.Holding) -> holdings.Holding | None:
            if present.in_flight or not present.is_granted:
                return None
            return dataclasses.replace(present, phase=holdings.Phase.EXPIRING, ready=False)

        if self._book.update(holding_id, change):
            if item.owner is not None:
                self._avoided.note_failure(item.owner, self._duties.clock.read_s())
            logging.info(
                "range %s of %s: no renewal for %s any more, grants fail since %.2f s",
                item.keys,
                item.service,
                item.owner,
                self._duties.clock.read_s() - (item.failing_since_s or 0.0),
            )

    def _release(
        self, holding_id: int, item: holdings.Holding, target: deployment.ServerLife | None
    ) -> None:
        """Take a range back from its owner; its fence is raised first if need be."""
        if item.unanswered:
            self._book.update(holding_id, _demand_fence)
            return

        def change(present: holdings.Holding) -> holdings.Holding | None:
            if not present.is_movable:
                return None
            return dataclasses.replace(
                present, phase=holdings.Phase.RELEASING, ready=False, target=target
            )

        if not self.has_store or not self._book.update(holding_id, change):
            return
        order = grants.ReleaseOrder(holding_id=holding_id, keys=item.keys, fence=item.fence)
        self._duties.start_task("release", lambda stop: self._run_release(item, order, stop))

    def _run_release(
        self, item: holdings.Holding, order: grants.ReleaseOrder, stop_signal: tasks.StopSignal
    ) -> None:
        # Time for the instances to learn that they must not send to the owner any more.
        stop_signal.wait(ANNOUNCE_S)
        server = self._keepers.find_server(item.owner) if item.owner is not None else None
        if server is None:
            outcome: grants.OrderOutcome = grants.OrderNotSent("no address is known")
        else:
            outcome = self._duties.channel.release(server, order)
        changed = self._book.update(order.holding_id, functools.partial(_conclude_release, outcome))
        logging.info(
            "range %s of %s, release by %s: %s, changed %s",
            item.keys,
            item.service,
            item.owner,
            outcome,
            changed,
        )

    def _place(self, service: str, now_s: float, *, is_balancing: bool) -> None:
        candidates = self._list_candidates(service, now_s)
        if not candidates:
            return
        held = tuple(
            item for item in self._book.snapshot().holdings.values() if item.service == service
        )
        heat_map = self._heat.create_map(service, now_s)
        loads = planner.Loads(candidates, held, heat_map)
        lives = {candidate.life for candidate in candidates}
        free = tuple(
            item for item in held if item.phase is holdings.Phase.FREE and item.target not in lives
        )
        for placed in planner.place_free(free, loads, heat_map, len(candidates)):
            self._aim(placed)
        if is_balancing:
            for move in planner.plan_moves(held, loads, heat_map):
                self._start_move(move, heat_map.measure(move.keys))

    def _list_candidates(self, service: str, now_s: float) -> tuple[planner.Candidate, ...]:
        listed = [
            found.server
            for found in self._duties.directory.servers.by_service.get(service, ())
            if found.draining_since_s is None
        ]
        failing = {
            item.owner
            for item in self._book.snapshot().holdings.values()
            if item.failing_since_s is not None
        }
        usable = [
            server
            for server in listed
            if server.life not in failing and not self._avoided.has(server.life, now_s)
        ] or listed
        times_s = self._heat.speeds.find_times_s(tuple(server.life for server in usable), now_s)
        return tuple(
            planner.Candidate(server.life, server.slots / max(0.001, times_s[server.life]))
            for server in usable
        )

    def _aim(self, placed: planner.Placement) -> None:
        part_id = self._book.cut(placed.service, placed.keys)
        if part_id is not None:
            self._book.update(
                part_id, lambda present: dataclasses.replace(present, target=placed.target)
            )

    def _start_move(self, move: planner.Placement, rate: float) -> None:
        part_id = self._book.cut(move.service, move.keys)
        if part_id is None:
            return
        item = self._book.snapshot().holdings[part_id]
        logging.info(
            "range %s of %s moves from %s to %s, %.1f requests/s",
            move.keys,
            move.service,
            item.owner,
            move.target,
            rate,
        )
        self._release(part_id, item, move.target)

    def _record(self) -> None:
        """Write new owners and fences to the store, then have them granted."""
        held = self._book.snapshot().holdings
        decided = tuple(holding_id for holding_id, item in held.items() if _is_decided(item))
        if not decided or self._is_over or self._failing_since_s is not None:
            return
        began_at_s = self._duties.clock.read_s()
        expected = self._table.offset + 1
        table = self._create_table(decided)
        outcome = self._duties.store.write(tables.TOPIC, tables.KEY, tables.encode(table), expected)
        if isinstance(outcome, client.Written):
            self._table = key_ranges.StoredTable(outcome.offset, table)
            self._note_confirmed(began_at_s)
            for holding_id in decided:
                self._book.update(holding_id, functools.partial(_assign, outcome.offset))
            return
        logging.warning("table not written, step write: %s", outcome)
        if isinstance(outcome, client.Overtaken):
            self._reread(began_at_s)
        else:
            self._note_store_failed(began_at_s)

    def _create_table(self, decided: tuple[int, ...]) -> key_ranges.OwnershipTable:
        fence = self._table.offset + 1
        assignments = []
        for holding_id, item in sorted(self._book.snapshot().holdings.items()):
            changed = _assign(fence, item) if holding_id in decided else item
            if changed is not None and changed.owner is not None:
                assignments.append(
                    key_ranges.RangeAssignment(
                        changed.service, changed.keys, changed.owner, changed.fence
                    )
                )
        settled = self._duties.clock.read_s() >= self._others_end_at_s
        return key_ranges.OwnershipTable(
            lessor=self._own,
            term=self.term,
            revision=self._book.create_view().revision,
            predecessors=() if settled else self._table.table.predecessors,
            assignments=tuple(assignments),
        )

    def _adopt(self, stored: key_ranges.StoredTable) -> None:
        """Adopt a table of this tenure whose write had no answer."""
        self._table = stored
        by_keys = {(item.service, item.keys): item for item in stored.table.assignments}
        for holding_id, item in self._book.snapshot().holdings.items():
            assigned = by_keys.get((item.service, item.keys))
            if assigned is not None and _is_decided(item) and assigned.fence == stored.offset:
                self._book.update(
                    holding_id,
                    functools.partial(_assign_to, assigned.owner, stored.offset),
                )


def _resume(assigned: key_ranges.RangeAssignment) -> holdings.Holding:
    return holdings.Holding(
        service=assigned.service,
        keys=assigned.keys,
        owner=assigned.owner,
        fence=assigned.fence,
        phase=holdings.Phase.GRANTING,
        ready=True,
    )


def _is_failing(item: holdings.Holding, now_s: float) -> bool:
    return item.failing_since_s is not None and now_s - item.failing_since_s >= LOST_AFTER_S


def _is_decided(item: holdings.Holding) -> bool:
    if item.phase is holdings.Phase.FREE:
        return item.target is not None
    return item.needs_fence and item.is_granted and not item.in_flight


def _demand_fence(present: holdings.Holding) -> holdings.Holding | None:
    return dataclasses.replace(present, needs_fence=True) if present.is_granted else None


def _assign(fence: int, present: holdings.Holding) -> holdings.Holding | None:
    """Return a holding under a new fence, at its target if nobody holds it."""
    owner = present.target if present.phase is holdings.Phase.FREE else present.owner
    return None if owner is None else _assign_to(owner, fence, present)


def _assign_to(
    owner: deployment.ServerLife, fence: int, present: holdings.Holding
) -> holdings.Holding:
    return dataclasses.replace(
        present,
        owner=owner,
        fence=fence,
        phase=holdings.Phase.GRANTING,
        target=None,
        unanswered=False,
        needs_fence=False,
        failing_since_s=None,
        due_at_s=-math.inf,
        reached_at_s=present.reached_at_s if owner == present.owner else -math.inf,
    )


def _conclude_release(
    outcome: grants.OrderOutcome, present: holdings.Holding
) -> holdings.Holding | None:
    if present.phase is not holdings.Phase.RELEASING:
        return None
    if isinstance(outcome, grants.Released):
        return dataclasses.replace(
            present,
            owner=None,
            phase=holdings.Phase.FREE,
            handover=outcome.handover,
            reached_at_s=-math.inf,
        )
    return dataclasses.replace(present, phase=holdings.Phase.EXPIRING, target=None)
