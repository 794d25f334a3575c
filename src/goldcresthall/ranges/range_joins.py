"""Planning of joins: neighbouring ranges that were split for load become one again.

Each move of a hot part splits a range. Without joins the ownership table would grow with every key
that was ever hot, up to the largest record that the store takes.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.ranges import load_statistics

RANGES_PER_SERVER = 4
MIN_RANGE_LIMIT = 16
MAX_JOINS = 8
MAX_CONSOLIDATIONS = 2
# Beyond this, ranges that only a move can bring together are moved.
CONSOLIDATION_FACTOR = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbours:
    """Two leases on neighbouring ranges of one service.

    Attributes
    ----------
    rate
        Seconds of work per second for both ranges together.
    """

    first_id: int
    second_id: int
    first: range_leases.RangeLease
    second: range_leases.RangeLease
    rate: float


def find_range_limit(server_count: int) -> int:
    """Return the number of ranges of a service above which calm ones are joined."""
    return MIN_RANGE_LIMIT + RANGES_PER_SERVER * server_count


def find_joins(
    leases: dict[int, range_leases.RangeLease],
    key_rates: load_statistics.KeyRates,
    limit: int,
) -> tuple[Neighbours, ...]:
    """Return pairs of ranges with the same owner to join, the calmest first.

    Parameters
    ----------
    leases
        All leases of one service.
    limit
        Number of ranges up to which nothing is joined.
    """
    surplus = min(MAX_JOINS, len(leases) - limit)
    joins: list[Neighbours] = []
    used: set[int] = set()
    for pair in _list_neighbours(leases, key_rates):
        if len(joins) >= surplus:
            break
        is_free = not used & {pair.first_id, pair.second_id}
        if is_free and pair.first.owner == pair.second.owner:
            used |= {pair.first_id, pair.second_id}
            joins.append(pair)
    return tuple(joins)


def find_consolidations(
    leases: dict[int, range_leases.RangeLease],
    key_rates: load_statistics.KeyRates,
    limit: int,
    targets: frozenset[deployment.ServerIncarnation],
) -> tuple[planner.Placement, ...]:
    """Return moves of calm ranges to their neighbours' owners, if there are far too many ranges.

    Parameters
    ----------
    targets
        The servers that may get ranges.
    """
    if len(leases) <= CONSOLIDATION_FACTOR * limit:
        return ()
    moves = (
        planner.Placement(moved.service, moved.keys, kept.owner)
        for moved, kept in map(_order_by_size, _list_neighbours(leases, key_rates))
        if kept.owner in targets and kept.owner is not None and kept.owner != moved.owner
    )
    return tuple(itertools.islice(moves, MAX_CONSOLIDATIONS))


def is_consolidation(stored: key_ranges.OwnershipTable, changed: key_ranges.OwnershipTable) -> bool:
    """Return whether a table has ranges to bring together and `changed` adds none."""
    rows = stored.assignments
    limit = len({assignment.owner for assignment in rows})
    return len(rows) > CONSOLIDATION_FACTOR * limit and len(changed.assignments) <= len(rows)


def _order_by_size(
    pair: Neighbours,
) -> tuple[range_leases.RangeLease, range_leases.RangeLease]:
    """Return the smaller range of a pair, then the other."""
    if pair.first.keys.size <= pair.second.keys.size:
        return pair.first, pair.second
    return pair.second, pair.first


def _list_neighbours(
    leases: dict[int, range_leases.RangeLease], key_rates: load_statistics.KeyRates
) -> list[Neighbours]:
    """Return all neighbouring ranges that may change, the calmest first."""
    ordered = sorted(leases.items(), key=lambda item: item[1].keys.first)
    pairs = [
        Neighbours(
            first_id,
            second_id,
            first,
            second,
            key_rates.sum_range(key_ranges.KeyRange(first.keys.first, second.keys.last)),
        )
        for (first_id, first), (second_id, second) in itertools.pairwise(ordered)
        if first.is_movable and second.is_movable and first.keys.last + 1 == second.keys.first
    ]
    return sorted(pairs, key=lambda pair: (pair.rate, pair.first.keys.first))
