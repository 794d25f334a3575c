"""A short seeded part of the soak, and the seeds that failed once."""

from __future__ import annotations

import json
import pathlib

import pytest

from tests.soak import seed_run

LENGTH_S = 10.0
SEEDS = (1, 2)
# Each with `seed`, `seconds` and `cause`.
REGRESSIONS = json.loads((pathlib.Path(__file__).parent / "regressions.json").read_text())
CASES = (
    *(pytest.param(seed, LENGTH_S, id=f"seed {seed}") for seed in SEEDS),
    *(pytest.param(case["seed"], case["seconds"], id=case["cause"]) for case in REGRESSIONS),
)


@pytest.mark.parametrize(("seed", "seconds"), CASES)
def test_promises_hold_under_random_faults(
    seed: int, seconds: float, tmp_path: pathlib.Path
) -> None:
    outcome = seed_run.play(seed, seconds, tmp_path)
    assert outcome.violations == ()
    assert outcome.answered > 0
