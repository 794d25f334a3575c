"""Tests of the work and capacities that the lessor learns from reports."""

from __future__ import annotations

import pytest

from goldcresthall.core import deployment
from goldcresthall.gateway import estimates
from goldcresthall.load import work_estimates
from goldcresthall.load import work_table
from goldcresthall.ranges import decaying_sums
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import request_counts
from goldcresthall.ranges import service_times
from tests.fakes import range_simulation
from tests.ranges import placement_load

SERVERS = tuple(deployment.ServerIncarnation(name, 1) for name in ("fast", "slow", "new"))


def find_work(statistics: load_statistics.LoadStatistics) -> float:
    """Return the work per second of key 7 right after one report."""
    rates = statistics.estimate_rates("ledger", 0.0)
    return rates.sum_range(placement_load.single(7)) * decaying_sums.MIN_SPAN_S


def test_counts_of_an_earlier_release_get_the_default_work() -> None:
    statistics = load_statistics.LoadStatistics()
    statistics.add((request_counts.CountedKeys("ledger", (7, 7)),), 0.0)
    assert find_work(statistics) == pytest.approx(2 * work_estimates.DEFAULT_WORK_S, rel=0.1)


def test_reported_work_replaces_the_counts_of_the_same_requests() -> None:
    """A report has both, for lessors of earlier releases; they may not be added up."""
    statistics = load_statistics.LoadStatistics()
    counted = (request_counts.CountedKeys("ledger", (7, 7)),)
    statistics.add(counted, 0.0, (work_table.KeyWork("ledger", (7,), (1.0,)),))
    assert find_work(statistics) == pytest.approx(1.0, rel=0.1)


def test_slowness_is_relative_to_the_mean_and_bounded() -> None:
    times = service_times.ServiceTimeEstimator()
    times.add(
        (
            estimates.LatencySample(SERVERS[0], 1_000, 100.0),
            estimates.LatencySample(SERVERS[1], 1_000, 270.0),
        ),
        0.0,
    )
    speeds = times.estimate_speeds(SERVERS, 0.0)
    slowness = {server: speed.slowness for server, speed in speeds.items()}
    assert slowness[SERVERS[1]] / slowness[SERVERS[0]] == pytest.approx(2.7, rel=0.02)
    assert slowness[SERVERS[2]] == pytest.approx(1.0)
    times.add((estimates.LatencySample(SERVERS[1], 1_000, 1e6),), 0.0)
    assert (
        times.estimate_speeds(SERVERS, 0.0)[SERVERS[0]].slowness == 1.0 / service_times.MAX_SLOWNESS
    )


def test_servers_without_samples_are_of_usual_speed() -> None:
    speeds = service_times.ServiceTimeEstimator().estimate_speeds(SERVERS, 0.0)
    assert {speed.slowness for speed in speeds.values()} == {1.0}


def test_capacity_is_in_work_per_second_on_a_server_of_usual_speed() -> None:
    simulation = range_simulation.RangeSimulation(server_count=2, instance_count=1)
    simulation.instances[0].take_over()
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    slow, fast = simulation.servers
    now_s = simulation.clock.read_s()
    samples = (
        estimates.LatencySample(slow, 1_000, 300.0),
        estimates.LatencySample(fast, 1_000, 100.0),
    )
    own_term.statistics.service_times.add(samples, now_s)
    listed = own_term._rebalancer._candidates.list(range_simulation.SERVICE, now_s)
    capacities = {candidate.incarnation: candidate.capacity for candidate in listed}
    assert capacities[slow] == pytest.approx(4 / 1.5, rel=0.01)
    assert capacities[fast] == pytest.approx(4 / 0.5, rel=0.01)


def test_shares_wait_for_the_reports_of_a_new_term() -> None:
    """The first reports cover different times, so that their sum is no rate yet."""
    simulation = range_simulation.RangeSimulation()
    simulation.instances[0].take_over()
    simulation.advance(3.0)
    second = simulation.instances[1]
    second.take_over()
    assert second.own_term is not None
    limited = []
    for _ in range(6):
        simulation.count_requests(second, (500,) * 200)
        simulation.advance(0.5)
        limited.append(bool(second.own_term.admissions))
    assert limited == [False, False, False, True, True, True]
