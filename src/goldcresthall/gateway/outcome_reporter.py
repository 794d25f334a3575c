"""Completion of a request's outcome, and its line in the decision log."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.admission import range_admissions
from goldcresthall.admission import retry_after
from goldcresthall.core import outcomes
from goldcresthall.gateway import explanations
from goldcresthall.gateway import request_progress
from goldcresthall.load import work_estimates
from goldcresthall.observability import decisions

if TYPE_CHECKING:
    import random

    from goldcresthall.core import requests
    from goldcresthall.gateway import routing_plans
    from goldcresthall.kernel import clock
    from goldcresthall.observability import metrics
    from goldcresthall.ranges import owners

UNKNOWN_DEADLINE_S = 1.0


class OutcomeReporter:
    """Adds the time to retry to refusals, and counts and logs outcomes."""

    def __init__(
        self,
        *,
        log: decisions.DecisionLog,
        counters: metrics.Metrics,
        key_owners: owners.Owners,
        monotonic_clock: clock.Clock,
        generator: random.Random,
    ) -> None:
        self._log = log
        self._metrics = counters
        self._owners = key_owners
        self._clock = monotonic_clock
        self._generator = generator

    def finish(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan | None,
        outcome: outcomes.Outcome,
        progress: request_progress.RequestProgress = request_progress.NO_ATTEMPTS,
        share: float = range_admissions.ALL_REQUESTS,
    ) -> outcomes.Outcome:
        """Complete, count and log a request's outcome and return it.

        Parameters
        ----------
        plan
            `None` if the request has no route.
        share
            Share of the requests for its range that the range's owner can serve.
        """
        if isinstance(outcome, outcomes.Refused) and outcome.reason not in retry_after.PERMANENT:
            outcome = self._add_retry_after(request, plan, outcome, share)
        self._report_outcome(request, plan, outcome, progress)
        return outcome

    def _add_retry_after(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan | None,
        refused: outcomes.Refused,
        share: float,
    ) -> outcomes.Refused:
        """Return a refusal with the time to retry, spread around that of the expected room."""
        now_s = self._clock.read_s()
        deadline_s = plan.deadline_s if plan else request.deadline_s
        refusal = retry_after.Refusal(
            reason=refused.reason,
            priority=plan.route.priority if plan else 0,
            share=share,
            work_s=plan.work_s if plan else work_estimates.DEFAULT_WORK_S,
            remaining_s=UNKNOWN_DEADLINE_S if deadline_s is None else deadline_s - now_s,
            room_in_s=refused.retry_after_s,
        )
        retry_after_s = retry_after.find_retry_after_s(refusal, self._generator)
        return dataclasses.replace(refused, retry_after_s=retry_after_s)

    def _report_outcome(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan | None,
        outcome: outcomes.Outcome,
        progress: request_progress.RequestProgress,
    ) -> None:
        duration_s = self._clock.read_s() - request.received_at_s
        self._metrics.count_outcome(outcome, duration_s)
        explanation = explanations.explain(outcome)
        self._log.record(
            decisions.RequestDecision(
                request_id=request.request_id,
                route=plan.route.name if plan else "",
                service=plan.target.service if plan else "",
                key=request.key,
                configuration=plan.configuration if plan else 0,
                owners_term=self._owners.view.term,
                owners_age_ms=int(self._owners.age_s * 1_000),
                servers_age_ms=progress.list_ages_ms,
                tried=progress.attempt_descriptions,
                outcome=explanation.outcome,
                reason=explanation.reason,
                step=explanation.step,
                peer=explanation.peer,
                detail=explanation.detail,
                duration_ms=int(duration_s * 1_000),
            )
        )
