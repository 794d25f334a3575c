"""The gateway service: takes a request from its route to its outcome."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

from goldcresthall.backend import work
from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.gateway import budgets
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import explanations
from goldcresthall.gateway import repeats
from goldcresthall.gateway import routes
from goldcresthall.gateway import targets
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.observability import decisions
from goldcresthall.observability import metrics
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports
from goldcresthall.routing import attempt_outcomes

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings
    from goldcresthall.core import requests
    from goldcresthall.kernel import cancellation
    from goldcresthall.kernel import kernel

ANSWER_MARGIN_S = 0.004
LEAST_TRY_S = 0.01
NO_CONFIGURATION_RETRY_S = 0.5
BUSY_RETRY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the configuration in force says of a request.

    Attributes
    ----------
    deadline_s
        Reading of the clock by which the caller must have an answer.
    """

    route: deployment.HostRoute
    target: targets.Target
    configuration: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What was tried so far.

    Attributes
    ----------
    sent
        Tries that reached a server.
    notes
        Servers tried, each with what came of it.
    """

    sent: int = 0
    tried: frozenset[str] = frozenset()
    outcome: outcomes.Outcome | None = None
    notes: tuple[str, ...] = ()


class Gateway(service.Service):
    """Decides where a request goes, tries it and says what became of it."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        instance_settings: deployment_settings.DeploymentSettings,
        generator: random.Random,
    ) -> None:
        self._kernel = service_kernel
        self._failure_domain = instance_settings.failure_domain
        self._drain_s = instance_settings.drain_s
        self._generator = generator
        self._budgets = budgets.WindowedBudgets(instance_settings.retries)
        self._rotations = routes.SplitRotations(generator)
        self._last_deadline_s = math.inf

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        instance_settings: deployment_settings.DeploymentSettings,
    ) -> Gateway:
        """Return the gateway of an instance."""
        return cls(service_kernel, instance_settings, random.Random())  # noqa: S311

    def start(self) -> None:
        """Find the services that requests need."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        self._owners = self._kernel.find(names.OWNERS, owners.Owners)
        self._estimates = self._kernel.find(names.ESTIMATES, estimates.Estimates)
        self._reports = self._kernel.find(names.REPORTS, reports.InstanceCounter)
        self._sender = self._kernel.find(names.WORK, work.WorkSender)
        self._log = self._kernel.find(names.REQUEST_LOG, decisions.DecisionLog)
        self._finder = targets.ServerFinder(
            known=self._directory,
            owned=self._owners,
            seen=self._estimates,
            failure_domain=self._failure_domain,
            drain_s=self._drain_s,
            counted=self._reports,
        )

    def stop(self) -> None:
        """Do nothing; requests in progress are the front end's to await."""

    def start_draining(self, remaining_s: float) -> None:
        """Answer all requests that come from now on within so many seconds."""
        self._last_deadline_s = self._clock.read_s() + remaining_s

    def handle(
        self, request: requests.Request, cancelled: cancellation.Cancellation
    ) -> outcomes.Outcome:
        """Take a request to its outcome, before its deadline."""
        plan = self._create_plan(request)
        if isinstance(plan, outcomes.Refused):
            self._conclude(request, None, plan, ())
            return plan
        progress = self._try_repeatedly(request, plan, cancelled)
        outcome = progress.outcome or _refuse_late(plan)
        self._conclude(request, plan, outcome, progress.notes)
        return outcome

    def _create_plan(self, request: requests.Request) -> Plan | outcomes.Refused:
        configuration = self._directory.configuration
        if configuration is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_PRESET,
                outcomes.Step.ROUTE,
                "",
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        route = self._directory.routes.match(request.host, request.path)
        if route is None:
            return outcomes.Refused(
                outcomes.RefusalReason.UNKNOWN_ROUTE, outcomes.Step.ROUTE, request.host
            )
        target = targets.create_target(
            configuration, self._rotations.take(route), request.key, request.path
        )
        latest_s = request.received_at_s + route.timeout_s
        if request.deadline_s is not None:
            latest_s = min(latest_s, request.deadline_s)
        deadline_s = min(latest_s, self._last_deadline_s)
        return Plan(route, target, configuration.version, deadline_s)

    def _try_repeatedly(
        self, request: requests.Request, plan: Plan, cancelled: cancellation.Cancellation
    ) -> Progress:
        self._budgets.find(plan.target.service).add_request(self._clock.read_s())
        targets.count_request(plan.target, self._owners)
        patience = repeats.Patience(self._clock.read_s(), self._find_remaining_s(plan))
        progress = Progress()
        while not cancelled.is_cancelled:
            if self._find_remaining_s(plan) < LEAST_TRY_S:
                return progress
            serial = self._owners.serial
            found = self._finder.find(plan.target, progress.tried, self._generator)
            if isinstance(found, targets.NotNow):
                if not self._await_owner(plan, patience, serial, is_busy=found.is_busy):
                    return _settle(progress, found.refused)
                continue
            attempt = self._try_once(request, plan, found, cancelled)
            progress = _advance(progress, found.name, attempt)
            if not self._prepare_repeat(plan, progress, attempt, patience, serial):
                return progress
        return _settle_cancelled(progress)

    def _await_owner(
        self, plan: Plan, patience: repeats.Patience, serial: int, *, is_busy: bool = False
    ) -> bool:
        """Wait for the key's owner to change or to have room; return whether to look again."""
        if not is_busy and not isinstance(plan.target, targets.KeyTarget):
            return False
        remaining_s = patience.find_remaining_s(self._clock.read_s())
        if remaining_s <= 0:
            return False
        if is_busy:
            self._estimates.await_end(min(remaining_s, repeats.OWNER_RECHECK_S))
        else:
            self._owners.wait_for_newer(serial, min(remaining_s, repeats.OWNER_RECHECK_S))
        return True

    def _try_once(
        self,
        request: requests.Request,
        plan: Plan,
        server: deployment.RegisteredServer,
        cancelled: cancellation.Cancellation,
    ) -> attempts.Attempt:
        self._estimates.begin(server)
        began_at_s = self._clock.read_s()
        try:
            attempt = self._sender.send(self._create_dispatch(request, plan, server), cancelled)
        except BaseException:
            self._estimates.finish_cancelled(server)
            raise
        if cancelled.is_cancelled:
            self._estimates.finish_cancelled(server)
        else:
            self._estimates.finish(server, attempt, self._clock.read_s() - began_at_s)
        return attempt

    def _prepare_repeat(
        self,
        plan: Plan,
        progress: Progress,
        attempt: attempts.Attempt,
        patience: repeats.Patience,
        serial: int,
    ) -> bool:
        keyed = isinstance(plan.target, targets.KeyTarget)
        reason = repeats.find_reason(attempt, idempotent=plan.route.idempotent)
        if reason is None:
            return False
        if repeats.was_sent(attempt):
            if progress.sent >= plan.route.max_attempts:
                return False
            budget = self._budgets.find(plan.target.service)
            if not budget.take_repeat(self._clock.read_s(), self._reports.live_instances):
                self._metrics.count_retry_denied(reason)
                return False
        self._metrics.count_retry(reason)
        return not keyed or self._await_owner(plan, patience, serial)

    def _create_dispatch(
        self, request: requests.Request, plan: Plan, server: deployment.RegisteredServer
    ) -> attempts.Dispatch:
        configuration = self._directory.configuration
        limit = 1
        if configuration is not None:
            for spec in configuration.services:
                if spec.name == server.service:
                    limit = spec.connection_limit
        return attempts.Dispatch(
            request_id=request.request_id,
            server=targets.describe_server(server),
            connection_limit=max(1, limit // self._reports.live_instances),
            method=request.method,
            target=request.raw_target,
            headers=request.headers,
            body=request.body,
            timeout_s=self._find_remaining_s(plan),
            idempotent=plan.route.idempotent,
        )

    def _find_remaining_s(self, plan: Plan) -> float:
        return plan.deadline_s - self._clock.read_s() - ANSWER_MARGIN_S

    def _conclude(
        self,
        request: requests.Request,
        plan: Plan | None,
        outcome: outcomes.Outcome,
        notes: tuple[str, ...],
    ) -> None:
        duration_s = self._clock.read_s() - request.received_at_s
        self._metrics.count_outcome(outcome, duration_s)
        explained = explanations.explain(outcome)
        self._log.record(
            decisions.RequestDecision(
                request_id=request.request_id,
                route=plan.route.name if plan else "",
                service=plan.target.service if plan else "",
                key=request.key,
                configuration=plan.configuration if plan else 0,
                owners_term=self._owners.view.term,
                owners_age_ms=int(self._owners.age_s * 1_000),
                tried=notes,
                outcome=explained.outcome,
                reason=explained.reason,
                step=explained.step,
                peer=explained.peer,
                detail=explained.detail,
                duration_ms=int(duration_s * 1_000),
            )
        )


def _advance(progress: Progress, server: str, attempt: attempts.Attempt) -> Progress:
    tries = len(progress.notes) + 1
    latest = attempt_outcomes.create_outcome(attempt, server, tries)
    return Progress(
        sent=progress.sent + repeats.was_sent(attempt),
        tried=progress.tried | {server},
        outcome=attempt_outcomes.combine_outcomes(progress.outcome, latest),
        notes=(*progress.notes, f"{server} {explanations.describe_attempt(attempt)}"),
    )


def _settle(progress: Progress, refused: outcomes.Refused) -> Progress:
    outcome = (
        attempt_outcomes.combine_outcomes(progress.outcome, refused)
        if progress.outcome
        else refused
    )
    if isinstance(progress.outcome, outcomes.Answered):
        outcome = progress.outcome
    return dataclasses.replace(progress, outcome=outcome)


def _settle_cancelled(progress: Progress) -> Progress:
    left = outcomes.OutcomeUnknown(
        outcomes.UnknownReason.CALLER_LEFT, outcomes.Step.RECEIVE, "caller"
    )
    return dataclasses.replace(progress, outcome=left)


def _refuse_late(plan: Plan) -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.DEADLINE_EXPIRED,
        outcomes.Step.SEND,
        plan.target.service,
        retry_after_s=BUSY_RETRY_S,
    )
