"""Runs the attempts of requests at servers, and observes what they tell of the servers."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.gateway import alternatives
from goldcresthall.gateway import early_retries
from goldcresthall.gateway import target_keys
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    from goldcresthall.backend import request_sender
    from goldcresthall.core import deployment
    from goldcresthall.core import requests
    from goldcresthall.gateway import request_progress
    from goldcresthall.gateway import retry_budgets
    from goldcresthall.gateway import routing_plans
    from goldcresthall.gateway import server_finder
    from goldcresthall.gateway import waiting
    from goldcresthall.kernel import cancellation
    from goldcresthall.kernel import clock
    from goldcresthall.load import work_model
    from goldcresthall.ranges import reports

RESPONSE_MARGIN_S = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """The result of an attempt.

    Attributes
    ----------
    is_given_up
        Whether it was ended early because the server is suspected; its retry is paid already.
    list_age_s
        Seconds for which the server list had not been known to be current as it began.
    """

    attempt: attempts.Attempt
    is_given_up: bool = False
    list_age_s: float = 0.0


class AttemptRunner:
    """Sends requests to servers, one attempt at a time."""

    def __init__(
        self,
        *,
        finder: server_finder.ServerFinder,
        sender: request_sender.RequestSender,
        model: work_model.WorkModel,
        queues: waiting.CapacityQueues,
        budgets: retry_budgets.RetryWindowBudgets,
        watches: early_retries.EarlyRetries,
        instance_counter: reports.InstanceCounter,
        monotonic_clock: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._finder = finder
        self._directory = finder.directory
        self._estimates = finder.estimates
        self._circuits = finder.circuits
        self._sender = sender
        self._model = model
        self._capacity_queues = queues
        self._budgets = budgets
        self._watches = watches
        self._instance_counter = instance_counter
        self._clock = monotonic_clock
        self._metrics = counters

    def run(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan,
        server: deployment.RegisteredServer,
        progress: request_progress.RequestProgress,
        cancelled: cancellation.Cancellation,
    ) -> FinishedAttempt:
        """Send a request to a server once and return the result."""
        began_at_s = self._clock.read_s()
        load = self._estimates.find(server).find_load(began_at_s)
        expected_s = self._finder.find_response_time_s(server, load, plan.route.name)
        self._estimates.start_attempt(server)
        list_age_s = self._directory.list_age_s
        self._metrics.observe_list_age(list_age_s)
        try:
            finished = self._send(request, plan, server, progress, cancelled)
        except BaseException:
            self._cancel(plan, server)
            raise
        attempt = finished.attempt
        if cancelled.is_cancelled:
            self._cancel(plan, server)
        else:
            duration_s = self._clock.read_s() - began_at_s
            self._estimates.finish_attempt(server, attempt)
            self._model.record(plan.route.name, server, attempt, duration_s)
            if not finished.is_given_up:
                # What was ended on the reports of others is no evidence of this instance.
                self._circuits.record_attempt(server.incarnation, attempt, began_at_s, expected_s)
            # A request that is woken must find the circuit as it is now.
            self._capacity_queues.notify_freed(target_keys.find_queue(plan.target, server))
        self._observe_signals(server, attempt.signals)
        return dataclasses.replace(finished, list_age_s=list_age_s)

    def find_remaining_s(self, plan: routing_plans.RoutingPlan) -> float:
        """Return the seconds until an attempt of a request must end."""
        return plan.deadline_s - self._clock.read_s() - RESPONSE_MARGIN_S

    def _cancel(self, plan: routing_plans.RoutingPlan, server: deployment.RegisteredServer) -> None:
        self._estimates.cancel_attempt(server)
        self._capacity_queues.notify_freed(target_keys.find_queue(plan.target, server))

    def _send(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan,
        server: deployment.RegisteredServer,
        progress: request_progress.RequestProgress,
        cancelled: cancellation.Cancellation,
    ) -> FinishedAttempt:
        dispatch = self._create_dispatch(
            request, plan, server, sent_before=server.name in progress.tried
        )
        may_send = functools.partial(self._finder.may_send, plan.target, server)
        if not plan.route.idempotent or progress.sent + 1 >= plan.route.max_attempts:
            return FinishedAttempt(self._sender.send(dispatch, cancelled, may_send))
        work_s = self._model.expect_s(plan.route.name, server)
        check_s = early_retries.find_check_s(self._clock.read_s(), work_s)
        latest_s = early_retries.find_latest_s(plan.target_at_s, plan.work_s)
        if check_s >= latest_s:
            return FinishedAttempt(self._sender.send(dispatch, cancelled, may_send))
        watch = early_retries.AttemptWatch(
            latest_s,
            functools.partial(self._should_give_up, plan, server, progress),
            cancelled.interrupt,
        )
        self._watches.add(check_s, watch)
        try:
            attempt = self._sender.send(dispatch, cancelled, may_send)
        finally:
            watch.finish()
        if watch.is_given_up and isinstance(attempt, attempts.AttemptUnknown):
            attempt = dataclasses.replace(
                attempt,
                reason=outcomes.UnknownReason.ANSWER_TIMEOUT,
                detail="given up early, since the server is suspected to have lost the request",
            )
            return FinishedAttempt(attempt, is_given_up=True)
        return FinishedAttempt(attempt)

    def take_retry(self, plan: routing_plans.RoutingPlan) -> bool:
        """Spend one retry of the service's budget if this instance's share allows it."""
        budget = self._budgets.find(plan.target.service)
        return budget.take_retry(self._clock.read_s(), self._instance_counter.live_instances)

    def _should_give_up(
        self,
        plan: routing_plans.RoutingPlan,
        server: deployment.RegisteredServer,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Return whether a server is suspected, another one can run the request, and pay the retry.

        The retry is taken here: several attempts that are due at the same time would otherwise
        all be ended for the last retry of the budget.

        Slow work at a server that is not suspected is left alone: the server would go on with
        the work of the ended attempt, and the retry would add to its load.
        """
        if self._finder.find_circuit(server) is None:
            return False
        if not alternatives.has_alternative(plan.target, self._finder, server, progress.tried):
            return False
        return self.take_retry(plan)

    def _observe_signals(
        self, server: deployment.RegisteredServer, signals: attempts.ServerSignals
    ) -> None:
        if signals.pause_s:
            self._metrics.count_signal(metrics.ServerSignal.RETRY_AFTER)
        if signals.draining:
            self._metrics.count_signal(metrics.ServerSignal.DRAINING)
            self._directory.record_draining(server.incarnation)

    def _create_dispatch(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan,
        server: deployment.RegisteredServer,
        *,
        sent_before: bool,
    ) -> attempts.Dispatch:
        configuration = self._directory.configuration
        limit = 1
        if configuration is not None:
            for spec in configuration.services:
                if spec.name == server.service:
                    limit = spec.connection_limit
        return attempts.Dispatch(
            request_id=request.request_id,
            server=preset.BackendServer(
                name=server.name,
                address=server.address,
                failure_domain=server.failure_domain,
                draining=server.draining,
            ),
            connection_limit=max(1, limit // self._instance_counter.live_instances),
            method=request.method,
            target=request.raw_target,
            headers=request.headers,
            body=request.body,
            timeout_s=self.find_remaining_s(plan),
            idempotent=plan.route.idempotent,
            sent_before=sent_before,
        )
