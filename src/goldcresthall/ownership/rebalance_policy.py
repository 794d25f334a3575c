"""Decisions on moves by load: which partition or hot key goes where. Pure functions."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import heat


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceLimits:
    """When moves begin, when they end, and how many there may be.

    Attributes
    ----------
    begin_above
        Largest over mean load of a server above which moves begin.
    end_below
        The same ratio below which they end; lower, so that moves do not flap.
    least_gain
        Fraction of the mean load by which a move must lighten its server and leave
        the receiving server below it.
    moves_per_round
        Most moves of one decision.
    hot_key_share
        Fraction of the mean load of a server from which a key may move alone.
    """

    start_ratio: float = 1.25
    stop_ratio: float = 1.1
    min_gain_fraction: float = 0.05
    max_moves_per_round: int = 4
    min_hot_key_fraction: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLayout:
    """Who owns what of one service.

    Attributes
    ----------
    owners
        Owner of each partition.
    hot_keys
        Owner of each key that has an entry of its own.
    eligible
        Servers that may be given more.
    """

    owners: Mapping[int, str]
    hot_keys: Mapping[str, str]
    eligible: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProposedPartitionMove:
    """A partition that should go to another server."""

    partition: int
    from_server: str
    to_server: str
    load_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProposedKeyMove:
    """A hot key that should go to another server alone."""

    key: str
    partition: int
    from_server: str
    to_server: str
    load_per_s: float


ProposedMove = ProposedPartitionMove | ProposedKeyMove


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceDecision:
    """The moves of one round, and whether another round should follow."""

    moves: tuple[ProposedMove, ...]
    is_active: bool
    max_to_mean_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Movable:
    load_per_s: float
    partition: int
    key: str


def estimate_partition_loads(measured: heat.ServiceHeat, partition_count: int) -> tuple[float, ...]:
    """Return each partition's load; what was not reported apart is spread evenly."""
    named = {found.number: found.rate_per_s for found in measured.partitions}
    others = partition_count - len(named)
    rest = max(0.0, measured.rate_per_s - sum(named.values()))
    even = rest / others if others else 0.0
    return tuple(named.get(number, even) for number in range(partition_count))


def sum_load_by_server(
    layout: OwnershipLayout, loads: tuple[float, ...], keys: tuple[heat.KeyHeat, ...]
) -> dict[str, float]:
    """Return each eligible server's load, its hot keys' among it."""
    totals: dict[str, float] = collections.defaultdict(float)
    for server in layout.eligible:
        totals[server] = 0.0
    for partition, owner in layout.owners.items():
        totals[owner] += loads[partition]
    for found in keys:
        alone = layout.hot_keys.get(found.key)
        if alone is not None:
            totals[alone] += found.rate_per_s
            totals[layout.owners[found.partition]] -= found.rate_per_s
    return dict(totals)


def decide_moves(
    layout: OwnershipLayout,
    measured: heat.ServiceHeat,
    partition_count: int,
    limits: RebalanceLimits,
    *,
    was_active: bool,
) -> RebalanceDecision:
    """Return the moves that lighten the most loaded server, the best one first.

    Only the most loaded server is lightened, so that of all lessors that decide at
    the same time only one acts.
    """
    loads = estimate_partition_loads(measured, partition_count)
    totals = sum_load_by_server(layout, loads, measured.keys)
    mean = sum(totals.values()) / len(totals) if totals else 0.0
    if mean <= 0.0 or not layout.eligible:
        return RebalanceDecision((), is_active=False, max_to_mean_ratio=0.0)
    hottest = max(sorted(totals), key=totals.__getitem__)
    ratio = totals[hottest] / mean
    threshold = limits.stop_ratio if was_active else limits.start_ratio
    if ratio <= threshold:
        return RebalanceDecision((), is_active=False, max_to_mean_ratio=ratio)
    movables = _list_movables(
        hottest, layout, loads, measured.keys, limits.min_hot_key_fraction * mean
    )
    moves = _choose_shifts(hottest, movables, layout, totals, limits)
    return RebalanceDecision(moves, is_active=bool(moves), max_to_mean_ratio=ratio)


def _list_movables(
    server: str,
    layout: OwnershipLayout,
    loads: tuple[float, ...],
    keys: tuple[heat.KeyHeat, ...],
    least_key_load: float,
) -> list[_Movable]:
    hot = {
        found.key: found
        for found in keys
        if found.rate_per_s - found.error_per_s >= least_key_load
        and layout.hot_keys.get(found.key, layout.owners.get(found.partition)) == server
    }
    alone = [_Movable(found.rate_per_s, found.partition, found.key) for found in hot.values()]
    partitions = [
        _Movable(_subtract_moved_keys(number, loads, layout, keys), number, "")
        for number, owner in layout.owners.items()
        if owner == server
    ]
    return alone + partitions


def _subtract_moved_keys(
    partition: int,
    loads: tuple[float, ...],
    layout: OwnershipLayout,
    keys: tuple[heat.KeyHeat, ...],
) -> float:
    gone = sum(
        found.rate_per_s
        for found in keys
        if found.partition == partition and found.key in layout.hot_keys
    )
    return max(0.0, loads[partition] - gone)


def _choose_shifts(
    hottest: str,
    movables: list[_Movable],
    layout: OwnershipLayout,
    totals: dict[str, float],
    limits: RebalanceLimits,
) -> tuple[ProposedMove, ...]:
    mean = sum(totals.values()) / len(totals)
    remaining = dict(totals)
    moves: list[ProposedMove] = []
    while len(moves) < limits.max_moves_per_round and remaining[hottest] > limits.stop_ratio * mean:
        coldest = min(sorted(layout.eligible), key=remaining.__getitem__)
        best = _find_best(remaining[hottest], remaining[coldest], movables, limits, mean)
        if best is None or coldest == hottest:
            break
        moves.append(_create_shift(best, hottest, coldest))
        movables = [found for found in movables if found.partition != best.partition]
        remaining[hottest] -= best.load_per_s
        remaining[coldest] += best.load_per_s
    return tuple(moves)


def _find_best(
    hottest_load: float,
    coldest_load: float,
    movables: list[_Movable],
    limits: RebalanceLimits,
    mean: float,
) -> _Movable | None:
    def worst_after(found: _Movable) -> float:
        return max(hottest_load - found.load_per_s, coldest_load + found.load_per_s)

    if not movables:
        return None
    # Of equal outcomes the key alone goes, as it takes no other key with it.
    best = min(movables, key=lambda found: (worst_after(found), not found.key, found.partition))
    gains = hottest_load - worst_after(best) >= limits.min_gain_fraction * mean
    return best if gains else None


def _create_shift(movable: _Movable, from_server: str, to_server: str) -> ProposedMove:
    if movable.key:
        return ProposedKeyMove(
            movable.key, movable.partition, from_server, to_server, movable.load_per_s
        )
    return ProposedPartitionMove(movable.partition, from_server, to_server, movable.load_per_s)
