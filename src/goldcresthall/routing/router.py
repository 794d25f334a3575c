"""The router service: takes one request from its arrival to its outcome."""

from __future__ import annotations

import dataclasses
import functools
import random
from typing import TYPE_CHECKING

from goldcresthall.backend import client
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.intents import service as intents_service
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.replication import replica
from goldcresthall.routing import routes
from goldcresthall.routing import targets

if TYPE_CHECKING:
    from goldcresthall.core import preset
    from goldcresthall.core import requests
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000
RETRY_PAUSE_S = 0.02
MAX_TRIES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What the preset says of one request."""

    target: targets.Target
    route: routes.MatchedRoute
    deadline_s: float


class Router(service.Service):
    """Decides where a request goes, tries it and says what became of it."""

    def __init__(self, owner: kernel.Kernel) -> None:
        self._kernel = owner
        self._generator = random.Random()  # noqa: S311

    @classmethod
    def from_config(cls, owner: kernel.Kernel) -> Router:
        """Return the router of an instance."""
        return cls(owner)

    def start(self) -> None:
        """Find the services that requests need."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._intents = self._kernel.find(names.INTENTS, intents_service.Intents)
        self._client = self._kernel.find(names.BACKENDS, client.BackendClient)

    def stop(self) -> None:
        """Do nothing; requests in progress are the callers' front end's to await."""

    def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Take a request to its outcome, before its deadline."""
        plan = self._plan(request)
        if isinstance(plan, outcomes.Refused):
            return plan
        if plan.route.idempotent:
            return self._try_repeatedly(request, plan)
        return self._intents.run_once(
            request, plan.deadline_s, lambda: self._try_repeatedly(request, plan)
        )

    def _plan(self, request: requests.Request) -> Plan | outcomes.Refused:
        in_force = self._replica.state.preset_in_force
        if in_force is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_PRESET, outcomes.Step.ROUTE, "", retry_after_s=1.0
            )
        policy = in_force.preset.find_service(request.service)
        if policy is None:
            return outcomes.Refused(
                outcomes.RefusalReason.UNKNOWN_SERVICE, outcomes.Step.ROUTE, request.service
            )
        return self._plan_for(request, policy)

    def _plan_for(
        self, request: requests.Request, policy: preset.ServicePolicy
    ) -> Plan | outcomes.Refused:
        route = routes.match_route(policy, request.method, request.path)
        latest_s = request.received_at_s + route.deadline_ms / MS_PER_S
        deadline_s = min(latest_s, request.deadline_s or latest_s)
        if not policy.keyed:
            return Plan(targets.PoolTarget(policy), route, deadline_s)
        key = route.key or request.key
        if not key:
            return outcomes.Refused(
                outcomes.RefusalReason.KEY_MISSING, outcomes.Step.ROUTE, policy.name
            )
        return Plan(targets.KeyTarget(policy, key), route, deadline_s)

    def _try_repeatedly(self, request: requests.Request, plan: Plan) -> outcomes.Outcome:
        tried: frozenset[str] = frozenset()
        outcome: outcomes.Outcome = outcomes.Refused(
            outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.ROUTE, plan.target.policy.name
        )
        for tries in range(1, MAX_TRIES + 1):
            state = self._replica.state
            found = targets.find_server(plan.target, state, tried, self._generator)
            if isinstance(found, targets.FoundServer):
                attempt = self._try_once(request, plan, found)
                outcome = conclude(attempt, found.server.name, tries)
                if not _may_retry(attempt, plan.route):
                    return outcome
                tried = tried | {found.server.name}
            elif tries > 1 and found.reason is outcomes.RefusalReason.NO_SERVER_AVAILABLE:
                return outcome
            else:
                outcome = found
            if self._clock.read_s() + RETRY_PAUSE_S >= plan.deadline_s:
                return outcome
            self._replica.wait_beyond(state.next_offset, RETRY_PAUSE_S)
        return outcome

    def _try_once(
        self, request: requests.Request, plan: Plan, found: targets.FoundServer
    ) -> attempts.Attempt:
        timeout_s = plan.deadline_s - self._clock.read_s()
        if timeout_s <= 0:
            return attempts.AttemptNotRun(
                outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.SEND, "before sending"
            )
        dispatch = attempts.Dispatch(
            request_id=request.request_id,
            server=found.server,
            connection_limit=plan.target.policy.connections_per_server,
            method=request.method,
            target=f"{request.path}?{request.query}" if request.query else request.path,
            headers=request.headers,
            body=request.body,
            timeout_s=timeout_s,
            grant=found.grant,
        )
        return self._client.send(dispatch)


@functools.singledispatch
def conclude(attempt: attempts.Attempt, server: str, tries: int) -> outcomes.Outcome:
    """Return the outcome that an attempt would be if it were the last."""
    raise NotImplementedError(type(attempt).__name__)


@conclude.register
def _(attempt: attempts.AttemptAnswered, server: str, tries: int) -> outcomes.Outcome:
    return outcomes.Answered(attempt.answer, server, tries)


@conclude.register
def _(attempt: attempts.AttemptNotRun, server: str, tries: int) -> outcomes.Outcome:
    return outcomes.Refused(
        attempt.reason,
        attempt.step,
        server,
        attempt.detail,
        retry_after_s=attempt.retry_after_s,
        tries=tries,
    )


@conclude.register
def _(attempt: attempts.AttemptUnknown, server: str, tries: int) -> outcomes.Outcome:
    return outcomes.OutcomeUnknown(attempt.reason, attempt.step, server, attempt.detail, tries)


def _may_retry(attempt: attempts.Attempt, route: routes.MatchedRoute) -> bool:
    if isinstance(attempt, attempts.AttemptNotRun):
        return True
    return isinstance(attempt, attempts.AttemptUnknown) and route.idempotent
