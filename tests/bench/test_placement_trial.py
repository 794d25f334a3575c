"""Tests of the comparison of placement methods with one seed."""

from __future__ import annotations

from bench import placement_trial

PARAMETERS = placement_trial.TrialParameters(
    seed=3,
    servers=6,
    partitions=48,
    keys=500,
    zipf_exponent=1.0,
    rounds=4,
    rounds_per_change=4,
    sampled=0.5,
)


def test_placement_by_load_lowers_imbalance_and_hysteresis_does_not_raise_churn() -> None:
    by_count, without_hysteresis, by_load, _ = placement_trial.run_trial(PARAMETERS).results
    assert by_load.mean_imbalance < by_count.mean_imbalance
    assert by_load.key_churn <= without_hysteresis.key_churn
    assert by_count.key_churn == 0.0
