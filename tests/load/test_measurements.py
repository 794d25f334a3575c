"""Tests of the work measured from one response."""

from __future__ import annotations

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.load import measurements


def measure(status: int = 200, **signals: float | None) -> measurements.Measurement | None:
    """Return the work of a response that took 0.6 s at a server with four slots."""
    answered = attempts.AttemptAnswered(
        outcomes.Answer(status, (), b""),
        attempts.ServerSignals(**signals),  # type: ignore[arg-type]
    )
    return measurements.measure(answered, 0.6, 4)


@pytest.mark.parametrize(
    ("signals", "work_s", "weight"),
    [
        ({}, 0.6, 1.0),
        ({"load": 3.0, "queued": 0}, 0.6, 1.0),
        ({"load": 4.0, "queued": 0}, 0.6, 0.25),
        ({"load": 12.0, "queued": 8}, 0.2, 0.25),
        ({"load": 3.0, "queued": 0, "slowdown": 3.0}, 0.2, 1 / 3),
    ],
)
def test_queueing_and_slowdown_are_taken_out_of_the_work(
    signals: dict[str, float], work_s: float, weight: float
) -> None:
    """Time in a queue once made every server look slow that was busy."""
    measured = measure(**signals)
    assert measured is not None
    assert (measured.work_s, measured.weight) == pytest.approx((work_s, weight))


def test_failures_and_rejections_measure_no_work() -> None:
    assert measure(status=500) is None
    shed = attempts.AttemptNotRun(outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "")
    lost = attempts.AttemptUnknown(
        outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, ""
    )
    assert measurements.measure(shed, 0.6, 4) is None
    assert measurements.measure(lost, 0.6, 4) is None
