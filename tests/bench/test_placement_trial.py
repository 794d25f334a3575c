"""The placement trial is seeded, and its methods are compared over one draw."""

from __future__ import annotations

from bench import placement_trial

DRAW = placement_trial.Draw(
    seed=3,
    servers=6,
    partitions=48,
    keys=500,
    zipf_exponent=1.0,
    rounds=4,
    rounds_per_change=4,
    sampled=0.5,
)


def test_placement_by_load_is_more_even_and_moves_less_with_hysteresis() -> None:
    by_count, without, by_load, _ = placement_trial.run_trial(DRAW).results
    assert by_load.mean_imbalance < by_count.mean_imbalance
    assert by_load.key_churn <= without.key_churn
    assert by_count.key_churn == 0.0
