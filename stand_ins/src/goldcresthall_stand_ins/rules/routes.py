"""Routes of a configuration version."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficPart:
    """A service that runs requests of a route, and its weight among the route's services."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of a configuration version.

    Attributes
    ----------
    parts
        Services that may run its requests; more than one if the traffic is split.
    timeout_s
        Longest time that a request may be kept waiting, in seconds.
    max_attempts
        Number of servers to which one request may be sent.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[TrafficPart, ...]
    timeout_s: float
    max_attempts: int
