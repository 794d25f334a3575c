"""Rebalancing: assigns free ranges, moves ranges by load and joins calm ones."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import admission_log
from goldcresthall.ranges import candidates
from goldcresthall.ranges import cold_owners
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import membership
from goldcresthall.ranges import move_planner
from goldcresthall.ranges import overload
from goldcresthall.ranges import owner_reviews
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_joins
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import range_parts
from goldcresthall.ranges import range_releases
from goldcresthall.ranges import recent_moves
from goldcresthall.ranges import server_backoff
from goldcresthall.ranges import transitions

if TYPE_CHECKING:
    import collections.abc

    from goldcresthall.admission import range_admissions
    from goldcresthall.ranges import lease_renewal
    from goldcresthall.ranges import lease_table
    from goldcresthall.ranges import lessor_context

# Moves, joins and shares of admitted requests are computed in the same step, from the same rates.
REBALANCE_INTERVAL_S = 0.4
# At the start of a term, the first reports cover different times.
ADMISSION_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlanningConstraints:
    """Constraints on what the lessor may plan now.

    Attributes
    ----------
    has_store
        Whether new owners can be recorded in the store.
    predecessors_end_s
        Reading of the clock until which an earlier lessor may renew leases, also at the next
        incarnation of a server, which knows no fencing token.
    may_split
        Whether the recorded table is small enough for more ranges.
    may_be_held
        Whether servers may hold ranges of which this instance knows nothing.
    """

    has_store: bool
    predecessors_end_s: float
    may_split: bool = True
    may_be_held: bool = False

    def may_release(self, now_s: float) -> bool:
        """Return whether a range may change hands by a release."""
        return self.has_store and now_s >= self.predecessors_end_s


class RangeRebalancer:
    """Chooses owners within one term; the lessor records its decisions in the store.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    leases
        Leases of the term.
    renewers
        Renewal tasks, which know the last address of each owner.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        leases: lease_table.LeaseTable,
        renewers: lease_renewal.LeaseRenewers,
    ) -> None:
        self._context = context
        self._leases = leases
        self._statistics = load_statistics.LoadStatistics()
        self._backoff = server_backoff.ServerBackoff()
        self._candidates = candidates.CandidateLister(
            context, leases, self._backoff, self._statistics
        )
        self._releases = range_releases.RangeReleases(context, leases, renewers)
        self._reviewer = owner_reviews.OwnerReviewer(
            context,
            leases,
            renewers,
            releases=self._releases,
            backoff=self._backoff,
            cold_owners=cold_owners.ColdOwners(context, self._candidates, self._statistics),
        )
        self._membership = membership.MembershipMonitor()
        self._recent_moves = recent_moves.RecentMoves()
        self._admissions: dict[str, tuple[range_admissions.RangeAdmission, ...]] = {}
        self._admission_logs: dict[str, admission_log.AdmissionLog] = {}
        self._limits_after_s = context.clock.read_s() + ADMISSION_DELAY_S
        self._rebalanced_at_s = context.clock.read_s()

    @property
    def statistics(self) -> load_statistics.LoadStatistics:
        """Work of keys and service times reported to the lessor."""
        return self._statistics

    @property
    def admissions(self) -> tuple[range_admissions.RangeAdmission, ...]:
        """Ranges of all services whose owners are overloaded."""
        return tuple(row for rows in self._admissions.values() for row in rows)

    def plan(self, constraints: PlanningConstraints) -> None:
        """Take ranges from lost and draining owners, assign free ranges and plan moves."""
        configuration = self._context.directory.configuration
        if configuration is None or not self._context.directory.servers.by_name:
            return
        now_s = self._context.clock.read_s()
        may_release = constraints.may_release(now_s)
        self._releases.allow(
            may_begin=may_release, predecessors_end_s=constraints.predecessors_end_s
        )
        is_due = now_s - self._rebalanced_at_s >= REBALANCE_INTERVAL_S
        if is_due:
            self._rebalanced_at_s = now_s
        is_rebalancing = is_due and constraints.has_store
        for name in configuration.keyed_services:
            self._add_missing_ranges(name, may_be_held=constraints.may_be_held)
            self._reviewer.review(
                name, now_s, constraints.predecessors_end_s, may_split=constraints.may_split
            )
            self._place(name, now_s)
            if is_rebalancing and may_release:
                self._move(name, now_s, may_split=constraints.may_split)
            if is_rebalancing:
                self._join_calm(name, now_s, constraints)
        # The shares need no store, and follow the load also while it is away.
        if is_due and now_s >= self._limits_after_s:
            self._limit(configuration.keyed_services, now_s)

    def drop_unusable_targets(self) -> None:
        """Take the targets from free ranges whose targets may get none any more."""
        for lease_id, lease in self._leases.snapshot().leases.items():
            if lease.phase is range_leases.LeasePhase.FREE and lease.target is not None:
                self._reviewer.review_target(lease_id, lease.target)

    def _add_missing_ranges(self, service: str, *, may_be_held: bool) -> None:
        """Add ranges for keys that no lease covers; they are free unless a server may hold them."""
        covered = [
            lease.keys
            for lease in self._leases.snapshot().leases.values()
            if lease.service == service
        ]
        for keys in key_ranges.find_gaps(covered):
            added = range_leases.RangeLease(service=service, keys=keys, owner=None)
            if may_be_held:
                added = transitions.await_unknown_holder(added)
            self._leases.add(added)

    def _place(self, service: str, now_s: float) -> None:
        """Assign the free ranges of a service."""
        leases = tuple(self._list_leases(service).values())
        if not any(lease.phase is range_leases.LeasePhase.FREE for lease in leases):
            return
        listed = self._candidates.list(service, now_s)
        if not listed:
            return
        incarnations = frozenset(candidate.incarnation for candidate in listed)
        was_assigned = any(lease.fence for lease in leases)
        if not was_assigned and not self._membership.is_stable(service, incarnations, now_s):
            return
        key_rates = self._statistics.estimate_rates(service, now_s)
        loads = planner.PlannedLoads(listed, leases, key_rates)
        free = tuple(
            lease
            for lease in leases
            if lease.phase is range_leases.LeasePhase.FREE and lease.target not in incarnations
        )
        for placement in planner.place_free(free, loads, key_rates, len(listed)):
            self._set_target(placement)

    def _move(self, service: str, now_s: float, *, may_split: bool) -> None:
        """Move ranges away from overloaded servers and to idle ones."""
        leases = tuple(self._list_leases(service).values())
        listed = self._candidates.list(service, now_s)
        if not listed or not any(lease.fence for lease in leases):
            return
        key_rates = self._statistics.estimate_rates(service, now_s)
        loads = planner.PlannedLoads(listed, leases, key_rates)
        constraints = move_planner.MoveConstraints(
            self._recent_moves.find_settling(service, now_s),
            _choose_splits(len(leases), len(listed), may_split=may_split),
        )
        for move in move_planner.plan_moves(leases, loads, key_rates, constraints):
            self._start_move(move, key_rates.sum_range(move.keys))

    def _limit(self, services: collections.abc.Iterable[str], now_s: float) -> None:
        """Compute which share of the requests for overloaded ranges fits, for all services."""
        admissions = {
            service: overload.find_admissions(
                tuple(self._list_leases(service).values()),
                self._candidates.list(service, now_s),
                self._statistics.estimate_rates(service, now_s),
            )
            for service in services
        }
        for service in {**self._admissions, **admissions}:
            log = self._admission_logs.setdefault(service, admission_log.AdmissionLog(service))
            log.record(admissions.get(service, ()))
        # Replaced as a whole, because the tasks that reply to reports read it meanwhile.
        self._admissions = admissions

    def _join_calm(self, service: str, now_s: float, constraints: PlanningConstraints) -> None:
        """Join ranges that were split for load and are calm again."""
        leases = self._list_leases(service)
        servers = len({lease.owner for lease in leases.values()})
        limit = range_joins.find_range_limit(servers) if constraints.may_split else servers
        key_rates = self._statistics.estimate_rates(service, now_s)
        for pair in range_joins.find_joins(leases, key_rates, limit):
            if self._leases.join(pair.first_id, pair.second_id):
                logging.info(
                    "ranges %s and %s of service %s joined at %s",
                    pair.first.keys,
                    pair.second.keys,
                    service,
                    pair.first.owner,
                )
        if not constraints.may_release(now_s):
            return
        leases = self._list_leases(service)
        targets = frozenset(
            candidate.incarnation for candidate in self._candidates.list(service, now_s)
        )
        for move in range_joins.find_consolidations(leases, key_rates, limit, targets):
            self._start_move(move, key_rates.sum_range(move.keys))

    def _list_leases(self, service: str) -> dict[int, range_leases.RangeLease]:
        leases = self._leases.snapshot().leases
        return {lease_id: lease for lease_id, lease in leases.items() if lease.service == service}

    def _set_target(self, placement: planner.Placement) -> None:
        part_id = self._leases.split(placement.service, placement.keys)
        if part_id is not None:
            self._leases.update(
                part_id, functools.partial(transitions.set_target, placement.target)
            )

    def _start_move(self, move: planner.Placement, rate: float) -> None:
        part_id = self._leases.split(move.service, move.keys)
        if part_id is None:
            return
        lease = self._leases.snapshot().leases[part_id]
        if not lease.is_movable:
            return
        logging.info(
            "moving range %s of service %s from %s to %s, %.2f s of work/s",
            move.keys,
            move.service,
            lease.owner,
            move.target,
            rate,
        )
        self._recent_moves.record(move.service, move.keys, self._context.clock.read_s())
        self._releases.start(part_id, lease, move.target)


def _choose_splits(ranges: int, servers: int, *, may_split: bool) -> range_parts.Splits:
    limit = range_joins.find_range_limit(servers)
    if not may_split or ranges > range_joins.CONSOLIDATION_FACTOR * limit:
        return range_parts.Splits.NONE
    if ranges > limit:
        return range_parts.Splits.ENDS
    return range_parts.Splits.ANYWHERE
