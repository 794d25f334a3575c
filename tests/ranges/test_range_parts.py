"""Tests of the part of a range that a move takes."""

from __future__ import annotations

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import range_parts

OWNER = deployment.ServerIncarnation("owner", 1)
TARGET = deployment.ServerIncarnation("target", 1)
LEASE = range_leases.RangeLease(
    service="ledger", keys=key_ranges.KeyRange(0, 9_999), owner=OWNER, fence=1
)


def find_keys(
    splits: range_parts.Splits, rates: dict[int, float], amount: float
) -> key_ranges.KeyRange | None:
    """Return the keys that move for rates of single keys."""
    sums = [0.0]
    for key in sorted(rates):
        sums.append(sums[-1] + rates[key])
    key_rates = load_statistics.KeyRates(tuple(sorted(rates)), tuple(sums), 1e-6)
    wanted = range_parts.WantedMove(TARGET, amount, 1.3 * amount)
    move = range_parts.find_part((LEASE,), wanted, key_rates, splits=splits)
    return move.keys if move is not None else None


HOT_SPOT = dict.fromkeys(range(5000, 5030), 0.1)


def test_hot_spot_inside_a_range_moves_without_its_calm_neighbours() -> None:
    """With an end of the range, half of its keys changed hands."""
    keys = find_keys(range_parts.Splits.ANYWHERE, HOT_SPOT, 1.0)
    assert keys is not None
    assert keys.size <= 11
    assert 5_000 <= keys.first <= keys.last <= 5_029


def test_end_of_a_range_moves_if_there_are_many_ranges() -> None:
    keys = find_keys(range_parts.Splits.ENDS, HOT_SPOT, 1.0)
    assert keys is not None
    assert keys.first == 0 or keys.last == 9_999


def test_only_a_whole_range_that_fits_moves_if_none_may_be_split() -> None:
    assert find_keys(range_parts.Splits.NONE, HOT_SPOT, 1.0) is None
    assert find_keys(range_parts.Splits.NONE, HOT_SPOT, 3.0) == LEASE.keys


def test_key_beyond_the_highest_rate_stays() -> None:
    keys = find_keys(range_parts.Splits.ANYWHERE, {100: 0.4, 200: 9.0, 300: 0.2}, 0.5)
    assert keys is not None
    assert not keys.contains(200)
