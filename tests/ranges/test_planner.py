"""Tests of moves away from a server that a single hot key overloads."""

from __future__ import annotations

import pytest

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import move_planner
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_leases

SERVICE = "ledger"
HOT_KEY = 500
SLOW = deployment.ServerIncarnation("slow", 1)
FAST = deployment.ServerIncarnation("fast", 1)
OTHERS = tuple(deployment.ServerIncarnation(f"other-{number}", 1) for number in range(6))


def create_leases() -> tuple[range_leases.RangeLease, ...]:
    """Return leases on 1,000 keys each; the first one is owned by the slow server."""
    return tuple(
        range_leases.RangeLease(
            service=SERVICE,
            keys=key_ranges.KeyRange(1_000 * index, 1_000 * index + 999),
            owner=owner,
            phase=range_leases.LeasePhase.HELD,
            ready=True,
        )
        for index, owner in enumerate((SLOW, FAST, *OTHERS))
    )


def create_rates(hot_rate: float) -> load_statistics.KeyRates:
    """Return rates of 0.2 requests per second at every hundredth key and one hot key."""
    keys = tuple(sorted({*range(50, 8_000, 100), HOT_KEY}))
    sums = [0.0]
    for key in keys:
        sums.append(sums[-1] + (hot_rate if key == HOT_KEY else 0.2))
    return load_statistics.KeyRates(keys, tuple(sums), 1e-5)


def plan(hot_rate: float, fast_capacity: float) -> tuple[planner.Placement, ...]:
    """Return the planned moves; all servers but the fast one process 10 requests per second."""
    candidates = (
        planner.Candidate(SLOW, 10.0),
        planner.Candidate(FAST, fast_capacity),
        *(planner.Candidate(incarnation, 10.0) for incarnation in OTHERS),
    )
    leases = create_leases()
    key_rates = create_rates(hot_rate)
    return move_planner.plan_moves(
        leases, planner.PlannedLoads(candidates, leases, key_rates), key_rates
    )


def test_dominant_hot_key_moves_alone_to_the_server_with_most_spare_capacity() -> None:
    moves = plan(hot_rate=18.0, fast_capacity=30.0)
    assert moves[0] == planner.Placement(SERVICE, key_ranges.KeyRange(HOT_KEY, HOT_KEY), FAST)


def test_hot_key_stays_and_other_keys_move_if_no_server_has_clearly_more_capacity() -> None:
    moves = plan(hot_rate=40.0, fast_capacity=11.0)
    assert moves
    assert not any(move.keys.contains(HOT_KEY) for move in moves)
    moved = sum(move.keys.size for move in moves if move.keys.last < 1_000)
    assert moved > 400


@pytest.mark.parametrize("hot_rate", [0.0, 1.0])
def test_even_load_causes_no_moves(hot_rate: float) -> None:
    assert plan(hot_rate, fast_capacity=10.0) == ()
