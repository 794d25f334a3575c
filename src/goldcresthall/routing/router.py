"""The router service: handles a request from its arrival to its outcome."""

from __future__ import annotations

import dataclasses
import random
import time
from typing import TYPE_CHECKING

from goldcresthall.backend import client
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.intents import service as intents_service
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.observability import metrics
from goldcresthall.ownership import heat
from goldcresthall.replication import replica
from goldcresthall.routing import admission
from goldcresthall.routing import attempt_outcomes
from goldcresthall.routing import heat_counts
from goldcresthall.routing import observations
from goldcresthall.routing import plans
from goldcresthall.routing import queues
from goldcresthall.routing import retries
from goldcresthall.routing import server_stats
from goldcresthall.routing import targets

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import preset
    from goldcresthall.core import requests
    from goldcresthall.kernel import kernel
    from goldcresthall.replication import state as replicated

RESPONSE_MARGIN_S = 0.005  # time to return the response to the caller before its deadline
FIRST_ATTEMPT_TIMEOUT_FRACTION = 0.5
ATTEMPT_ABORTED = attempts.AttemptUnknown(
    outcomes.UnknownReason.CONNECTION_LOST,
    outcomes.Step.SEND,
    "attempt aborted by an internal error",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Attempts made for one request so far.

    Attributes
    ----------
    tried
        Names of the servers of earlier attempts; pool requests avoid them.
    outcome
        Combined outcome of the attempts; `None` before the first.
    """

    tries: int = 0
    tried: frozenset[str] = frozenset()
    outcome: outcomes.Outcome | None = None

    def advance(self, server: str, outcome: outcomes.Outcome) -> Progress:
        """Return the progress after one more attempt at a server."""
        return Progress(self.tries + 1, self.tried | {server}, outcome)


class Router(service.Service):
    """Plans requests, sends them to backend servers with retries and returns the outcomes."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        sleep: Callable[[float], None],
        generator: random.Random,
    ) -> None:
        self._kernel = service_kernel
        self._sleep = sleep
        self._generator = generator
        self._budgets = retries.RetryBudgets()
        self._planner = plans.Planner()

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> Router:
        """Return the router service of an instance."""
        return cls(service_kernel, time.sleep, random.Random())  # noqa: S311

    def start(self) -> None:
        """Look up the services that the request path uses."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._intents = self._kernel.find(names.INTENTS, intents_service.Intents)
        self._observations = self._kernel.find(names.OBSERVATIONS, observations.Observations)
        self._admission = self._kernel.find(names.ADMISSION, admission.Admission)
        self._client = self._kernel.find(names.BACKENDS, client.BackendClient)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)

    def stop(self) -> None:
        """Do nothing; the callers' front end waits for requests in progress."""

    def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Handle a request and return its outcome before its deadline."""
        condition = self._replica.condition
        if not condition.is_usable:
            return plans.refuse_unusable(condition)
        plan = self._planner.create_plan(request, self._replica.state)
        if isinstance(plan, outcomes.Refused):
            return plan
        heat_counts.count_request(plan.target, self._heat)
        policy = plan.target.policy
        refusal = self._admission.acquire_thread(policy)
        if refusal is not None:
            return refusal
        try:
            return self._run(request, plan)
        finally:
            self._admission.release_thread(policy)

    def _run(self, request: requests.Request, plan: plans.Plan) -> outcomes.Outcome:
        if plan.route.idempotent:
            return self._run_with_retries(request, plan)
        return self._intents.run_once(
            request, plan.deadline_s, lambda: self._run_with_retries(request, plan)
        )

    def _run_with_retries(self, request: requests.Request, plan: plans.Plan) -> outcomes.Outcome:
        policy = plan.target.policy
        self._budgets.find(policy.name).deposit(policy.retry_budget)
        progress = Progress()
        while True:
            state = self._replica.state
            admitted = self._admit(plan, state, progress.tried)
            if isinstance(admitted, outcomes.Refused):
                if not self._wait_for_owner_change(admitted, plan, state.next_offset):
                    return progress.outcome or admitted
            elif isinstance(admitted, queues.Permit):
                attempt = self._send_attempt(request, plan, admitted)
                server = admitted.candidate.server.name
                latest = attempt_outcomes.create_outcome(attempt, server, progress.tries + 1)
                outcome = attempt_outcomes.combine_outcomes(progress.outcome, latest)
                progress = progress.advance(server, outcome)
                if not self._prepare_retry(attempt, plan, progress, state.next_offset):
                    return outcome

    def _admit(
        self, plan: plans.Plan, state: replicated.State, tried: frozenset[str]
    ) -> queues.AdmissionResult:
        servers = targets.find_servers(plan.target, state, tried, self._observations)
        if isinstance(servers, outcomes.Refused):
            return servers
        remaining_s = self._find_remaining_s(plan)
        if remaining_s <= 0:
            return _refuse_expired(plan)
        return self._admission.admit(
            admission.AdmissionRequest(
                plan.target, plan.route.request_class, servers, tried, remaining_s
            )
        )

    def _send_attempt(
        self, request: requests.Request, plan: plans.Plan, permit: queues.Permit
    ) -> attempts.Attempt:
        candidate = permit.candidate
        in_flight = self._observations.start_attempt(
            candidate.server.name, plan.route.request_class
        )
        timeout_s = self._find_timeout_s(plan, permit)
        try:
            attempt = self._client.send(_create_dispatch(request, plan, permit, timeout_s))
        except BaseException:
            self._finish_attempt(plan, permit, in_flight, ATTEMPT_ABORTED)
            raise
        self._finish_attempt(plan, permit, in_flight, attempt)
        return attempt

    def _find_timeout_s(self, plan: plans.Plan, permit: queues.Permit) -> float:
        """Return the timeout of an attempt in seconds.

        A first attempt that can be retried at another server gets only a part of the
        remaining time, so that a hung server delays the request but does not fail it.
        """
        remaining_s = self._find_remaining_s(plan)
        policy = plan.target.policy
        can_retry = (
            plan.route.idempotent
            and not permit.spec.tried
            and len(permit.spec.servers) > 1
            and self._budgets.find(policy.name).tokens >= 1
            and policy.retry_budget > 0
        )
        return remaining_s * FIRST_ATTEMPT_TIMEOUT_FRACTION if can_retry else remaining_s

    def _finish_attempt(
        self,
        plan: plans.Plan,
        permit: queues.Permit,
        in_flight: server_stats.InFlightAttempt,
        attempt: attempts.Attempt,
    ) -> None:
        self._observations.finish_attempt(in_flight, plan.target.policy, attempt)
        duration_s = self._clock.read_s() - in_flight.began_at_s
        self._admission.release(permit, attempt, duration_s)

    def _wait_for_owner_change(
        self, refusal: outcomes.Refused, plan: plans.Plan, offset: int
    ) -> bool:
        remaining_s = self._find_remaining_s(plan)
        if refusal.reason is not outcomes.RefusalReason.NO_OWNER or remaining_s <= 0:
            return False
        return self._replica.wait_for_newer(offset, remaining_s).next_offset > offset

    def _prepare_retry(
        self, attempt: attempts.Attempt, plan: plans.Plan, progress: Progress, offset: int
    ) -> bool:
        keyed = isinstance(plan.target, targets.KeyTarget)
        context = retries.RetryContext(plan.route.idempotent, keyed)
        decision = retries.decide_retry(attempt, context)
        if isinstance(decision, retries.NoRetry):
            return False
        backoff_s = retries.find_backoff_s(progress.tries - 1, self._generator)
        delay = retries.find_retry_delay(decision, context, backoff_s, self._find_remaining_s(plan))
        if delay is None:
            return False
        if not self._take_retry_token(decision, plan.target.policy):
            self._metrics.count_retry_denied(decision.reason)
            return False
        self._metrics.count_retry(decision.reason)
        self._wait_before_retry(delay, offset)
        return True

    def _take_retry_token(
        self, decision: retries.RetryDecision, policy: preset.ServicePolicy
    ) -> bool:
        if not isinstance(decision, retries.RetryFromBudget):
            return True
        return self._budgets.find(policy.name).withdraw(policy.retry_budget)

    def _wait_before_retry(self, delay: retries.RetryDelay, offset: int) -> None:
        if delay.ends_on_change:
            self._replica.wait_for_newer(offset, delay.seconds)
        else:
            self._sleep(delay.seconds)

    def _find_remaining_s(self, plan: plans.Plan) -> float:
        return plan.deadline_s - self._clock.read_s() - RESPONSE_MARGIN_S


def _refuse_expired(plan: plans.Plan) -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.SEND, plan.target.policy.name
    )


def _create_dispatch(
    request: requests.Request,
    plan: plans.Plan,
    permit: queues.Permit,
    timeout_s: float,
) -> attempts.Dispatch:
    candidate = permit.candidate
    return attempts.Dispatch(
        request_id=request.request_id,
        server=candidate.server,
        connection_limit=plan.target.policy.connections_per_server,
        method=request.method,
        target=_build_request_target(request),
        headers=request.headers,
        body=request.body,
        timeout_s=timeout_s,
        grant=candidate.grant,
        sent_before=candidate.server.name in permit.spec.tried,
    )


def _build_request_target(request: requests.Request) -> str:
    if request.raw_target:
        return request.raw_target
    return f"{request.path}?{request.query}" if request.query else request.path
