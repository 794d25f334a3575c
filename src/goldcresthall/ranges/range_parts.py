"""Parts of ranges that may move, and what they leave behind."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.ranges import load_statistics

OVERSHOOT_FACTOR = 1.3
# A moved key is slower for some seconds, so a part with few keys is preferred: all keys of the
# service weigh as much as this multiple of the wanted amount.
KEYS_WEIGHT = 10.0


class Splits(enum.Enum):
    """How a range may be split for a move, given the number of ranges that there are.

    NONE
        Only whole ranges move.
    ENDS
        A move takes an end of a range, which leaves one other part.
    ANYWHERE
        A move may take the part with the fewest keys, which may leave two others.
    """

    NONE = "none"
    ENDS = "ends"
    ANYWHERE = "anywhere"


@dataclasses.dataclass(frozen=True, slots=True)
class WantedMove:
    """What a move should bring from one server to another.

    Attributes
    ----------
    amount
        Wanted seconds of work per second.
    max_rate
        The highest rate that the part may have.
    """

    destination: deployment.ServerIncarnation
    amount: float
    max_rate: float


def find_part(
    leases: tuple[range_leases.RangeLease, ...],
    wanted: WantedMove,
    key_rates: load_statistics.KeyRates,
    *,
    splits: Splits,
) -> planner.Placement | None:
    """Return the move of the part of any of the leases that fits best, if any does."""
    best: planner.Placement | None = None
    best_cost = 0.0
    for lease in leases:
        for part in _list_parts(lease.keys, wanted.amount, key_rates, splits):
            rate = key_rates.sum_range(part)
            if rate > wanted.max_rate:
                continue
            cost = abs(rate / wanted.amount - 1.0) + KEYS_WEIGHT * part.size / key_ranges.KEY_COUNT
            if best is None or cost < best_cost:
                best = planner.Placement(lease.service, part, wanted.destination)
                best_cost = cost
    return best


def remove_range(
    leases: tuple[range_leases.RangeLease, ...], move: planner.Placement
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


def _list_parts(
    keys: key_ranges.KeyRange, amount: float, key_rates: load_statistics.KeyRates, splits: Splits
) -> list[key_ranges.KeyRange]:
    total = key_rates.sum_range(keys)
    if splits is Splits.NONE or total <= OVERSHOOT_FACTOR * amount:
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
    if splits is Splits.ANYWHERE and (densest := key_rates.find_densest_part(keys, amount)):
        parts.append(densest)
    return parts or [keys]
