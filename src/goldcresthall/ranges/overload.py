"""Shares of requests to admit to ranges whose owner is offered more than it can serve in time.

Each owner's capacity is divided by max-min fairness among its hot keys and the ranges between
them: what asks for less than its fair share gets all of it, so that a hot key pays for itself and
not its neighbours.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.admission import range_admissions
from goldcresthall.core import key_ranges
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.ranges import load_statistics
    from goldcresthall.ranges import planner

# Fraction of its estimated capacity up to which all requests are admitted. Estimates of work count
# some queueing and network time, and the queue of a server absorbs what exceeds its slots for a
# moment; a share below that would leave slots idle.
SERVED_LOAD = 1.3
# Keys with more than this fraction of their owner's capacity are admitted on their own.
HOT_KEY_CAPACITY_SHARE = 0.1
# Shares closer to 1 than this are not worth a rejection.
MIN_CUT = 0.05
# Bounds the size of replies; the ranges with the largest cuts come first.
MAX_ROWS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    keys: key_ranges.KeyRange
    rate: float


def find_admissions(
    leases: tuple[range_leases.RangeLease, ...],
    candidates: tuple[planner.Candidate, ...],
    key_rates: load_statistics.KeyRates,
) -> tuple[range_admissions.RangeAdmission, ...]:
    """Return the ranges of one service of which only a share fits, by their first keys.

    Parameters
    ----------
    leases
        All leases of the service. Owners that are no candidates are left out, since their ranges
        move anyway.
    """
    capacities = {candidate.incarnation: candidate.capacity for candidate in candidates}
    owned: dict[deployment.ServerIncarnation, list[range_leases.RangeLease]] = {}
    for lease in leases:
        owner = lease.target or lease.owner
        if owner in capacities and lease.phase is not range_leases.LeasePhase.EXPIRING:
            owned.setdefault(owner, []).append(lease)
    rows = [
        row
        for owner, owner_leases in owned.items()
        for row in _divide(owner_leases, SERVED_LOAD * capacities[owner], key_rates)
    ]
    largest_cuts = sorted(rows, key=lambda row: (row.share, row.keys))[:MAX_ROWS]
    return tuple(sorted(largest_cuts, key=lambda row: row.keys))


def _divide(
    leases: list[range_leases.RangeLease], limit: float, key_rates: load_statistics.KeyRates
) -> list[range_admissions.RangeAdmission]:
    """Return the rows of one owner that can serve `limit` seconds of work per second."""
    total = sum(key_rates.sum_range(lease.keys) for lease in leases)
    # In the first second of traffic, noise alone would make some owners look overloaded.
    if total - key_rates.find_noise(total) <= limit:
        return []
    demands = [
        demand
        for lease in leases
        for demand in _split_at_hot_keys(lease.keys, HOT_KEY_CAPACITY_SHARE * limit, key_rates)
    ]
    fair = _find_fair_rate([demand.rate for demand in demands], limit)
    return [
        range_admissions.RangeAdmission(leases[0].service, demand.keys, fair / demand.rate)
        for demand in demands
        if fair < (1.0 - MIN_CUT) * demand.rate
    ]


def _split_at_hot_keys(
    keys: key_ranges.KeyRange, hot_rate: float, key_rates: load_statistics.KeyRates
) -> list[_Demand]:
    """Return the demands of each hot key of a range and of what lies between them."""
    demands = []
    first = keys.first
    for key in key_rates.list_hot_keys(keys, hot_rate):
        if first < key:
            demands.append(_create_demand(key_ranges.KeyRange(first, key - 1), key_rates))
        demands.append(_create_demand(key_ranges.KeyRange(key, key), key_rates))
        first = key + 1
    if first <= keys.last:
        demands.append(_create_demand(key_ranges.KeyRange(first, keys.last), key_rates))
    return demands


def _create_demand(keys: key_ranges.KeyRange, key_rates: load_statistics.KeyRates) -> _Demand:
    return _Demand(keys, key_rates.sum_range(keys))


def _find_fair_rate(rates: list[float], limit: float) -> float:
    """Return the rate to which the highest rates must be cut for all to fit into `limit`."""
    remaining = limit
    ascending = sorted(rates)
    for index, rate in enumerate(ascending):
        fair = remaining / (len(ascending) - index)
        if rate > fair:
            return fair
        remaining -= rate
    return ascending[-1]
