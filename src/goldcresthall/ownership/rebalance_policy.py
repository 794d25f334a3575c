"""Load-based rebalancing decisions for partitions and hot keys, as pure functions."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import heat


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceLimits:
    """Thresholds and bounds of rebalancing.

    Attributes
    ----------
    start_ratio
        Ratio of the maximum to the mean server load above which rebalancing starts.
    stop_ratio
        The same ratio at or below which it stops; lower, as hysteresis against flapping.
    min_gain_fraction
        Minimum reduction of the larger load of source and target server by a move, as a
        fraction of the mean load.
    max_moves_per_round
        Maximum number of moves of one decision.
    min_hot_key_fraction
        Minimum load of a key that may move alone, as a fraction of the mean server load.
    """

    start_ratio: float = 1.25
    stop_ratio: float = 1.1
    min_gain_fraction: float = 0.05
    max_moves_per_round: int = 4
    min_hot_key_fraction: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLayout:
    """Owners of the partitions and hot keys of one service.

    Attributes
    ----------
    owners
        Owner of each partition.
    hot_keys
        Owner of each key with an ownership entry of its own.
    eligible
        Servers that may receive partitions and keys.
    """

    owners: Mapping[int, str]
    hot_keys: Mapping[str, str]
    eligible: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProposedPartitionMove:
    """A proposed move of a partition to another server."""

    partition: int
    from_server: str
    to_server: str
    load_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProposedKeyMove:
    """A proposed move of a hot key, without its partition, to another server."""

    key: str
    partition: int
    from_server: str
    to_server: str
    load_per_s: float


ProposedMove = ProposedPartitionMove | ProposedKeyMove


@dataclasses.dataclass(frozen=True, slots=True)
class RebalanceDecision:
    """The moves of one round, and whether rebalancing remains active."""

    moves: tuple[ProposedMove, ...]
    is_active: bool
    max_to_mean_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Movable:
    load_per_s: float
    partition: int
    key: str


def estimate_partition_loads(measured: heat.ServiceHeat, partition_count: int) -> tuple[float, ...]:
    """Return the load of each partition; unreported load is distributed evenly."""
    reported = {item.number: item.rate_per_s for item in measured.partitions}
    unreported_count = partition_count - len(reported)
    unreported_load_per_s = max(0.0, measured.rate_per_s - sum(reported.values()))
    even_share_per_s = unreported_load_per_s / unreported_count if unreported_count else 0.0
    return tuple(reported.get(number, even_share_per_s) for number in range(partition_count))


def sum_load_by_server(
    layout: OwnershipLayout, loads: tuple[float, ...], keys: tuple[heat.KeyHeat, ...]
) -> dict[str, float]:
    """Return the load of each eligible or owning server, including its hot keys."""
    totals: dict[str, float] = collections.defaultdict(float)
    for server in layout.eligible:
        totals[server] = 0.0
    for partition, owner in layout.owners.items():
        totals[owner] += loads[partition]
    for item in keys:
        hot_key_owner = layout.hot_keys.get(item.key)
        if hot_key_owner is not None:
            totals[hot_key_owner] += item.rate_per_s
            totals[layout.owners[item.partition]] -= item.rate_per_s
    return dict(totals)


def decide_moves(
    layout: OwnershipLayout,
    measured: heat.ServiceHeat,
    partition_count: int,
    limits: RebalanceLimits,
    *,
    was_active: bool,
) -> RebalanceDecision:
    """Return the moves that reduce the load of the most loaded server, best first.

    Only the most loaded server gives up load, so that of all lessors that decide at
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
    moves = _choose_moves(hottest, movables, layout, totals, limits)
    return RebalanceDecision(moves, is_active=bool(moves), max_to_mean_ratio=ratio)


def _list_movables(
    server: str,
    layout: OwnershipLayout,
    loads: tuple[float, ...],
    keys: tuple[heat.KeyHeat, ...],
    min_key_load_per_s: float,
) -> list[_Movable]:
    hot_keys = {
        item.key: item
        for item in keys
        if item.rate_per_s - item.error_per_s >= min_key_load_per_s
        and layout.hot_keys.get(item.key, layout.owners.get(item.partition)) == server
    }
    hot_key_movables = [
        _Movable(item.rate_per_s, item.partition, item.key) for item in hot_keys.values()
    ]
    partition_movables = [
        _Movable(_subtract_moved_keys(number, loads, layout, keys), number, "")
        for number, owner in layout.owners.items()
        if owner == server
    ]
    return hot_key_movables + partition_movables


def _subtract_moved_keys(
    partition: int,
    loads: tuple[float, ...],
    layout: OwnershipLayout,
    keys: tuple[heat.KeyHeat, ...],
) -> float:
    moved_load_per_s = sum(
        item.rate_per_s
        for item in keys
        if item.partition == partition and item.key in layout.hot_keys
    )
    return max(0.0, loads[partition] - moved_load_per_s)


def _choose_moves(
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
        moves.append(_create_proposed_move(best, hottest, coldest))
        movables = [item for item in movables if item.partition != best.partition]
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
    def get_max_load_after(item: _Movable) -> float:
        return max(hottest_load - item.load_per_s, coldest_load + item.load_per_s)

    if not movables:
        return None
    # On a tie, prefer a single key, which moves no other keys with it.
    best = min(movables, key=lambda item: (get_max_load_after(item), not item.key, item.partition))
    is_gain_sufficient = hottest_load - get_max_load_after(best) >= limits.min_gain_fraction * mean
    return best if is_gain_sufficient else None


def _create_proposed_move(movable: _Movable, from_server: str, to_server: str) -> ProposedMove:
    if movable.key:
        return ProposedKeyMove(
            movable.key, movable.partition, from_server, to_server, movable.load_per_s
        )
    return ProposedPartitionMove(movable.partition, from_server, to_server, movable.load_per_s)
