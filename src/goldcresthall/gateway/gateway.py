"""The gateway service: routes a request, sends it with retries and returns its outcome."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.admission import share_admission
from goldcresthall.backend import request_sender
from goldcresthall.core import outcomes
from goldcresthall.gateway import apertures
from goldcresthall.gateway import attempt_runner
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import directory
from goldcresthall.gateway import early_retries
from goldcresthall.gateway import estimates
from goldcresthall.gateway import outcome_reporter
from goldcresthall.gateway import request_progress
from goldcresthall.gateway import request_waits
from goldcresthall.gateway import restrictions
from goldcresthall.gateway import retry_budgets
from goldcresthall.gateway import retry_policy
from goldcresthall.gateway import route_table
from goldcresthall.gateway import routing_plans
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import server_refusals
from goldcresthall.gateway import target_keys
from goldcresthall.gateway import targets
from goldcresthall.gateway import waiting
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.load import work_model
from goldcresthall.observability import decisions
from goldcresthall.observability import metrics
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import deployment_settings
    from goldcresthall.core import requests
    from goldcresthall.kernel import cancellation
    from goldcresthall.kernel import kernel

MIN_ATTEMPT_S = 0.01
# A request whose wait for an owner was in vain meets a slow move or a lost owner.
SLOW_MOVE_S = 1.0


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
        self._evacuation_s = instance_settings.evacuation_s
        self._generator = generator
        self._budgets = retry_budgets.RetryWindowBudgets(instance_settings.retries)
        self._round_robins = route_table.WeightedRoundRobins(generator)
        self._admission = share_admission.ShareAdmission(generator)
        self._drain_deadline_s = math.inf
        self._early_retry_task: tasks.Task | None = None

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
        sender = self._kernel.find(names.REQUEST_SENDER, request_sender.RequestSender)
        self._cold_starts = self._kernel.find(names.COLD_STARTS, cold_starts.ColdStarts)
        self._reporter = outcome_reporter.OutcomeReporter(
            log=self._kernel.find(names.REQUEST_LOG, decisions.DecisionLog),
            counters=self._metrics,
            key_owners=self._owners,
            monotonic_clock=self._clock,
            generator=self._generator,
        )
        self._shares = self._kernel.find(names.RANGE_ADMISSIONS, range_admissions.RangeAdmissions)
        self._server_finder = server_finder.ServerFinder(
            server_directory=self._directory,
            key_owners=self._owners,
            server_estimates=self._estimates,
            model=self._model,
            selector=selection.Selector(
                self._estimates, self._model, sender.has_idle, self._failure_domain
            ),
            instance_apertures=apertures.Apertures(self._name, self._failure_domain),
            drain_s=self._drain_s,
            instance_counter=self._instance_counter,
            server_restrictions=restrictions.Restrictions(
                self._directory, self._cold_starts, self._evacuation_s
            ),
            circuits=self._kernel.find(names.SERVER_CIRCUITS, server_circuits.ServerCircuits),
        )
        self._capacity_queues = waiting.CapacityQueues(self._clock)
        self._waits = request_waits.RequestWaits(self._clock, self._directory, self._owners)
        watches = early_retries.EarlyRetries(self._clock)
        self._runner = attempt_runner.AttemptRunner(
            finder=self._server_finder,
            sender=sender,
            model=self._model,
            queues=self._capacity_queues,
            budgets=self._budgets,
            watches=watches,
            instance_counter=self._instance_counter,
            monotonic_clock=self._clock,
            counters=self._metrics,
        )
        self._early_retry_task = tasks.start_loop("early-retries", watches.run)

    def stop(self) -> None:
        """Stop the task that ends lost attempts; the front end waits for requests in progress."""
        if self._early_retry_task is not None:
            self._early_retry_task.stop()

    def start_draining(self, remaining_s: float) -> None:
        """Limit the deadline of all requests from now on to `remaining_s` seconds from now."""
        self._drain_deadline_s = self._clock.read_s() + remaining_s

    def handle(
        self, request: requests.Request, cancelled: cancellation.Cancellation
    ) -> outcomes.Outcome:
        """Handle a request and return its outcome before its deadline."""
        plan = self._create_plan(request)
        if isinstance(plan, outcomes.Refused):
            return self._reporter.finish(request, None, plan)
        target_keys.count_request(plan.target, self._owners, plan.work_s)
        now_s = self._clock.read_s()
        share = self._shares.find_share(
            plan.target.service, target_keys.find_key(plan.target), now_s
        )
        if not self._admission.admits(
            plan.target.service, plan.route.priority, plan.work_s, share, now_s
        ):
            return self._reporter.finish(
                request, plan, server_refusals.refuse_overloaded(plan.target.service), share=share
            )
        self._budgets.find(plan.target.service).add_request(now_s)
        with self._capacity_queues.create_entry(
            plan.route.priority, plan.target_at_s
        ) as queue_entry:
            progress = self._run_attempts(request, plan, cancelled, queue_entry)
        outcome = progress.outcome or server_refusals.refuse_expired(plan.target.service)
        return self._reporter.finish(request, plan, outcome, progress)

    def _create_plan(
        self, request: requests.Request
    ) -> routing_plans.RoutingPlan | outcomes.Refused:
        configuration = self._directory.configuration
        if configuration is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_PRESET,
                outcomes.Step.ROUTE,
                "",
            )
        table = self._directory.route_table
        route = table.match(request.host, request.path)
        if route is None:
            return outcomes.Refused(
                outcomes.RefusalReason.UNKNOWN_ROUTE, outcomes.Step.ROUTE, request.host
            )
        target = targets.create_target(
            configuration, self._round_robins.choose_service(route), request.key, request.path
        )
        latest_s = request.received_at_s + route.timeout_s
        if request.deadline_s is not None:
            latest_s = min(latest_s, request.deadline_s)
        deadline_s = min(latest_s, self._drain_deadline_s)
        target_at_s = request.received_at_s + route.target_latency_s
        work_s = self._model.expect_work_s(route.name)
        return routing_plans.RoutingPlan(
            route,
            target,
            configuration.version,
            deadline_s,
            target_at_s,
            work_s,
            table.find_queue_limit(route),
        )

    def _run_attempts(
        self,
        request: requests.Request,
        plan: routing_plans.RoutingPlan,
        cancelled: cancellation.Cancellation,
        queue_entry: waiting.QueueEntry,
    ) -> request_progress.RequestProgress:
        wait_budget = retry_policy.WaitBudget(
            self._runner.find_remaining_s(plan), plan.route.target_latency_s
        )
        progress = request_progress.RequestProgress()
        demand = selection.Demand(
            plan.route.name,
            len(request.body),
            plan.route.idempotent,
            plan.queue_limit.fraction,
        )
        while not cancelled.is_cancelled:
            if self._runner.find_remaining_s(plan) < MIN_ATTEMPT_S:
                return progress
            serial = self._owners.serial
            selected = self._select_server(plan, demand, progress, queue_entry)
            if isinstance(selected, server_finder.Unavailable):
                refused = self._wait(plan, selected, queue_entry, wait_budget, serial)
                if refused is not None:
                    return request_progress.apply_refusal(progress, refused)
                continue
            if not (
                self._server_finder.try_probe(plan.target, selected, progress.tried)
                and self._cold_starts.try_take(selected)
            ):
                continue
            queue_entry.leave()
            finished = self._runner.run(request, plan, selected, progress, cancelled)
            progress = request_progress.record_attempt(
                progress, selected.name, finished.attempt, finished.list_age_s
            )
            if not self._prepare_retry(plan, progress, finished, wait_budget, serial):
                return progress
        return request_progress.apply_cancellation(progress)

    def _select_server(
        self,
        plan: routing_plans.RoutingPlan,
        demand: selection.Demand,
        progress: request_progress.RequestProgress,
        queue_entry: waiting.QueueEntry,
    ) -> deployment.RegisteredServer | server_finder.Unavailable:
        """Return a server with capacity that no earlier or more urgent request waits for."""
        queue_entry.record_freed_count()
        limit = plan.queue_limit
        target_in_s = min(plan.target_at_s - self._clock.read_s(), limit.max_response_s)
        selected = self._server_finder.find(
            plan.target, progress.tried, self._generator, target_in_s, demand
        )
        if isinstance(selected, server_finder.Unavailable) or self._capacity_queues.is_idle:
            return selected
        queue = target_keys.find_queue(plan.target, selected)
        if queue_entry.may_proceed(queue):
            return selected
        return self._server_finder.create_queued(queue, selected, target_in_s, demand.route)

    def _wait(
        self,
        plan: routing_plans.RoutingPlan,
        unavailable: server_finder.Unavailable,
        queue_entry: waiting.QueueEntry,
        wait_budget: retry_policy.WaitBudget,
        serial: int,
    ) -> outcomes.Refused | None:
        """Wait for capacity or an owner; return the refusal if that is useless or over."""
        if unavailable.is_final:
            return unavailable.refused
        if unavailable.awaits_list:
            return None if self._waits.wait_for_list(wait_budget) else unavailable.refused
        if unavailable.wait is not None:
            has_waited = self._waits.wait_for_capacity(plan, unavailable.wait, queue_entry)
            return None if has_waited else unavailable.refused
        queue_entry.leave()
        if self._waits.wait_for_owner(plan, wait_budget, serial, unavailable.max_wait_s):
            return None
        if isinstance(plan.target, targets.KeyTarget):
            return dataclasses.replace(unavailable.refused, retry_after_s=SLOW_MOVE_S)
        return unavailable.refused

    def _prepare_retry(
        self,
        plan: routing_plans.RoutingPlan,
        progress: request_progress.RequestProgress,
        finished: attempt_runner.FinishedAttempt,
        wait_budget: retry_policy.WaitBudget,
        serial: int,
    ) -> bool:
        attempt = finished.attempt
        is_keyed = isinstance(plan.target, targets.KeyTarget)
        reason = retry_policy.find_retry_reason(attempt, idempotent=plan.route.idempotent)
        if reason is None:
            return False
        if retry_policy.was_sent(attempt):
            if progress.sent >= plan.route.max_attempts:
                return False
            if not finished.is_given_up and not self._runner.take_retry(plan):
                self._metrics.count_retry_denied(reason)
                return False
        self._metrics.count_retry(reason)
        if attempt.signals.pause_s or finished.is_given_up:
            # Given up only because another server can run it at once.
            return True
        if reason is outcomes.UnknownReason.CONNECTION_FORGOTTEN:
            # The owner is as sound as before; a new connection is all that it takes.
            return True
        return not is_keyed or self._waits.wait_for_owner(plan, wait_budget, serial)
