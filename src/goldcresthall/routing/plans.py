"""Planning of one request: its target, route and deadline by the preset in force."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import outcomes
from goldcresthall.replication import conditions
from goldcresthall.routing import routes
from goldcresthall.routing import targets

if TYPE_CHECKING:
    from goldcresthall.core import preset
    from goldcresthall.core import requests
    from goldcresthall.replication import state as replicated

MS_PER_S = 1_000
NO_PRESET_RETRY_AFTER_S = 1.0
UNUSABLE_STATE_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The target, the route and the deadline (clock reading in seconds) of one request."""

    target: targets.Target
    route: routes.MatchedRoute
    deadline_s: float


class Planner:
    """Creates plans; caches the pool target of each service until its policy changes."""

    def __init__(self) -> None:
        self._pools: dict[str, targets.PoolTarget] = {}

    def create_plan(
        self, request: requests.Request, state: replicated.State
    ) -> Plan | outcomes.Refused:
        """Return the plan of a request, or a refusal if the preset in force does not allow it."""
        if state.preset_in_force is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_PRESET,
                outcomes.Step.ROUTE,
                "",
                retry_after_s=NO_PRESET_RETRY_AFTER_S,
            )
        policy = state.preset_in_force.preset.find_service(request.service)
        if policy is None:
            return outcomes.Refused(
                outcomes.RefusalReason.UNKNOWN_SERVICE, outcomes.Step.ROUTE, request.service
            )
        return self._create_service_plan(request, policy)

    def _create_service_plan(
        self, request: requests.Request, policy: preset.ServicePolicy
    ) -> Plan | outcomes.Refused:
        route = routes.match_route(policy, request.method, request.path)
        route_deadline_s = request.received_at_s + route.deadline_ms / MS_PER_S
        deadline_s = (
            route_deadline_s
            if request.deadline_s is None
            else min(route_deadline_s, request.deadline_s)
        )
        if not policy.keyed:
            return Plan(self._find_pool(policy), route, deadline_s)
        key = route.key or request.key
        if not key:
            return outcomes.Refused(
                outcomes.RefusalReason.KEY_MISSING, outcomes.Step.ROUTE, policy.name
            )
        return Plan(targets.KeyTarget(policy, key), route, deadline_s)

    def _find_pool(self, policy: preset.ServicePolicy) -> targets.PoolTarget:
        pool = self._pools.get(policy.name)
        if pool is None or pool.policy is not policy:
            pool = self._pools[policy.name] = targets.PoolTarget.from_config(policy)
        return pool


def refuse_unusable(condition: conditions.Condition) -> outcomes.Refused:
    """Return the refusal of a request by an instance whose replica is not usable."""
    halted = (conditions.ConditionKind.HALTED, conditions.ConditionKind.DIVERGED)
    reason = (
        outcomes.RefusalReason.STATE_HALTED
        if condition.kind in halted
        else outcomes.RefusalReason.STATE_MISSING
    )
    return outcomes.Refused(
        reason,
        outcomes.Step.ROUTE,
        "",
        detail=str(condition),
        retry_after_s=UNUSABLE_STATE_RETRY_AFTER_S,
    )
