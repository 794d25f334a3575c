"""Where ranges should go: placement by heat and by the speed of servers."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.ranges import load_statistics

LEAST_MOVES = 4
SERVERS_PER_MOVE = 4
LEAST_RATE = 2.0
HOT_FACTOR = 1.3
HOT_MARGIN = 0.1
LEAST_HOT_LOAD = 0.35
IDLE_FACTOR = 0.3
LEAST_MEAN_LOAD = 0.03
LEAST_MOVE = 0.15
FIT_FACTOR = 1.3
SPLIT_FACTOR = 1.2
LONE_KEY_LOAD = 0.8
LONE_KEY_SHARE = 0.4
LONE_KEY_GAIN = 1.3
MOST_PIECES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get ranges.

    Attributes
    ----------
    capacity
        Requests per second that it can run.
    """

    incarnation: deployment.ServerIncarnation
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A part of a holding and the server that is to get it."""

    service: str
    keys: key_ranges.KeyRange
    target: deployment.ServerIncarnation


class PlannedLoads:
    """Requests per second that each server has, as far as planned."""

    def __init__(
        self,
        candidates: tuple[Candidate, ...],
        held: tuple[range_leases.RangeLease, ...],
        key_rates: load_statistics.KeyRates,
    ) -> None:
        self._capacity = {candidate.incarnation: candidate.capacity for candidate in candidates}
        self._rate = dict.fromkeys(self._capacity, 0.0)
        for item in held:
            incarnation = item.target or item.owner
            if incarnation in self._rate and item.phase is not range_leases.LeasePhase.EXPIRING:
                self._rate[incarnation] += key_rates.sum_range(item.keys)

    @property
    def mean(self) -> float:
        """Load of all servers together."""
        return sum(self._rate.values()) / sum(self._capacity.values())

    def find(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the load of a server as a fraction of its capacity."""
        return self._rate[incarnation] / self._capacity[incarnation]

    def find_capacity(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the requests per second that a server can run."""
        return self._capacity[incarnation]

    def find_least_loaded(self, rate: float = 0.0) -> deployment.ServerIncarnation:
        """Return the server with the least load once it has `rate` more."""
        return min(
            self._rate,
            key=lambda incarnation: (
                (self._rate[incarnation] + rate) / self._capacity[incarnation],
                incarnation,
            ),
        )

    @property
    def server_count(self) -> int:
        """Number of servers that may get ranges."""
        return len(self._capacity)

    def find_spare(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the requests per second that a server could run besides what it has."""
        return self._capacity[incarnation] - self._rate[incarnation]

    def find_most_spare(self) -> deployment.ServerIncarnation:
        """Return the server that could run the most besides what it has."""
        return max(self._rate, key=lambda incarnation: (self.find_spare(incarnation), incarnation))

    def find_most_loaded(
        self, without: set[deployment.ServerIncarnation]
    ) -> deployment.ServerIncarnation | None:
        """Return the server with the most load but for some, or none."""
        incarnations = [incarnation for incarnation in self._rate if incarnation not in without]
        return max(
            incarnations,
            key=lambda incarnation: (self.find(incarnation), incarnation),
            default=None,
        )

    def add(self, incarnation: deployment.ServerIncarnation, rate: float) -> None:
        """Plan for so many more requests per second at a server."""
        self._rate[incarnation] += rate


def place_free(
    free: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
    servers: int,
) -> tuple[Placement, ...]:
    """Return where ranges go that nobody holds; large ones are cut."""
    fair = key_rates.total / max(1, servers)
    placements = []
    for item in sorted(free, key=lambda item: -key_rates.sum_range(item.keys)):
        for piece in split_evenly(item.keys, key_rates, fair):
            rate = key_rates.sum_range(piece)
            target = loads.find_least_loaded(rate)
            loads.add(target, rate)
            placements.append(Placement(item.service, piece, target))
    return tuple(placements)


def split_evenly(
    keys: key_ranges.KeyRange, key_rates: load_statistics.KeyRates, most: float
) -> tuple[key_ranges.KeyRange, ...]:
    """Return pieces of a range that have about equal heat, each at most about `most`."""
    total = key_rates.sum_range(keys)
    count = 1 if total <= SPLIT_FACTOR * most else min(MOST_PIECES, math.ceil(total / most))
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
    held: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> tuple[Placement, ...]:
    """Return moves from crowded servers to idle ones; few, and only where it matters."""
    if key_rates.prefix_sums[-1] < LEAST_RATE:
        return ()
    moves: list[Placement] = []
    stuck: set[deployment.ServerIncarnation] = set()
    most = max(LEAST_MOVES, loads.server_count // SERVERS_PER_MOVE)
    while len(moves) < most:
        hot = loads.find_most_loaded(stuck)
        cool = loads.find_least_loaded()
        if hot is None or not _is_worth_moving(hot, cool, loads):
            break
        move = _find_lone_key(hot, held, loads, key_rates)
        move = move or _find_move(hot, cool, held, loads, key_rates)
        if move is None:
            stuck.add(hot)
            continue
        rate = key_rates.sum_range(move.keys)
        loads.add(hot, -rate)
        loads.add(move.target, rate)
        moves.append(move)
        held = _take_out(held, move)
    return tuple(moves)


def _take_out(
    held: tuple[range_leases.RangeLease, ...], move: Placement
) -> tuple[range_leases.RangeLease, ...]:
    """Return the holdings without a part that is to move."""
    rest: list[range_leases.RangeLease] = []
    for item in held:
        if item.service != move.service or not item.keys.contains(move.keys.first):
            rest.append(item)
            continue
        if item.keys.first < move.keys.first:
            below = key_ranges.KeyRange(item.keys.first, move.keys.first - 1)
            rest.append(dataclasses.replace(item, keys=below))
        if move.keys.last < item.keys.last:
            above = key_ranges.KeyRange(move.keys.last + 1, item.keys.last)
            rest.append(dataclasses.replace(item, keys=above))
    return tuple(rest)


def _is_worth_moving(
    hot: deployment.ServerIncarnation, cool: deployment.ServerIncarnation, loads: PlannedLoads
) -> bool:
    mean = loads.mean
    load = loads.find(hot)
    is_crowded = load > max(LEAST_HOT_LOAD, HOT_FACTOR * mean, mean + HOT_MARGIN)
    is_wasted = mean > LEAST_MEAN_LOAD and loads.find(cool) < IDLE_FACTOR * mean and load > mean
    return is_crowded or is_wasted


def _find_lone_key(
    hot: deployment.ServerIncarnation,
    held: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> Placement | None:
    """Return the move of a key that crowds its owner alone to where it is run sooner."""
    if loads.find(hot) < LONE_KEY_LOAD:
        return None
    roomiest = loads.find_most_spare()
    for item in held:
        if item.owner != hot or not item.is_movable:
            continue
        key = key_rates.find_hottest_key(item.keys)
        part = key_ranges.KeyRange(key, key)
        rate = key_rates.sum_range(part)
        has_most = rate > LONE_KEY_SHARE * loads.find_capacity(hot)
        present_room = loads.find_spare(hot) + rate
        if has_most and loads.find_spare(roomiest) > LONE_KEY_GAIN * present_room:
            return Placement(item.service, part, roomiest)
    return None


def _find_move(
    hot: deployment.ServerIncarnation,
    cool: deployment.ServerIncarnation,
    held: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> Placement | None:
    mean = loads.mean
    excess = (loads.find(hot) - mean) * loads.find_capacity(hot)
    room = (mean - loads.find(cool)) * loads.find_capacity(cool)
    amount = min(excess, room)
    if amount <= LEAST_MOVE * mean * loads.find_capacity(hot):
        return None
    best: Placement | None = None
    best_error = math.inf
    for item in held:
        if item.owner != hot or not item.is_movable:
            continue
        for part in _list_parts(item.keys, amount, key_rates):
            rate = key_rates.sum_range(part)
            error = abs(rate - amount)
            if error < best_error and rate <= _find_most(amount, hot, cool, loads):
                best = Placement(item.service, part, cool)
                best_error = error
    return best


def _find_most(
    amount: float,
    hot: deployment.ServerIncarnation,
    cool: deployment.ServerIncarnation,
    loads: PlannedLoads,
) -> float:
    """Return the most heat whose move still leaves the cool server below the hot one."""
    level = (loads.find(hot) - loads.find(cool)) * loads.find_capacity(cool)
    return max(FIT_FACTOR * amount, 0.7 * level)


def _list_parts(
    keys: key_ranges.KeyRange, amount: float, key_rates: load_statistics.KeyRates
) -> list[key_ranges.KeyRange]:
    total = key_rates.sum_range(keys)
    if total <= FIT_FACTOR * amount:
        return [keys]
    last = key_rates.find_prefix_end(keys, amount)
    first = key_rates.find_prefix_end(keys, total - amount) + 1
    # The last key of a prefix may be so hot that only the ones before it can go.
    ends = (last, last - 1)
    starts = (first, first + 1)
    parts = [key_ranges.KeyRange(keys.first, end) for end in ends if keys.first <= end < keys.last]
    parts += [
        key_ranges.KeyRange(start, keys.last) for start in starts if keys.first < start <= keys.last
    ]
    return parts or [keys]
