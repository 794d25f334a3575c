"""How far the requests of each route may fill the queue of a server, by priority.

Load condition: servers are busy and requests join their queues. Less urgent routes often have
later latency targets; they filled the queues beyond what urgent requests could still use.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment

# Part of the queue that each more urgent priority keeps for itself.
RESERVED_FRACTION = 0.15
MIN_QUEUE_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimit:
    """Limit on the queues that a request joins.

    Attributes
    ----------
    fraction
        Part of a server's load limit up to which it may join.
    max_response_s
        Longest expected response time in seconds from the queue: the shortest latency target of
        the more urgent routes.
    """

    fraction: float = 1.0
    max_response_s: float = math.inf


NO_LIMIT = QueueLimit()


def find_queue_limits(routes: tuple[deployment.HostRoute, ...]) -> dict[str, QueueLimit]:
    """Return the limit of each route by its name."""
    return {route.name: _find_limit(route, routes) for route in routes}


def _find_limit(
    route: deployment.HostRoute, routes: tuple[deployment.HostRoute, ...]
) -> QueueLimit:
    services = {weighted.service for weighted in route.weighted_services}
    more_urgent = [
        other
        for other in routes
        if other.priority < route.priority
        and not services.isdisjoint(weighted.service for weighted in other.weighted_services)
    ]
    if not more_urgent:
        return NO_LIMIT
    rank = len({other.priority for other in more_urgent})
    return QueueLimit(
        max(MIN_QUEUE_FRACTION, 1.0 - RESERVED_FRACTION * rank),
        min(other.target_latency_s for other in more_urgent),
    )
