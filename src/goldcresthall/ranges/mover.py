"""The mover: lets go of lost owners, and places and moves ranges by heat."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import arrivals
from goldcresthall.ranges import avoidance
from goldcresthall.ranges import grants
from goldcresthall.ranges import heat
from goldcresthall.ranges import holdings
from goldcresthall.ranges import planner
from goldcresthall.ranges import transitions

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import book
    from goldcresthall.ranges import duties
    from goldcresthall.ranges import keepers

BALANCE_INTERVAL_S = 0.4
ANNOUNCE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a lessor may do now.

    Attributes
    ----------
    has_store
        Whether new owners could be recorded.
    others_end_s
        Reading of the clock until which an earlier lessor may renew.
    """

    has_store: bool
    others_end_s: float


class Mover:
    """Decides on owners within one tenure; the lessor records what it decides."""

    def __init__(
        self,
        owned: duties.Duties,
        holding_book: book.HoldingBook,
        kept: keepers.Keepers,
    ) -> None:
        self._duties = owned
        self._book = holding_book
        self._keepers = kept
        self._heat = heat.ServiceHeat()
        self._avoided = avoidance.AvoidedServers()
        self._arrivals = arrivals.ServerArrivals()
        self._balanced_at_s = owned.clock.read_s()
        self._has_store = True

    @property
    def heat(self) -> heat.ServiceHeat:
        """Heat and speeds that are reported to the lessor."""
        return self._heat

    def plan(self, situation: Situation) -> None:
        """Let go of lost owners, and place and move ranges."""
        configuration = self._duties.directory.configuration
        if configuration is None or not self._duties.directory.servers.by_name:
            return
        self._has_store = situation.has_store
        now_s = self._duties.clock.read_s()
        is_balancing = now_s - self._balanced_at_s >= BALANCE_INTERVAL_S and situation.has_store
        if is_balancing:
            self._balanced_at_s = now_s
        for name in configuration.keyed_services:
            self._cover(name)
            self._drop_lost(name, now_s, situation.others_end_s)
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

    def _drop_lost(self, service: str, now_s: float, others_end_s: float) -> None:
        """Let go of owners that are gone, leave or fail to answer."""
        for holding_id, item in self._book.snapshot().holdings.items():
            if item.service == service and item.owner is not None:
                if item.phase is holdings.Phase.EXPIRING:
                    self._free_expired(holding_id, item, now_s, others_end_s)
                else:
                    self._review(holding_id, item, item.owner, now_s)

    def _free_expired(
        self, holding_id: int, item: holdings.Holding, now_s: float, others_end_s: float
    ) -> None:
        latest = self._duties.directory.servers.by_name.get(item.owner.name if item.owner else "")
        if latest is not None and latest.server.life != item.owner:
            self._free(holding_id, item, f"{item.owner} is over")
        elif now_s >= item.find_expiry_s(self._book.hold_s, others_end_s):
            self._free(holding_id, item, "the grant ran out")

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
        elif transitions.is_failing(item, now_s) or self._is_unknown(owner, latest):
            self._expire(holding_id, item, owner)
        elif latest is None or latest.draining_since_s is not None:
            self._release(holding_id, item, None)
        elif item.unanswered and item.failing_since_s is None:
            self._book.update(holding_id, transitions.demand_fence)

    def _is_unknown(self, owner: deployment.ServerLife, latest: directory.Listed | None) -> bool:
        return latest is None and self._keepers.find_server(owner) is None

    def _free(self, holding_id: int, item: holdings.Holding, reason: str) -> None:
        if self._book.update(holding_id, transitions.free):
            logging.info("range %s of %s is free: %s", item.keys, item.service, reason)

    def _expire(
        self, holding_id: int, item: holdings.Holding, owner: deployment.ServerLife
    ) -> None:
        if not self._book.update(holding_id, transitions.expire):
            return
        now_s = self._duties.clock.read_s()
        self._avoided.note_failure(owner, now_s)
        logging.info(
            "range %s of %s: no renewal for %s any more, grants fail since %.2f s",
            item.keys,
            item.service,
            owner,
            now_s - (item.failing_since_s or now_s),
        )

    def _release(
        self, holding_id: int, item: holdings.Holding, target: deployment.ServerLife | None
    ) -> None:
        """Take a range back from its owner; its fence is raised first if need be."""
        if item.unanswered:
            self._book.update(holding_id, transitions.demand_fence)
            return
        begin = functools.partial(transitions.begin_release, target)
        if not self._has_store or not self._book.update(holding_id, begin):
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
        concluded = functools.partial(transitions.conclude_release, outcome)
        changed = self._book.update(order.holding_id, concluded)
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
        lives = frozenset(candidate.life for candidate in candidates)
        was_divided = any(item.fence for item in held)
        if not was_divided and not self._arrivals.have_settled(service, lives, now_s):
            return
        heat_map = self._heat.create_map(service, now_s)
        loads = planner.Loads(candidates, held, heat_map)
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
            self._book.update(part_id, functools.partial(transitions.aim, placed.target))

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
