"""A short seeded part of the soak, and the seeds that failed once."""

from __future__ import annotations

import json
import pathlib

import pytest

from tests.soak import play

LENGTH_S = 10.0
REGRESSIONS = json.loads((pathlib.Path(__file__).parent / "regressions.json").read_text())


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_random_faults(seed: int, tmp_path: pathlib.Path) -> None:
    outcome = play.play(seed, LENGTH_S, tmp_path)
    assert outcome.violations == ()
    assert outcome.answered > 0


@pytest.mark.parametrize("case", REGRESSIONS, ids=lambda case: case["cause"])
def test_seeds_that_failed_once(case: dict[str, object], tmp_path: pathlib.Path) -> None:
    outcome = play.play(int(str(case["seed"])), float(str(case["seconds"])), tmp_path)
    assert outcome.violations == ()
