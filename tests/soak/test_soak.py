"""Short soak runs with fixed seeds, and regression runs of seeds that once failed."""

from __future__ import annotations

import json
import pathlib

import pytest

from tests.soak import deployment
from tests.soak import drawing
from tests.soak import seed_run

SOAK_DURATION_S = 10.0
SEEDS = (1, 2)
# Seeds that once failed, each with `seed`, `seconds` and `cause`.
REGRESSIONS = json.loads((pathlib.Path(__file__).parent / "regressions.json").read_text())
SEED_CASES = (
    *(pytest.param(seed, SOAK_DURATION_S, id=f"seed {seed}") for seed in SEEDS),
    *(pytest.param(case["seed"], case["seconds"], id=case["cause"]) for case in REGRESSIONS),
)


OUTAGE_SEED = 3
OUTAGE_SIZE = deployment.DeploymentSize(instances=5, keyed=6, unkeyed=6)


@pytest.mark.parametrize(("seed", "seconds"), SEED_CASES)
def test_invariants_hold_under_random_faults(
    seed: int, seconds: float, tmp_path: pathlib.Path
) -> None:
    outcome = seed_run.run_seed(seed, seconds, tmp_path)
    assert outcome.violations == ()
    assert outcome.answered > 0


def test_invariants_hold_while_the_store_goes_away_again_and_again(tmp_path: pathlib.Path) -> None:
    """Servers leave and the lessor changes meanwhile."""
    outcome = seed_run.run_seed(
        OUTAGE_SEED, SOAK_DURATION_S, tmp_path, OUTAGE_SIZE, drawing.OUTAGES
    )
    assert outcome.violations == ()
    assert outcome.answered > 0
