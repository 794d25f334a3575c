"""Placement of ranges by request rate and server capacity."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.ranges import load_statistics

# A plan has at most one move per `SERVERS_PER_MOVE` servers, or `MIN_MOVE_LIMIT` if higher.
MIN_MOVE_LIMIT = 4
SERVERS_PER_MOVE = 4
# Loads are request rates as fractions of a server's capacity.
MIN_TOTAL_RATE_PER_S = 2.0
OVERLOAD_FACTOR = 1.3
OVERLOAD_MARGIN = 0.1
MIN_OVERLOAD = 0.35
UNDERUSE_FACTOR = 0.3
MIN_MEAN_LOAD = 0.03
MIN_MOVE_FRACTION = 0.15
OVERSHOOT_FACTOR = 1.3
SPLIT_FACTOR = 1.2
HOT_KEY_MIN_SERVER_LOAD = 0.8
HOT_KEY_MIN_CAPACITY_SHARE = 0.4
HOT_KEY_MIN_GAIN = 1.3
MAX_PIECES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be assigned ranges.

    Attributes
    ----------
    capacity
        Requests per second that it can process.
    """

    incarnation: deployment.ServerIncarnation
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A range, or part of one, and the server it is assigned to."""

    service: str
    keys: key_ranges.KeyRange
    target: deployment.ServerIncarnation


class PlannedLoads:
    """Request rate of each server, including planned moves.

    A server's load is its request rate as a fraction of its capacity.
    """

    def __init__(
        self,
        candidates: tuple[Candidate, ...],
        leases: tuple[range_leases.RangeLease, ...],
        key_rates: load_statistics.KeyRates,
    ) -> None:
        self._capacity = {candidate.incarnation: candidate.capacity for candidate in candidates}
        self._rate = dict.fromkeys(self._capacity, 0.0)
        for lease in leases:
            incarnation = lease.target or lease.owner
            if incarnation in self._rate and lease.phase is not range_leases.LeasePhase.EXPIRING:
                self._rate[incarnation] += key_rates.sum_range(lease.keys)

    @property
    def mean(self) -> float:
        """Total request rate as a fraction of the total capacity."""
        return sum(self._rate.values()) / sum(self._capacity.values())

    def find_load(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the load of a server as a fraction of its capacity."""
        return self._rate[incarnation] / self._capacity[incarnation]

    def find_capacity(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the capacity of a server in requests per second."""
        return self._capacity[incarnation]

    def find_least_loaded(self, rate: float = 0.0) -> deployment.ServerIncarnation:
        """Return the server with the lowest load after adding `rate` requests per second."""
        return min(
            self._rate,
            key=lambda incarnation: (
                (self._rate[incarnation] + rate) / self._capacity[incarnation],
                incarnation,
            ),
        )

    @property
    def server_count(self) -> int:
        """Number of servers that may be assigned ranges."""
        return len(self._capacity)

    def find_spare(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the unused capacity of a server in requests per second."""
        return self._capacity[incarnation] - self._rate[incarnation]

    def find_most_spare(self) -> deployment.ServerIncarnation:
        """Return the server with the most unused capacity."""
        return max(self._rate, key=lambda incarnation: (self.find_spare(incarnation), incarnation))

    def find_most_loaded(
        self, excluded: set[deployment.ServerIncarnation]
    ) -> deployment.ServerIncarnation | None:
        """Return the most loaded server outside `excluded`, or `None` if there is no other."""
        incarnations = [incarnation for incarnation in self._rate if incarnation not in excluded]
        return max(
            incarnations,
            key=lambda incarnation: (self.find_load(incarnation), incarnation),
            default=None,
        )

    def add(self, incarnation: deployment.ServerIncarnation, rate: float) -> None:
        """Add `rate` requests per second to a server's planned rate."""
        self._rate[incarnation] += rate


def place_free(
    free: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
    server_count: int,
) -> tuple[Placement, ...]:
    """Return placements for free ranges, highest rate first; high-rate ranges are split.

    Parameters
    ----------
    server_count
        Number of servers that share the load.
    """
    fair_share = key_rates.total / max(1, server_count)
    placements = []
    for lease in sorted(free, key=lambda lease: -key_rates.sum_range(lease.keys)):
        for piece in split_evenly(lease.keys, key_rates, fair_share):
            rate = key_rates.sum_range(piece)
            target = loads.find_least_loaded(rate)
            loads.add(target, rate)
            placements.append(Placement(lease.service, piece, target))
    return tuple(placements)


def split_evenly(
    keys: key_ranges.KeyRange, key_rates: load_statistics.KeyRates, limit: float
) -> tuple[key_ranges.KeyRange, ...]:
    """Split a range into at most `MAX_PIECES` pieces of about equal rate, each near `limit`."""
    total = key_rates.sum_range(keys)
    count = 1 if total <= SPLIT_FACTOR * limit else min(MAX_PIECES, math.ceil(total / limit))
    pieces = []
    first = keys.first
    for index in range(count - 1):
        rest = key_ranges.KeyRange(first, keys.last)
        amount = key_rates.sum_range(rest) / (count - index)
        last = min(key_rates.find_prefix_end(rest, amount), keys.last)
        pieces.append(key_ranges.KeyRange(first, last))
        first = last + 1
        if first > keys.last:
            return tuple(pieces)
    return (*pieces, key_ranges.KeyRange(first, keys.last))


def plan_moves(
    leases: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> tuple[Placement, ...]:
    """Return moves from overloaded servers to the least loaded ones.

    Returns at most `MIN_MOVE_LIMIT` moves, or one for each `SERVERS_PER_MOVE` servers if that
    is more, and no moves if the imbalance or the total rate is small.
    """
    if key_rates.prefix_sums[-1] < MIN_TOTAL_RATE_PER_S:
        return ()
    moves: list[Placement] = []
    exhausted: set[deployment.ServerIncarnation] = set()
    limit = max(MIN_MOVE_LIMIT, loads.server_count // SERVERS_PER_MOVE)
    while len(moves) < limit:
        source = loads.find_most_loaded(exhausted)
        destination = loads.find_least_loaded()
        if source is None or not _is_worth_moving(source, destination, loads):
            break
        move = _find_hot_key_move(source, leases, loads, key_rates)
        move = move or _find_move(source, destination, leases, loads, key_rates)
        if move is None:
            exhausted.add(source)
            continue
        rate = key_rates.sum_range(move.keys)
        loads.add(source, -rate)
        loads.add(move.target, rate)
        moves.append(move)
        leases = _remove_range(leases, move)
    return tuple(moves)


def _remove_range(
    leases: tuple[range_leases.RangeLease, ...], move: Placement
) -> tuple[range_leases.RangeLease, ...]:
    """Return the leases without the part that `move` takes."""
    rest: list[range_leases.RangeLease] = []
    for lease in leases:
        if lease.service != move.service or not lease.keys.contains(move.keys.first):
            rest.append(lease)
            continue
        if lease.keys.first < move.keys.first:
            below = key_ranges.KeyRange(lease.keys.first, move.keys.first - 1)
            rest.append(dataclasses.replace(lease, keys=below))
        if move.keys.last < lease.keys.last:
            above = key_ranges.KeyRange(move.keys.last + 1, lease.keys.last)
            rest.append(dataclasses.replace(lease, keys=above))
    return tuple(rest)


def _is_worth_moving(
    source: deployment.ServerIncarnation,
    destination: deployment.ServerIncarnation,
    loads: PlannedLoads,
) -> bool:
    mean = loads.mean
    load = loads.find_load(source)
    is_overloaded = load > max(MIN_OVERLOAD, OVERLOAD_FACTOR * mean, mean + OVERLOAD_MARGIN)
    leaves_server_underused = (
        mean > MIN_MEAN_LOAD
        and loads.find_load(destination) < UNDERUSE_FACTOR * mean
        and load > mean
    )
    return is_overloaded or leaves_server_underused


def _find_hot_key_move(
    source: deployment.ServerIncarnation,
    leases: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> Placement | None:
    """Return a move of a single hot key that uses much of its owner's capacity.

    The key goes to the server with the most unused capacity, if that is clearly more than
    the key has available at its present owner.
    """
    if loads.find_load(source) < HOT_KEY_MIN_SERVER_LOAD:
        return None
    destination = loads.find_most_spare()
    for lease in leases:
        if lease.owner != source or not lease.is_movable:
            continue
        key = key_rates.find_hottest_key(lease.keys)
        part = key_ranges.KeyRange(key, key)
        rate = key_rates.sum_range(part)
        is_dominant = rate > HOT_KEY_MIN_CAPACITY_SHARE * loads.find_capacity(source)
        available_rate = loads.find_spare(source) + rate
        if is_dominant and loads.find_spare(destination) > HOT_KEY_MIN_GAIN * available_rate:
            return Placement(lease.service, part, destination)
    return None


def _find_move(
    source: deployment.ServerIncarnation,
    destination: deployment.ServerIncarnation,
    leases: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> Placement | None:
    mean = loads.mean
    excess = (loads.find_load(source) - mean) * loads.find_capacity(source)
    spare = (mean - loads.find_load(destination)) * loads.find_capacity(destination)
    amount = min(excess, spare)
    if amount <= MIN_MOVE_FRACTION * mean * loads.find_capacity(source):
        return None
    best: Placement | None = None
    best_deviation = math.inf
    for lease in leases:
        if lease.owner != source or not lease.is_movable:
            continue
        for part in _list_parts(lease.keys, amount, key_rates):
            rate = key_rates.sum_range(part)
            deviation = abs(rate - amount)
            if deviation < best_deviation and rate <= _find_max_rate(
                amount, source, destination, loads
            ):
                best = Placement(lease.service, part, destination)
                best_deviation = deviation
    return best


def _find_max_rate(
    amount: float,
    source: deployment.ServerIncarnation,
    destination: deployment.ServerIncarnation,
    loads: PlannedLoads,
) -> float:
    """Return the highest rate that a move may have, in requests per second.

    That is `OVERSHOOT_FACTOR` times the wanted amount, or 0.7 of the rate that would raise the
    destination's load to the source's present one, whichever is higher.
    """
    equalizing_rate = (
        loads.find_load(source) - loads.find_load(destination)
    ) * loads.find_capacity(destination)
    return max(OVERSHOOT_FACTOR * amount, 0.7 * equalizing_rate)


def _list_parts(
    keys: key_ranges.KeyRange, amount: float, key_rates: load_statistics.KeyRates
) -> list[key_ranges.KeyRange]:
    total = key_rates.sum_range(keys)
    if total <= OVERSHOOT_FACTOR * amount:
        return [keys]
    last = key_rates.find_prefix_end(keys, amount)
    first = key_rates.find_prefix_end(keys, total - amount) + 1
    # The last key of a prefix may have so high a rate that only the keys before it can move.
    ends = (last, last - 1)
    starts = (first, first + 1)
    parts = [key_ranges.KeyRange(keys.first, end) for end in ends if keys.first <= end < keys.last]
    parts += [
        key_ranges.KeyRange(start, keys.last) for start in starts if keys.first < start <= keys.last
    ]
    return parts or [keys]
