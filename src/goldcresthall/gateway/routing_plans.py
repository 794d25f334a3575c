"""Where a request goes and by when, from the configuration in force."""

from __future__ import annotations

import dataclasses

from goldcresthall.admission import queue_limits
from goldcresthall.core import deployment
from goldcresthall.gateway import targets


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPlan:
    """Where a request goes and its deadline, from the configuration in force.

    Attributes
    ----------
    deadline_s
        Clock reading in seconds by which the caller must have a response.
    target_at_s
        Clock reading in seconds of the route's latency target for the request.
    work_s
        Expected seconds of work on a server of usual speed.
    queue_limit
        How far the request may fill the queues of servers.
    """

    route: deployment.HostRoute
    target: targets.Target
    configuration: int
    deadline_s: float
    target_at_s: float
    work_s: float
    queue_limit: queue_limits.QueueLimit = queue_limits.NO_LIMIT
