"""The gateway service: routes a request, sends it with retries and returns its outcome."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

from goldcresthall.backend import request_sender
from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.gateway import apertures
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import explanations
from goldcresthall.gateway import request_progress
from goldcresthall.gateway import retry_budgets
from goldcresthall.gateway import retry_policy
from goldcresthall.gateway import route_table
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import waiting
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.load import work_model
from goldcresthall.observability import decisions
from goldcresthall.observability import metrics
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings
    from goldcresthall.core import requests
    from goldcresthall.kernel import cancellation
    from goldcresthall.kernel import kernel

RESPONSE_MARGIN_S = 0.004
MIN_ATTEMPT_S = 0.01
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
EXPIRED_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPlan:
    """Where a request goes and its deadline, from the configuration in force.

    Attributes
    ----------
    deadline_s
        Clock reading in seconds by which the caller must have a response.
    target_at_s
        Clock reading in seconds of the route's latency target for the request.
    """

    route: deployment.HostRoute
    target: server_finder.Target
    configuration: int
    deadline_s: float
    target_at_s: float


class Gateway(service.Service):
    """Chooses a server for each request, sends it, retries it and reports the outcome."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        instance_settings: deployment_settings.DeploymentSettings,
        generator: random.Random,
    ) -> None:
        self._kernel = service_kernel
        self._name = instance_settings.name
        self._failure_domain = instance_settings.failure_domain
        self._drain_s = instance_settings.drain_s
        self._generator = generator
        self._budgets = retry_budgets.RetryWindowBudgets(instance_settings.retries)
        self._round_robins = route_table.WeightedRoundRobins(generator)
        self._waiting_places = waiting.WaitingPlaces()
        self._drain_deadline_s = math.inf

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        instance_settings: deployment_settings.DeploymentSettings,
    ) -> Gateway:
        """Return the gateway of an instance."""
        return cls(service_kernel, instance_settings, random.Random())  # noqa: S311

    def start(self) -> None:
        """Look up the services needed to handle requests."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        self._owners = self._kernel.find(names.OWNERS, owners.Owners)
        self._estimates = self._kernel.find(names.ESTIMATES, estimates.Estimates)
        self._model = self._kernel.find(names.WORK_MODEL, work_model.WorkModel)
        self._instance_counter = self._kernel.find(names.REPORTS, reports.InstanceCounter)
        self._sender = self._kernel.find(names.REQUEST_SENDER, request_sender.RequestSender)
        self._log = self._kernel.find(names.REQUEST_LOG, decisions.DecisionLog)
        self._server_finder = server_finder.ServerFinder(
            server_directory=self._directory,
            key_owners=self._owners,
            server_estimates=self._estimates,
            model=self._model,
            selector=selection.Selector(
                self._estimates, self._model, self._sender.has_idle, self._failure_domain
            ),
            instance_apertures=apertures.Apertures(self._name, self._failure_domain),
            drain_s=self._drain_s,
            instance_counter=self._instance_counter,
        )

    def stop(self) -> None:
        """Do nothing; the front end waits for requests in progress."""

    def start_draining(self, remaining_s: float) -> None:
        """Limit the deadline of all requests from now on to `remaining_s` seconds from now."""
        self._drain_deadline_s = self._clock.read_s() + remaining_s

    def handle(
        self, request: requests.Request, cancelled: cancellation.Cancellation
    ) -> outcomes.Outcome:
        """Handle a request and return its outcome before its deadline."""
        plan = self._create_plan(request)
        if isinstance(plan, outcomes.Refused):
            self._report_outcome(request, None, plan, ())
            return plan
        progress = self._send_with_retries(request, plan, cancelled)
        outcome = progress.outcome or _refuse_expired(plan)
        self._report_outcome(request, plan, outcome, progress.attempt_descriptions)
        return outcome

    def _create_plan(self, request: requests.Request) -> RoutingPlan | outcomes.Refused:
        configuration = self._directory.configuration
        if configuration is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_PRESET,
                outcomes.Step.ROUTE,
                "",
                retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
            )
        route = self._directory.route_table.match(request.host, request.path)
        if route is None:
            return outcomes.Refused(
                outcomes.RefusalReason.UNKNOWN_ROUTE, outcomes.Step.ROUTE, request.host
            )
        target = server_finder.create_target(
            configuration, self._round_robins.choose_service(route), request.key, request.path
        )
        latest_s = request.received_at_s + route.timeout_s
        if request.deadline_s is not None:
            latest_s = min(latest_s, request.deadline_s)
        deadline_s = min(latest_s, self._drain_deadline_s)
        target_at_s = request.received_at_s + route.target_latency_s
        return RoutingPlan(route, target, configuration.version, deadline_s, target_at_s)

    def _send_with_retries(
        self, request: requests.Request, plan: RoutingPlan, cancelled: cancellation.Cancellation
    ) -> request_progress.RequestProgress:
        self._budgets.find(plan.target.service).add_request(self._clock.read_s())
        server_finder.count_request(plan.target, self._owners)
        with self._waiting_places.create_place() as place:
            return self._run_attempts(request, plan, cancelled, place)

    def _run_attempts(
        self,
        request: requests.Request,
        plan: RoutingPlan,
        cancelled: cancellation.Cancellation,
        place: waiting.WaitingPlace,
    ) -> request_progress.RequestProgress:
        wait_budget = retry_policy.WaitBudget(self._clock.read_s(), self._find_remaining_s(plan))
        progress = request_progress.RequestProgress()
        demand = selection.Demand(plan.route.name, len(request.body), plan.route.idempotent)
        while not cancelled.is_cancelled:
            if self._find_remaining_s(plan) < MIN_ATTEMPT_S:
                return progress
            serial = self._owners.serial
            target_in_s = plan.target_at_s - self._clock.read_s()
            selected = self._server_finder.find(
                plan.target, progress.tried, self._generator, target_in_s, demand
            )
            if isinstance(selected, server_finder.Unavailable):
                if selected.is_final:
                    has_waited = False
                elif selected.wait is not None:
                    has_waited = self._wait_for_capacity(plan, selected.wait, place)
                else:
                    has_waited = self._wait_for_owner(plan, wait_budget, serial)
                if not has_waited:
                    return request_progress.apply_refusal(progress, selected.refused)
                continue
            place.leave()
            attempt = self._send_once(request, plan, selected, cancelled)
            progress = request_progress.record_attempt(progress, selected.name, attempt)
            if not self._prepare_retry(plan, progress, attempt, wait_budget, serial):
                return progress
        return request_progress.apply_cancellation(progress)

    def _wait_for_capacity(
        self, plan: RoutingPlan, wait: waiting.CapacityWait, place: waiting.WaitingPlace
    ) -> bool:
        """Wait until an attempt ends; return `False` if the target can no longer be met."""
        remaining_s = plan.target_at_s - wait.service_time_s - self._clock.read_s()
        if remaining_s <= 0 or not place.enter(wait):
            return False
        self._estimates.await_attempt_end(min(remaining_s, retry_policy.RECHECK_INTERVAL_S))
        return True

    def _wait_for_owner(
        self, plan: RoutingPlan, wait_budget: retry_policy.WaitBudget, serial: int
    ) -> bool:
        """Wait for a newer view of the owners; return `False` if waiting is useless or over."""
        if not isinstance(plan.target, server_finder.KeyTarget):
            return False
        remaining_s = wait_budget.find_remaining_s(self._clock.read_s())
        if remaining_s <= 0:
            return False
        self._owners.wait_for_newer(serial, min(remaining_s, retry_policy.RECHECK_INTERVAL_S))
        return True

    def _send_once(
        self,
        request: requests.Request,
        plan: RoutingPlan,
        server: deployment.RegisteredServer,
        cancelled: cancellation.Cancellation,
    ) -> attempts.Attempt:
        self._estimates.start_attempt(server)
        began_at_s = self._clock.read_s()
        try:
            attempt = self._sender.send(
                self._create_dispatch(request, plan, server),
                cancelled,
                lambda: self._take_retry(plan),
            )
        except BaseException:
            self._estimates.cancel_attempt(server)
            raise
        if cancelled.is_cancelled:
            self._estimates.cancel_attempt(server)
        else:
            self._estimates.finish_attempt(server, attempt)
            duration_s = self._clock.read_s() - began_at_s
            self._model.record(plan.route.name, server, attempt, duration_s)
        self._observe_signals(server, attempt.signals)
        return attempt

    def _observe_signals(
        self, server: deployment.RegisteredServer, signals: attempts.ServerSignals
    ) -> None:
        if signals.pause_s:
            self._metrics.count_signal(metrics.ServerSignal.RETRY_AFTER)
        if signals.draining:
            self._metrics.count_signal(metrics.ServerSignal.DRAINING)
            self._directory.record_draining(server.incarnation)

    def _prepare_retry(
        self,
        plan: RoutingPlan,
        progress: request_progress.RequestProgress,
        attempt: attempts.Attempt,
        wait_budget: retry_policy.WaitBudget,
        serial: int,
    ) -> bool:
        is_keyed = isinstance(plan.target, server_finder.KeyTarget)
        reason = retry_policy.find_retry_reason(attempt, idempotent=plan.route.idempotent)
        if reason is None:
            return False
        if retry_policy.was_sent(attempt):
            if progress.sent >= plan.route.max_attempts:
                return False
            if not self._take_retry(plan):
                self._metrics.count_retry_denied(reason)
                return False
        self._metrics.count_retry(reason)
        if attempt.signals.pause_s:
            return True
        return not is_keyed or self._wait_for_owner(plan, wait_budget, serial)

    def _take_retry(self, plan: RoutingPlan) -> bool:
        budget = self._budgets.find(plan.target.service)
        return budget.take_retry(self._clock.read_s(), self._instance_counter.live_instances)

    def _create_dispatch(
        self, request: requests.Request, plan: RoutingPlan, server: deployment.RegisteredServer
    ) -> attempts.Dispatch:
        configuration = self._directory.configuration
        limit = 1
        if configuration is not None:
            for spec in configuration.services:
                if spec.name == server.service:
                    limit = spec.connection_limit
        return attempts.Dispatch(
            request_id=request.request_id,
            server=server_finder.create_backend_server(server),
            connection_limit=max(1, limit // self._instance_counter.live_instances),
            method=request.method,
            target=request.raw_target,
            headers=request.headers,
            body=request.body,
            timeout_s=self._find_remaining_s(plan),
            idempotent=plan.route.idempotent,
        )

    def _find_remaining_s(self, plan: RoutingPlan) -> float:
        return plan.deadline_s - self._clock.read_s() - RESPONSE_MARGIN_S

    def _report_outcome(
        self,
        request: requests.Request,
        plan: RoutingPlan | None,
        outcome: outcomes.Outcome,
        attempt_descriptions: tuple[str, ...],
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
                tried=attempt_descriptions,
                outcome=explanation.outcome,
                reason=explanation.reason,
                step=explanation.step,
                peer=explanation.peer,
                detail=explanation.detail,
                duration_ms=int(duration_s * 1_000),
            )
        )


def _refuse_expired(plan: RoutingPlan) -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.DEADLINE_EXPIRED,
        outcomes.Step.SEND,
        plan.target.service,
        retry_after_s=EXPIRED_RETRY_AFTER_S,
    )
