"""Tests of seeded arrivals, their rates and the measurement windows of the experiments."""

from __future__ import annotations

from bench import experiments
from bench import users
from bench import workload


def test_equal_seeds_give_equal_arrivals_and_other_seeds_differ() -> None:
    load = experiments.create_experiment("swing", "minnelys").workload
    assert workload.draw_arrivals(load, 7) == workload.draw_arrivals(load, 7)
    assert workload.draw_arrivals(load, 7) != workload.draw_arrivals(load, 8)


def test_swing_raises_arrival_rate_tenfold() -> None:
    load = experiments.create_experiment("swing", "calorvale").workload
    arrivals = workload.draw_arrivals(load, 1)
    ordinary_rate = sum(arrival.at_s < 3.0 for arrival in arrivals) / 3.0
    peak_rate = sum(3.0 <= arrival.at_s < 8.0 for arrival in arrivals) / 5.0
    assert 7.0 < peak_rate / ordinary_rate < 14.0


def test_hot_key_gets_its_fraction_of_requests() -> None:
    load = experiments.create_experiment("hot-key", "minnelys").workload
    arrivals = workload.draw_arrivals(load, 1)
    hottest_fraction = sum(arrival.key == 0 for arrival in arrivals) / len(arrivals)
    assert hottest_fraction > load.hot_share


def test_window_of_every_experiment_ends_within_workload_for_both_users() -> None:
    for user in users.USERS:
        for name in experiments.CATALOGUE:
            experiment = experiments.create_experiment(name, user)
            assert experiment.window.end_s <= experiment.workload.duration_s
