"""Where ranges should go: placement by heat and by the speed of servers."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import holdings

if TYPE_CHECKING:
    from goldcresthall.ranges import heat

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

    life: deployment.ServerLife
    capacity: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A part of a holding and the server that is to get it."""

    service: str
    keys: key_ranges.KeyRange
    target: deployment.ServerLife


class Loads:
    """Requests per second that each server has, as far as planned."""

    def __init__(
        self,
        candidates: tuple[Candidate, ...],
        held: tuple[holdings.Holding, ...],
        heat_map: heat.HeatMap,
    ) -> None:
        self._capacity = {candidate.life: candidate.capacity for candidate in candidates}
        self._rate = dict.fromkeys(self._capacity, 0.0)
        for item in held:
            life = item.target or item.owner
            if life in self._rate and item.phase is not holdings.Phase.EXPIRING:
                self._rate[life] += heat_map.measure(item.keys)

    @property
    def mean(self) -> float:
        """Load of all servers together."""
        return sum(self._rate.values()) / sum(self._capacity.values())

    def find(self, life: deployment.ServerLife) -> float:
        """Return the load of a server as a fraction of its capacity."""
        return self._rate[life] / self._capacity[life]

    def find_capacity(self, life: deployment.ServerLife) -> float:
        """Return the requests per second that a server can run."""
        return self._capacity[life]

    def find_coolest(self, rate: float = 0.0) -> deployment.ServerLife:
        """Return the server with the least load once it has `rate` more."""
        return min(
            self._rate, key=lambda life: ((self._rate[life] + rate) / self._capacity[life], life)
        )

    @property
    def server_count(self) -> int:
        """Number of servers that may get ranges."""
        return len(self._capacity)

    def find_spare(self, life: deployment.ServerLife) -> float:
        """Return the requests per second that a server could run besides what it has."""
        return self._capacity[life] - self._rate[life]

    def find_roomiest(self) -> deployment.ServerLife:
        """Return the server that could run the most besides what it has."""
        return max(self._rate, key=lambda life: (self.find_spare(life), life))

    def find_hottest(self, without: set[deployment.ServerLife]) -> deployment.ServerLife | None:
        """Return the server with the most load but for some, or none."""
        lives = [life for life in self._rate if life not in without]
        return max(lives, key=lambda life: (self.find(life), life), default=None)

    def add(self, life: deployment.ServerLife, rate: float) -> None:
        """Plan for so many more requests per second at a server."""
        self._rate[life] += rate


def place_free(
    free: tuple[holdings.Holding, ...], loads: Loads, heat_map: heat.HeatMap, servers: int
) -> tuple[Placement, ...]:
    """Return where ranges go that nobody holds; large ones are cut."""
    fair = heat_map.total / max(1, servers)
    placements = []
    for item in sorted(free, key=lambda item: -heat_map.measure(item.keys)):
        for piece in split_evenly(item.keys, heat_map, fair):
            rate = heat_map.measure(piece)
            target = loads.find_coolest(rate)
            loads.add(target, rate)
            placements.append(Placement(item.service, piece, target))
    return tuple(placements)


def split_evenly(
    keys: key_ranges.KeyRange, heat_map: heat.HeatMap, most: float
) -> tuple[key_ranges.KeyRange, ...]:
    """Return pieces of a range that have about equal heat, each at most about `most`."""
    total = heat_map.measure(keys)
    count = 1 if total <= SPLIT_FACTOR * most else min(MOST_PIECES, math.ceil(total / most))
    pieces = []
    first = keys.first
    for index in range(count - 1):
        rest = key_ranges.KeyRange(first, keys.last)
        amount = heat_map.measure(rest) / (count - index)
        last = min(heat_map.find_prefix(rest, amount), keys.last)
        pieces.append(key_ranges.KeyRange(first, last))
        first = last + 1
        if first > keys.last:
            return tuple(pieces)
    return (*pieces, key_ranges.KeyRange(first, keys.last))


def plan_moves(
    held: tuple[holdings.Holding, ...], loads: Loads, heat_map: heat.HeatMap
) -> tuple[Placement, ...]:
    """Return moves from crowded servers to idle ones; few, and only where it matters."""
    if heat_map.sums[-1] < LEAST_RATE:
        return ()
    moves: list[Placement] = []
    stuck: set[deployment.ServerLife] = set()
    most = max(LEAST_MOVES, loads.server_count // SERVERS_PER_MOVE)
    while len(moves) < most:
        hot = loads.find_hottest(stuck)
        cool = loads.find_coolest()
        if hot is None or not _is_worth_moving(hot, cool, loads):
            break
        move = _find_lone_key(hot, held, loads, heat_map)
        move = move or _find_move(hot, cool, held, loads, heat_map)
        if move is None:
            stuck.add(hot)
            continue
        rate = heat_map.measure(move.keys)
        loads.add(hot, -rate)
        loads.add(move.target, rate)
        moves.append(move)
        held = _take_out(held, move)
    return tuple(moves)


def _take_out(held: tuple[holdings.Holding, ...], move: Placement) -> tuple[holdings.Holding, ...]:
    """Return the holdings without a part that is to move."""
    rest: list[holdings.Holding] = []
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


def _is_worth_moving(hot: deployment.ServerLife, cool: deployment.ServerLife, loads: Loads) -> bool:
    mean = loads.mean
    load = loads.find(hot)
    is_crowded = load > max(LEAST_HOT_LOAD, HOT_FACTOR * mean, mean + HOT_MARGIN)
    is_wasted = mean > LEAST_MEAN_LOAD and loads.find(cool) < IDLE_FACTOR * mean and load > mean
    return is_crowded or is_wasted


def _find_lone_key(
    hot: deployment.ServerLife,
    held: tuple[holdings.Holding, ...],
    loads: Loads,
    heat_map: heat.HeatMap,
) -> Placement | None:
    """Return the move of a key that crowds its owner alone to where it is run sooner."""
    if loads.find(hot) < LONE_KEY_LOAD:
        return None
    roomiest = loads.find_roomiest()
    for item in held:
        if item.owner != hot or not item.is_movable:
            continue
        key = heat_map.find_hottest(item.keys)
        part = key_ranges.KeyRange(key, key)
        rate = heat_map.measure(part)
        has_most = rate > LONE_KEY_SHARE * loads.find_capacity(hot)
        present_room = loads.find_spare(hot) + rate
        if has_most and loads.find_spare(roomiest) > LONE_KEY_GAIN * present_room:
            return Placement(item.service, part, roomiest)
    return None


def _find_move(
    hot: deployment.ServerLife,
    cool: deployment.ServerLife,
    held: tuple[holdings.Holding, ...],
    loads: Loads,
    heat_map: heat.HeatMap,
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
        for part in _list_parts(item.keys, amount, heat_map):
            rate = heat_map.measure(part)
            error = abs(rate - amount)
            if error < best_error and rate <= _find_most(amount, hot, cool, loads):
                best = Placement(item.service, part, cool)
                best_error = error
    return best


def _find_most(
    amount: float, hot: deployment.ServerLife, cool: deployment.ServerLife, loads: Loads
) -> float:
    """Return the most heat whose move still leaves the cool server below the hot one."""
    level = (loads.find(hot) - loads.find(cool)) * loads.find_capacity(cool)
    return max(FIT_FACTOR * amount, 0.7 * level)


def _list_parts(
    keys: key_ranges.KeyRange, amount: float, heat_map: heat.HeatMap
) -> list[key_ranges.KeyRange]:
    total = heat_map.measure(keys)
    if total <= FIT_FACTOR * amount:
        return [keys]
    last = heat_map.find_prefix(keys, amount)
    first = heat_map.find_prefix(keys, total - amount) + 1
    # The last key of a prefix may be so hot that only the ones before it can go.
    ends = (last, last - 1)
    starts = (first, first + 1)
    parts = [key_ranges.KeyRange(keys.first, end) for end in ends if keys.first <= end < keys.last]
    parts += [
        key_ranges.KeyRange(start, keys.last) for start in starts if keys.first < start <= keys.last
    ]
    return parts or [keys]
