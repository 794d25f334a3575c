"""Tests of the budgets of repeats that all instances share."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcresthall.core import deployment_settings
from goldcresthall.gateway import budgets

LIMITS = deployment_settings.RetryLimits(ratio=0.2, window_s=10.0, slack=40.0)


@hypothesis.given(
    events=strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()), max_size=300
    )
)
def test_no_window_has_more_repeats_than_its_part(events: list[tuple[float, bool]]) -> None:
    budget = budgets.WindowedBudget(LIMITS)
    now_s = 100.0
    requests: list[float] = []
    repeats: list[float] = []
    for pause_s, is_repeat in events:
        now_s += pause_s
        if not is_repeat:
            budget.add_request(now_s)
            requests.append(now_s)
        elif budget.take_repeat(now_s, instances=4):
            repeats.append(now_s)
    for end_s in repeats:
        begin_s = end_s - LIMITS.window_s
        in_window = sum(begin_s <= at_s <= end_s for at_s in repeats)
        paid = sum(begin_s <= at_s <= end_s for at_s in requests)
        assert in_window <= LIMITS.ratio * paid + LIMITS.slack / 4
