"""Arrivals are open-loop, seeded and of the asked rate."""

from __future__ import annotations

from bench import experiments
from bench import users
from bench import workload


def test_the_same_seed_draws_the_same_arrivals() -> None:
    load = experiments.create_experiment("swing", "minnelys").workload
    assert workload.draw_arrivals(load, 7) == workload.draw_arrivals(load, 7)
    assert workload.draw_arrivals(load, 7) != workload.draw_arrivals(load, 8)


def test_a_swing_is_tenfold() -> None:
    load = experiments.create_experiment("swing", "calorvale").workload
    arrivals = workload.draw_arrivals(load, 1)
    before = sum(arrival.at_s < 3.0 for arrival in arrivals) / 3.0
    crest = sum(3.0 <= arrival.at_s < 8.0 for arrival in arrivals) / 5.0
    assert 7.0 < crest / before < 14.0


def test_a_hot_key_draws_its_share() -> None:
    load = experiments.create_experiment("hot-key", "minnelys").workload
    arrivals = workload.draw_arrivals(load, 1)
    hottest = sum(arrival.key == 0 for arrival in arrivals) / len(arrivals)
    assert hottest > load.hot_share


def test_every_experiment_exists_for_both_users() -> None:
    for user in users.USERS:
        for name in experiments.CATALOGUE:
            experiment = experiments.create_experiment(name, user)
            assert experiment.window.end_s <= experiment.workload.duration_s
