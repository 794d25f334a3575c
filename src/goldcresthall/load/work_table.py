"""The work of routes and the slowness of servers, as instances tell each other."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment
from goldcresthall.core import row_changes

MAX_ROUTES = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWork:
    """Requested keys of a service since the last report, each once.

    Attributes
    ----------
    work_s
        Expected work in seconds of all requests for each key, on a server of usual speed.
    """

    service: str
    keys: tuple[int, ...]
    work_s: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSample:
    """Number of responses on a route and the sum of their work in seconds.

    The work is what they would have taken on a server of usual speed.
    """

    route: str
    count: int
    total_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSlowness:
    """Time that work takes at a server, relative to the average over its service."""

    server: deployment.ServerIncarnation
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteWork:
    """Mean work in seconds of a route's requests on a server of usual speed."""

    route: str
    mean_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkTable:
    """What the lessor knows of work from the samples of all instances.

    Attributes
    ----------
    revision
        Number of changes within the lessor's term.
    """

    revision: int = row_changes.NO_REVISION
    servers: tuple[ServerSlowness, ...] = ()
    routes: tuple[RouteWork, ...] = ()
