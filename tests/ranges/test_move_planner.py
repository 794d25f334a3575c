"""Tests of moves away from owners at which requests queue, on random load without a network."""

from __future__ import annotations

import dataclasses
import itertools
import math

import pytest

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import move_planner
from goldcresthall.ranges import planner
from goldcresthall.ranges import recent_moves
from tests.ranges import placement_load

CENTER = 30_000
# Rounds are 0.4 s apart; the first report of a load comes before the first one.
THREE_ROUNDS_S = 1.6
TWO_ROUNDS_S = 1.2


def test_hot_spot_of_neighbouring_keys_is_spread_within_three_rounds() -> None:
    """Busy keys lie near each other; their owner was offered four times the mean load."""
    load = placement_load.PlacementLoad(center=CENTER)
    before = max(load.find_loads().values())
    load.run(THREE_ROUNDS_S)
    assert before > 3.0
    assert max(load.find_loads().values()) < 1.0
    load.run(3.0)
    assert max(load.find_loads().values()) < 0.9


def test_hot_spot_that_shifts_falls_to_a_third_within_two_seconds() -> None:
    load = placement_load.PlacementLoad(center=CENTER)
    load.run(8.0)
    load.center = 50_000
    before = max(load.find_loads().values())
    load.run(2.0)
    assert max(load.find_loads().values()) < before / 3.0
    load.run(2.0)
    assert max(load.find_loads().values()) < 1.0


def test_steady_load_with_noise_causes_no_moves() -> None:
    load = placement_load.PlacementLoad()
    load.run(30.0)
    assert not load.moves


@pytest.mark.parametrize("center", [CENTER, None])
def test_steady_load_with_noisy_capacities_moves_hardly_any_keys(center: int | None) -> None:
    """At a mean load of 0.45, all keys moved once in 30 s, for hardly any shorter responses."""
    load = placement_load.PlacementLoad(
        servers=73, rate_per_s=584.0, center=center, measures_speeds=True
    )
    load.work_s = dict.fromkeys(range(2), 0.17)
    load.run(5.0)
    before = len(load.moves)
    load.run(30.0)
    moved = sum(move.keys.size for move in load.moves[before:])
    assert moved <= key_ranges.KEY_COUNT // 20


@pytest.mark.parametrize("share", [0.17, 0.37])
def test_hot_key_among_measured_servers_is_alone_within_two_rounds(share: float) -> None:
    load = placement_load.PlacementLoad(servers=73, rate_per_s=584.0, measures_speeds=True)
    load.run(6.0)
    load.hot_key, load.hot_key_share = CENTER, share
    load.run(TWO_ROUNDS_S)
    owned = next(lease for lease in load.leases if lease.keys.contains(CENTER))
    assert owned.keys == placement_load.single(CENTER)


def test_hot_spot_that_was_spread_causes_hardly_any_further_moves() -> None:
    load = placement_load.PlacementLoad(center=CENTER)
    load.run(6.0)
    moves = len(load.moves)
    load.run(20.0)
    assert len(load.moves) <= moves + 3


def test_uneven_load_below_the_start_stays() -> None:
    """Moves of keys cost more than an uneven load at which nothing queues."""
    load = placement_load.PlacementLoad(center=CENTER, rate_per_s=22.0)
    load.run(10.0)
    assert max(load.find_loads().values()) > 0.35
    assert not load.moves


def test_servers_that_differ_in_speed_get_loads_that_they_can_serve() -> None:
    load = placement_load.PlacementLoad(center=CENTER, speed_ratio=2.7, rate_per_s=500.0)
    load.run(5.0)
    assert max(load.find_loads().values()) < 0.8


def test_keys_with_four_times_the_work_count_four_times() -> None:
    """Loads counted in requests left an owner of many orders overloaded."""
    load = placement_load.PlacementLoad(center=CENTER, rate_per_s=150.0)
    load.work_s = {0: 0.1, 1: 0.4}
    load.run(5.0)
    assert max(load.find_loads().values()) < 1.0


def test_hot_key_of_a_third_of_all_requests_is_alone_within_a_second() -> None:
    load = placement_load.PlacementLoad(speed_ratio=2.7)
    load.run(6.0)
    load.hot_key = CENTER
    load.run(1.3)
    owner = load.find_owner(CENTER)
    assert owner == load.candidates[-1].incarnation
    others = [
        lease for lease in load.leases if lease.owner == owner and not lease.keys.contains(CENTER)
    ]
    rate = sum(load.estimate().sum_range(lease.keys) for lease in others)
    assert rate < 0.1 * load.candidates[-1].capacity
    owned = next(lease for lease in load.leases if lease.keys.contains(CENTER))
    assert owned.keys == placement_load.single(CENTER)


def test_hot_key_does_not_move_back_and_forth() -> None:
    load = placement_load.PlacementLoad(speed_ratio=2.7)
    load.run(6.0)
    load.hot_key = CENTER
    load.run(10.0)
    assert sum(move.keys.contains(CENTER) for move in load.moves) == 1


def test_server_without_ranges_gets_some_within_four_seconds() -> None:
    load = placement_load.PlacementLoad()
    load.run(6.0)
    joined = deployment.ServerIncarnation("joined", 1)
    load.candidates = (*load.candidates, planner.Candidate(joined, 3.0))
    load.run(4.0)
    assert load.find_loads()["joined"] > 0.05


def test_keys_that_moved_settle_unless_their_owner_is_overloaded() -> None:
    load = placement_load.PlacementLoad(center=CENTER)
    load.run(0.3)
    key_rates = dataclasses.replace(load.estimate(), span_s=math.inf)
    settling = recent_moves.SettlingKeys(tuple(lease.keys for lease in load.leases))
    owner = load.find_owner(CENTER)
    for capacity, may_move in ((1.4, False), (1.1, True)):
        rate = sum(key_rates.sum_range(x.keys) for x in load.leases if x.owner == owner)
        candidates = tuple(
            (
                dataclasses.replace(candidate, capacity=capacity * rate)
                if candidate.incarnation == owner
                else dataclasses.replace(candidate, capacity=100.0)
            )
            for candidate in load.candidates
        )
        moves = move_planner.plan_moves(
            load.leases,
            planner.PlannedLoads(candidates, load.leases, key_rates),
            key_rates,
            move_planner.MoveConstraints(settling),
        )
        assert bool(moves) == may_move


def test_hot_key_that_moved_settles_although_a_faster_server_appears() -> None:
    """The slowness of an overloaded server varies, so that another one soon looks faster."""
    load = placement_load.PlacementLoad(speed_ratio=2.7)
    load.run(6.0)
    load.hot_key = CENTER
    load.run(1.5)
    fastest = planner.Candidate(load.candidates[0].incarnation, 20.0)
    load.candidates = (fastest, *load.candidates[1:])
    load.run(0.4)
    assert load.find_owner(CENTER) == load.candidates[-1].incarnation
    load.run(recent_moves.SETTLING_S)
    assert load.find_owner(CENTER) == fastest.incarnation


def test_demand_that_no_server_can_serve_does_not_hide_other_overloaded_ones() -> None:
    """It once raised the mean load, above which moves started."""
    load = placement_load.PlacementLoad(servers=4, rate_per_s=0.0)
    hot, busy = 100, 20_000
    rates = {hot: 28.0} | {busy + index: 0.3 for index in range(9)}
    sums = [0.0, *itertools.accumulate(rates.values())]
    key_rates = load_statistics.KeyRates(tuple(rates), tuple(sums), 0.0)
    loads = planner.PlannedLoads(load.candidates, load.leases, key_rates)
    moves = move_planner.plan_moves(load.leases, loads, key_rates)
    assert any(busy <= move.keys.first < busy + 9 for move in moves)
