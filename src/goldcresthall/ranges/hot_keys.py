"""Moves of single keys that use much of their owner's capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.ranges import planner

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.ranges import load_statistics
    from goldcresthall.ranges import range_leases

MIN_SERVER_LOAD = 0.8
MIN_CAPACITY_SHARE = 0.4
MIN_GAIN = 1.3


def find_hot_key_move(
    source: deployment.ServerIncarnation,
    movable: tuple[range_leases.RangeLease, ...],
    loads: planner.PlannedLoads,
    key_rates: load_statistics.KeyRates,
) -> planner.Placement | None:
    """Return a move of a single hot key that uses much of its owner's capacity.

    The key goes to the server with the most unused capacity, if that is clearly more than
    the key has available at its present owner.

    Parameters
    ----------
    movable
        Leases of the source that may move.
    """
    if loads.find_load(source) < MIN_SERVER_LOAD:
        return None
    destination = loads.find_most_spare()
    if destination is None:
        return None
    for lease in movable:
        key = key_rates.find_hottest_key(lease.keys)
        part = key_ranges.KeyRange(key, key)
        rate = key_rates.sum_range(part)
        is_dominant = rate > MIN_CAPACITY_SHARE * loads.find_capacity(source)
        available_rate = loads.find_spare(source) + rate
        if is_dominant and loads.find_spare(destination) > MIN_GAIN * available_rate:
            return planner.Placement(lease.service, part, destination)
    return None
