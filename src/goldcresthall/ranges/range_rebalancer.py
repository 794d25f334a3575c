"""The mover: lets go of lost owners, and places and moves ranges by heat."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import grants
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import membership
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import server_backoff
from goldcresthall.ranges import transitions

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import lease_renewal
    from goldcresthall.ranges import lease_table
    from goldcresthall.ranges import lessor_context

BALANCE_INTERVAL_S = 0.4
ANNOUNCE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class PlanningConstraints:
    """What a lessor may do now.

    Attributes
    ----------
    has_store
        Whether new owners could be recorded.
    others_end_s
        Reading of the clock until which an earlier lessor may renew.
    """

    has_store: bool
    predecessors_end_s: float


class RangeRebalancer:
    """Decides on owners within one tenure; the lessor records what it decides."""

    def __init__(
        self,
        context: lessor_context.LessorContext,
        leases: lease_table.LeaseTable,
        renewers: lease_renewal.LeaseRenewers,
    ) -> None:
        self._context = context
        self._leases = leases
        self._renewers = renewers
        self._statistics = load_statistics.LoadStatistics()
        self._avoided = server_backoff.ServerBackoff()
        self._arrivals = membership.MembershipMonitor()
        self._balanced_at_s = context.clock.read_s()
        self._has_store = True

    @property
    def statistics(self) -> load_statistics.LoadStatistics:
        """Heat and speeds that are reported to the lessor."""
        return self._statistics

    def plan(self, situation: PlanningConstraints) -> None:
        """Let go of lost owners, and place and move ranges."""
        configuration = self._context.directory.configuration
        if configuration is None or not self._context.directory.servers.by_name:
            return
        self._has_store = situation.has_store
        now_s = self._context.clock.read_s()
        is_balancing = now_s - self._balanced_at_s >= BALANCE_INTERVAL_S and situation.has_store
        if is_balancing:
            self._balanced_at_s = now_s
        for name in configuration.keyed_services:
            self._cover(name)
            self._drop_lost(name, now_s, situation.predecessors_end_s)
            self._place(name, now_s, is_balancing=is_balancing)

    def _cover(self, service: str) -> None:
        """Add free holdings for keys that no holding covers."""
        held = [
            item.keys for item in self._leases.snapshot().leases.values() if item.service == service
        ]
        first = key_ranges.FIRST_KEY
        for keys in sorted(held):
            if keys.first > first:
                self._add_free(service, key_ranges.KeyRange(first, keys.first - 1))
            first = max(first, keys.last + 1)
        if first <= key_ranges.LAST_KEY:
            self._add_free(service, key_ranges.KeyRange(first, key_ranges.LAST_KEY))

    def _add_free(self, service: str, keys: key_ranges.KeyRange) -> None:
        self._leases.add(range_leases.RangeLease(service=service, keys=keys, owner=None))

    def _drop_lost(self, service: str, now_s: float, predecessors_end_s: float) -> None:
        """Let go of owners that are gone, leave or fail to answer."""
        for lease_id, item in self._leases.snapshot().leases.items():
            if item.service == service and item.owner is not None:
                if item.phase is range_leases.LeasePhase.EXPIRING:
                    self._free_expired(lease_id, item, now_s, predecessors_end_s)
                else:
                    self._review(lease_id, item, item.owner, now_s)

    def _free_expired(
        self, lease_id: int, item: range_leases.RangeLease, now_s: float, predecessors_end_s: float
    ) -> None:
        latest = self._context.directory.servers.by_name.get(item.owner.name if item.owner else "")
        if latest is not None and latest.server.incarnation != item.owner:
            self._free(lease_id, item, f"{item.owner} is over")
        elif now_s >= item.find_expiry_s(self._leases.lease_s, predecessors_end_s):
            self._free(lease_id, item, "the grant ran out")

    def _review(
        self,
        lease_id: int,
        item: range_leases.RangeLease,
        owner: deployment.ServerIncarnation,
        now_s: float,
    ) -> None:
        latest = self._context.directory.servers.by_name.get(owner.name)
        if latest is not None and latest.server.incarnation != owner:
            self._free(lease_id, item, f"{owner} is over")
        elif transitions.is_failing(item, now_s) or self._is_unknown(owner, latest):
            self._expire(lease_id, item, owner)
        elif latest is None or latest.draining_since_s is not None:
            self._release(lease_id, item, None)
        elif item.unanswered and item.failing_since_s is None:
            self._leases.update(lease_id, transitions.demand_fence)

    def _is_unknown(
        self, owner: deployment.ServerIncarnation, latest: directory.DirectoryEntry | None
    ) -> bool:
        return latest is None and self._renewers.find_server(owner) is None

    def _free(self, lease_id: int, item: range_leases.RangeLease, reason: str) -> None:
        if self._leases.update(lease_id, transitions.free):
            logging.info("range %s of %s is free: %s", item.keys, item.service, reason)

    def _expire(
        self, lease_id: int, item: range_leases.RangeLease, owner: deployment.ServerIncarnation
    ) -> None:
        if not self._leases.update(lease_id, transitions.begin_expiry):
            return
        now_s = self._context.clock.read_s()
        self._avoided.note_failure(owner, now_s)
        logging.info(
            "range %s of %s: no renewal for %s any more, grants fail since %.2f s",
            item.keys,
            item.service,
            owner,
            now_s - (item.failing_since_s or now_s),
        )

    def _release(
        self,
        lease_id: int,
        item: range_leases.RangeLease,
        target: deployment.ServerIncarnation | None,
    ) -> None:
        """Take a range back from its owner; its fence is raised first if need be."""
        if item.unanswered:
            self._leases.update(lease_id, transitions.demand_fence)
            return
        begin = functools.partial(transitions.begin_release, target)
        if not self._has_store or not self._leases.update(lease_id, begin):
            return
        command = grants.ReleaseCommand(lease_id=lease_id, keys=item.keys, fence=item.fence)
        self._context.start_task("release", lambda stop: self._run_release(item, command, stop))

    def _run_release(
        self,
        item: range_leases.RangeLease,
        command: grants.ReleaseCommand,
        stop_signal: tasks.StopSignal,
    ) -> None:
        # Time for the instances to learn that they must not send to the owner any more.
        stop_signal.wait(ANNOUNCE_S)
        server = self._renewers.find_server(item.owner) if item.owner is not None else None
        if server is None:
            outcome: grants.CommandOutcome = grants.CommandNotSent("no address is known")
        else:
            outcome = self._context.channel.release(server, command)
        concluded = functools.partial(transitions.complete_release, outcome)
        changed = self._leases.update(command.lease_id, concluded)
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
            item for item in self._leases.snapshot().leases.values() if item.service == service
        )
        incarnations = frozenset(candidate.incarnation for candidate in candidates)
        was_divided = any(item.fence for item in held)
        if not was_divided and not self._arrivals.is_stable(service, incarnations, now_s):
            return
        key_rates = self._statistics.estimate_rates(service, now_s)
        loads = planner.PlannedLoads(candidates, held, key_rates)
        free = tuple(
            item
            for item in held
            if item.phase is range_leases.LeasePhase.FREE and item.target not in incarnations
        )
        for placed in planner.place_free(free, loads, key_rates, len(candidates)):
            self._aim(placed)
        if is_balancing:
            for move in planner.plan_moves(held, loads, key_rates):
                self._start_move(move, key_rates.sum_range(move.keys))

    def _list_candidates(self, service: str, now_s: float) -> tuple[planner.Candidate, ...]:
        listed = [
            found.server
            for found in self._context.directory.servers.by_service.get(service, ())
            if found.draining_since_s is None
        ]
        failing = {
            item.owner
            for item in self._leases.snapshot().leases.values()
            if item.failing_since_s is not None
        }
        usable = [
            server
            for server in listed
            if server.incarnation not in failing
            and not self._avoided.is_backing_off(server.incarnation, now_s)
        ] or listed
        times_s = self._statistics.service_times.estimate_times_s(
            tuple(server.incarnation for server in usable), now_s
        )
        return tuple(
            planner.Candidate(
                server.incarnation, server.slots / max(0.001, times_s[server.incarnation])
            )
            for server in usable
        )

    def _aim(self, placed: planner.Placement) -> None:
        part_id = self._leases.split(placed.service, placed.keys)
        if part_id is not None:
            self._leases.update(part_id, functools.partial(transitions.set_target, placed.target))

    def _start_move(self, move: planner.Placement, rate: float) -> None:
        part_id = self._leases.split(move.service, move.keys)
        if part_id is None:
            return
        item = self._leases.snapshot().leases[part_id]
        logging.info(
            "range %s of %s moves from %s to %s, %.1f requests/s",
            move.keys,
            move.service,
            item.owner,
            move.target,
            rate,
        )
        self._release(part_id, item, move.target)
