"""Tests of the retry budgets that all instances share."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcresthall.core import deployment_settings
from goldcresthall.gateway import retry_budgets

LIMITS = deployment_settings.RetryLimits(ratio=0.2, window_s=10.0, slack=40.0)


@hypothesis.given(
    events=strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()), max_size=300
    )
)
def test_no_window_has_more_retries_than_the_instances_share(
    events: list[tuple[float, bool]],
) -> None:
    budget = retry_budgets.RetryWindowBudget(LIMITS)
    now_s = 100.0
    requests: list[float] = []
    retries: list[float] = []
    for pause_s, is_retry in events:
        now_s += pause_s
        if not is_retry:
            budget.add_request(now_s)
            requests.append(now_s)
        elif budget.take_retry(now_s, instances=4):
            retries.append(now_s)
    for end_s in retries:
        begin_s = end_s - LIMITS.window_s
        in_window = sum(begin_s <= at_s <= end_s for at_s in retries)
        request_count = sum(begin_s <= at_s <= end_s for at_s in requests)
        assert in_window <= LIMITS.ratio * request_count + LIMITS.slack / 4
