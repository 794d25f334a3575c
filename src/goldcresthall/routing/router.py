"""The router service: takes one request from its arrival to its outcome."""

from __future__ import annotations

import dataclasses
import random
import time
from typing import TYPE_CHECKING

from goldcresthall.backend import client
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.observability import metrics
from goldcresthall.ownership import heat
from goldcresthall.replication import replica
from goldcresthall.routing import conclusions
from goldcresthall.routing import plans
from goldcresthall.routing import retries
from goldcresthall.routing import targets

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import preset
    from goldcresthall.core import requests
    from goldcresthall.kernel import kernel

ANSWER_MARGIN_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What was tried of one request so far.

    Attributes
    ----------
    tried
        Servers that failed, to be avoided while there are others.
    outcome
        What the tries so far come to; none before the first.
    """

    tries: int = 0
    tried: frozenset[str] = frozenset()
    outcome: outcomes.Outcome | None = None

    def advance(self, attempt: attempts.Attempt, server: str) -> Progress:
        """Return the progress after one more attempt."""
        tries = self.tries + 1
        latest = conclusions.conclude(attempt, server, tries)
        return Progress(tries, self.tried | {server}, conclusions.combine(self.outcome, latest))


class Router(service.Service):
    """Decides where a request goes, tries it and says what became of it."""

    def __init__(self, owner: kernel.Kernel, sleep: Callable[[float], None] = time.sleep) -> None:
        self._kernel = owner
        self._sleep = sleep
        self._generator = random.Random()  # noqa: S311
        self._budgets = retries.RetryBudgets()

    @classmethod
    def from_config(cls, owner: kernel.Kernel) -> Router:
        """Return the router of an instance."""
        return cls(owner)

    def start(self) -> None:
        """Find the services that requests need."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._client = self._kernel.find(names.BACKENDS, client.BackendClient)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)

    def stop(self) -> None:
        """Do nothing; requests in progress are the callers' front end's to await."""

    def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Take a request to its outcome, before its deadline."""
        condition = self._replica.condition
        if not condition.is_usable:
            return plans.refuse_unusable(condition)
        plan = plans.create_plan(request, self._replica.state)
        if isinstance(plan, outcomes.Refused):
            return plan
        targets.count_request(plan.target, self._heat)
        return self._try_repeatedly(request, plan)

    def _try_repeatedly(self, request: requests.Request, plan: plans.Plan) -> outcomes.Outcome:
        policy = plan.target.policy
        self._budgets.find(policy.name).add_first_try(policy.retry_budget)
        progress = Progress()
        while True:
            state = self._replica.state
            found = targets.find_server(plan.target, state, progress.tried, self._generator)
            if isinstance(found, outcomes.Refused):
                if not self._await_owner(found, plan, state.next_offset):
                    return progress.outcome or found
                continue
            timeout_s = self._find_remaining_s(plan)
            if timeout_s <= 0:
                return progress.outcome or _refuse_late(plan)
            attempt = self._client.send(_create_dispatch(request, plan, found, timeout_s))
            progress = progress.advance(attempt, found.server.name)
            if not self._prepare_retry(attempt, plan, progress, state.next_offset):
                return progress.outcome or conclusions.conclude(attempt, found.server.name, 1)

    def _await_owner(self, found: outcomes.Refused, plan: plans.Plan, offset: int) -> bool:
        remaining_s = self._find_remaining_s(plan)
        if found.reason is not outcomes.RefusalReason.NO_OWNER or remaining_s <= 0:
            return False
        return self._replica.wait_beyond(offset, remaining_s).next_offset > offset

    def _prepare_retry(
        self, attempt: attempts.Attempt, plan: plans.Plan, progress: Progress, offset: int
    ) -> bool:
        keyed = isinstance(plan.target, targets.KeyTarget)
        situation = retries.Situation(plan.route.idempotent, keyed)
        rule = retries.find_rule(attempt, situation)
        backoff_s = retries.find_backoff_s(progress.tries - 1, self._generator)
        pause = retries.find_pause(rule, situation, backoff_s, self._find_remaining_s(plan))
        if isinstance(rule, retries.NoRetry) or pause is None:
            return False
        if not self._is_paid(rule, plan.target.policy):
            self._metrics.count_retry_denied(rule.reason)
            return False
        self._metrics.count_retry(rule.reason)
        self._pause(pause, offset)
        return True

    def _is_paid(self, rule: retries.RetryRule, policy: preset.ServicePolicy) -> bool:
        if not isinstance(rule, retries.RetryFromBudget):
            return True
        return self._budgets.find(policy.name).take_retry(policy.retry_budget)

    def _pause(self, pause: retries.Pause, offset: int) -> None:
        if pause.ends_on_change:
            self._replica.wait_beyond(offset, pause.seconds)
        else:
            self._sleep(pause.seconds)

    def _find_remaining_s(self, plan: plans.Plan) -> float:
        return plan.deadline_s - self._clock.read_s() - ANSWER_MARGIN_S


def _refuse_late(plan: plans.Plan) -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.SEND, plan.target.policy.name
    )


def _create_dispatch(
    request: requests.Request, plan: plans.Plan, found: targets.FoundServer, timeout_s: float
) -> attempts.Dispatch:
    return attempts.Dispatch(
        request_id=request.request_id,
        server=found.server,
        connection_limit=plan.target.policy.connections_per_server,
        method=request.method,
        target=_find_target(request),
        headers=request.headers,
        body=request.body,
        timeout_s=timeout_s,
        grant=found.grant,
    )


def _find_target(request: requests.Request) -> str:
    if request.raw_target:
        return request.raw_target
    return f"{request.path}?{request.query}" if request.query else request.path
