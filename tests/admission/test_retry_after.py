"""Tests of the time at which a refused caller should come back."""

from __future__ import annotations

import itertools
import random
import statistics

import pytest

from goldcresthall.admission import retry_after
from goldcresthall.core import outcomes

OVERLOADED = outcomes.RefusalReason.OVERLOADED


def draw(
    reason: outcomes.RefusalReason = OVERLOADED,
    *,
    priority: int = 1,
    share: float = 0.5,
    remaining_s: float = 60.0,
    room_in_s: float | None = None,
) -> list[float]:
    """Return the values for 200 requests that are refused together."""
    generator = random.Random(1)
    refusal = retry_after.Refusal(
        reason=reason,
        priority=priority,
        share=share,
        work_s=0.15,
        remaining_s=remaining_s,
        room_in_s=room_in_s,
    )
    return [retry_after.find_retry_after_s(refusal, generator) for _ in range(200)]


@pytest.mark.parametrize("reason", list(outcomes.RefusalReason))
def test_callers_refused_together_do_not_come_back_together(
    reason: outcomes.RefusalReason,
) -> None:
    """All refusals once named 0.5 s, and the callers came back as one burst."""
    drawn = draw(reason)
    assert max(drawn) - min(drawn) > 0.9 * retry_after.MIN_SPREAD_S
    tenths = statistics.quantiles(drawn, n=10)
    assert max(b - a for a, b in itertools.pairwise(tenths)) < 0.3 * (max(drawn) - min(drawn))


def test_more_urgent_callers_come_back_earlier() -> None:
    means = [statistics.mean(draw(priority=priority)) for priority in range(4)]
    assert means == sorted(means)
    assert means[0] < means[1]


def test_smaller_share_means_a_later_return() -> None:
    assert statistics.mean(draw(share=0.2)) > statistics.mean(draw(share=0.8)) + 0.5


@pytest.mark.parametrize("remaining_s", [0.3, 3.0, 7.5, 60.0])
def test_value_is_never_before_known_room(remaining_s: float) -> None:
    """A value beyond the time that clients wait must still be the truth."""
    assert min(draw(room_in_s=2.0, remaining_s=remaining_s)) >= 2.0


def test_spread_stays_within_the_time_that_clients_wait_if_room_comes_before() -> None:
    honoured_s = 7.5 * retry_after.HONOURED_FRACTION
    assert max(draw(room_in_s=2.0, priority=4, remaining_s=7.5)) <= honoured_s
