"""Moves of ranges away from owners at which requests queue, and to servers that have none.

A server with three or four slots has a queue from a load of about 0.6 on; below, an uneven load
costs little, while each move makes the moved keys slower for some seconds. So only the excess
over an absolute load moves, unless the mean load is so high that the excess over the mean does.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.ranges import hot_keys
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_parts
from goldcresthall.ranges import recent_moves

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.ranges import load_statistics
    from goldcresthall.ranges import range_leases

# A plan has at most one move per `SERVERS_PER_MOVE` servers, or `MIN_MOVE_LIMIT` if higher.
MIN_MOVE_LIMIT = 4
SERVERS_PER_MOVE = 4
# Seconds of work per second.
MIN_TOTAL_RATE = 0.4
# Loads are fractions of a server's capacity. Moves from a server start above the higher ones and
# bring it down to the lower ones, up to which they fill others: noise in between moves nothing.
START_LOAD = 0.75
START_FACTOR = 1.35
START_MARGIN = 0.1
# Above this, requests queue without bound, so that moves start whatever the mean load is.
MAX_START_LOAD = 0.95
FILL_LOAD = 0.45
FILL_FACTOR = 1.05
# By so many standard deviations of the estimate, the load must be above the start: in the first
# second, the noise alone would start moves.
NOISE_DEVIATIONS = 0.5
# The same for capacities, whose errors stay for longer than those of rates.
CAPACITY_DEVIATIONS = 1.0
# Above this load, keys move again although they moved recently.
URGENT_LOAD = 0.8
IDLE_FILL_FACTOR = 0.3
MIN_MEAN_LOAD = 0.03
MIN_MOVE_FRACTION = 0.05
# Of its source's rate, so that no source gives all that an idle server lacks.
IDLE_MOVE_FRACTION = 0.25
# Of the rate that would bring the destination to the load of the source. A move may take that much
# although it is more than wanted, since the destination stays clearly below.
MAX_EQUALIZING_FRACTION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class MoveLoads:
    """The load above which moves from a server start, and the one that they lead to."""

    start: float
    fill: float

    @classmethod
    def from_mean(cls, mean: float) -> MoveLoads:
        """Return the loads for a mean load."""
        return cls(
            start=max(START_LOAD, min(START_FACTOR * mean, MAX_START_LOAD), mean + START_MARGIN),
            fill=max(FILL_LOAD, FILL_FACTOR * mean),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MoveConstraints:
    """What moves must leave alone.

    Attributes
    ----------
    settling
        Keys that moved recently.
    splits
        How ranges may be split.
    """

    settling: recent_moves.SettlingKeys = recent_moves.NOTHING_SETTLES
    splits: range_parts.Splits = range_parts.Splits.ANYWHERE


UNCONSTRAINED = MoveConstraints()


class MovePlan:
    """Moves of one service that are planned at one time.

    Parameters
    ----------
    leases
        Leases of the service.
    loads
        Loads of the servers, to which each move is added.
    key_rates
        Work per second of the keys.
    constraints
        What the moves must leave alone.
    """

    def __init__(
        self,
        leases: tuple[range_leases.RangeLease, ...],
        loads: planner.PlannedLoads,
        key_rates: load_statistics.KeyRates,
        constraints: MoveConstraints,
    ) -> None:
        self._leases = leases
        self._loads = loads
        self._key_rates = key_rates
        self._constraints = constraints
        self._mean = loads.mean
        self._move_loads = MoveLoads.from_mean(self._mean)
        self._limit = max(MIN_MOVE_LIMIT, loads.server_count // SERVERS_PER_MOVE)
        self._moves: list[planner.Placement] = []

    @property
    def moves(self) -> tuple[planner.Placement, ...]:
        """The moves so far."""
        return tuple(self._moves)

    def relieve_overloaded(self) -> None:
        """Plan moves from the most loaded servers to those with the most room."""
        exhausted: set[deployment.ServerIncarnation] = set()
        while len(self._moves) < self._limit:
            source = self._loads.find_most_loaded(exhausted)
            if source is None or self._loads.find_load(source) <= self._move_loads.start:
                return
            if not self._is_overloaded(source):
                exhausted.add(source)
                continue
            if not self._add(source, self._find_relief(source)):
                exhausted.add(source)

    def _is_overloaded(self, source: deployment.ServerIncarnation) -> bool:
        """Return whether the load is above the start by more than its noise."""
        return self._find_least_load(source) > self._move_loads.start

    def _find_least_load(self, source: deployment.ServerIncarnation) -> float:
        """Return the load less the noise of the rate and of the capacity."""
        capacity = self._loads.find_capacity(source)
        load = self._loads.find_load(source)
        rate_noise = self._key_rates.find_noise(load * capacity) / capacity
        capacity_noise = load * self._loads.find_noise(source)
        return load - math.hypot(
            NOISE_DEVIATIONS * rate_noise, CAPACITY_DEVIATIONS * capacity_noise
        )

    def fill_idle(self) -> None:
        """Plan moves to servers without any range, such as those that joined."""
        used = {lease.target or lease.owner for lease in self._leases}
        used |= {move.target for move in self._moves}
        exhausted: set[deployment.ServerIncarnation] = set()
        while len(self._moves) < self._limit and self._mean > MIN_MEAN_LOAD:
            destination = self._loads.find_most_spare(self._mean, used)
            source = self._loads.find_most_loaded(exhausted)
            if destination is None or source is None or self._loads.find_load(source) < self._mean:
                return
            if self._add(source, self._find_share(source, destination)):
                has_share = self._loads.find_load(destination) > IDLE_FILL_FACTOR * self._mean
                used |= {destination} if has_share else set()
            else:
                exhausted.add(source)

    def _add(self, source: deployment.ServerIncarnation, move: planner.Placement | None) -> bool:
        if move is None:
            return False
        rate = self._key_rates.sum_range(move.keys)
        self._loads.add(source, -rate)
        self._loads.add(move.target, rate)
        self._moves.append(move)
        self._leases = range_parts.remove_range(self._leases, move)
        return True

    def _find_relief(self, source: deployment.ServerIncarnation) -> planner.Placement | None:
        movable = self._list_movable(source)
        if self._constraints.splits is range_parts.Splits.NONE:
            movable = tuple(lease for lease in movable if lease.keys.size == 1)
        hot_key_move = hot_keys.find_hot_key_move(source, movable, self._loads, self._key_rates)
        if hot_key_move is not None:
            return hot_key_move
        fill = self._move_loads.fill
        destination = self._loads.find_most_spare(fill)
        if destination is None:
            return None
        excess = -self._loads.find_room(source, fill)
        amount = min(excess, self._loads.find_room(destination, fill))
        return self._find_move(source, destination, amount)

    def _find_share(
        self, source: deployment.ServerIncarnation, destination: deployment.ServerIncarnation
    ) -> planner.Placement | None:
        rate = self._loads.find_load(source) * self._loads.find_capacity(source)
        amount = min(
            max(-self._loads.find_room(source, self._mean), IDLE_MOVE_FRACTION * rate),
            self._loads.find_room(destination, self._mean),
        )
        return self._find_move(source, destination, amount)

    def _find_move(
        self,
        source: deployment.ServerIncarnation,
        destination: deployment.ServerIncarnation,
        amount: float,
    ) -> planner.Placement | None:
        least = MIN_MOVE_FRACTION * min(1.0, self._mean / FILL_LOAD)
        if destination == source or amount <= least * self._loads.find_capacity(source):
            return None
        difference = self._loads.find_load(source) - self._loads.find_load(destination)
        equalizing_rate = difference * self._loads.find_capacity(destination)
        max_rate = max(
            range_parts.OVERSHOOT_FACTOR * amount, MAX_EQUALIZING_FRACTION * equalizing_rate
        )
        wanted = range_parts.WantedMove(destination, amount, max_rate)
        return range_parts.find_part(
            self._list_movable(source),
            wanted,
            self._key_rates,
            splits=self._constraints.splits,
        )

    def _list_movable(
        self, source: deployment.ServerIncarnation
    ) -> tuple[range_leases.RangeLease, ...]:
        is_urgent = self._loads.find_load(source) > URGENT_LOAD
        return tuple(
            lease
            for lease in self._leases
            if lease.owner == source
            and lease.is_movable
            and (
                (is_urgent and lease.keys.size > 1)
                or not self._constraints.settling.covers(lease.keys)
            )
        )


def plan_moves(
    leases: tuple[range_leases.RangeLease, ...],
    loads: planner.PlannedLoads,
    key_rates: load_statistics.KeyRates,
    constraints: MoveConstraints = UNCONSTRAINED,
) -> tuple[planner.Placement, ...]:
    """Return moves from overloaded servers, and to those without any range.

    Returns at most `MIN_MOVE_LIMIT` moves, or one for each `SERVERS_PER_MOVE` servers if that
    is more, and no moves if the total rate is small.
    """
    if key_rates.prefix_sums[-1] < MIN_TOTAL_RATE:
        return ()
    plan = MovePlan(leases, loads, key_rates, constraints)
    plan.relieve_overloaded()
    plan.fill_idle()
    return plan.moves
