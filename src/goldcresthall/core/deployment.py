"""Configuration and registered backend servers of a deployment."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests in proportion to its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostRoute:
    """Routing rule for requests with a given host and path prefix.

    Attributes
    ----------
    path_prefix
        Starts and ends with a slash; the longest matching prefix of a path wins.
    timeout_s
        Maximum time in seconds until the caller gets a response.
    target_latency_s
        Latency target in seconds; a response within it has the highest value.
    priority
        Priority of the route's requests; 0 is the highest.
    max_attempts
        Maximum number of attempts of one request that may reach a backend server.
    weighted_services
        Services that share the route's requests.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service of the deployment.

    Attributes
    ----------
    health_path
        Path of the health check on its backend servers.
    connection_limit
        Maximum number of connections that each of its backend servers accepts in total.
    keyed
        Whether its keys are partitioned among its backend servers, each key with one owner.
    slow_start_s
        Seconds for which a backend server is cold after its start.
    cold_requests_per_s
        Requests per second that a cold backend server bears; 0 if there is no limit.
    """

    name: str
    health_path: str
    connection_limit: int
    keyed: bool
    slow_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on a caller's headers and body (bytes), and header and idle timeouts (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Configuration of a deployment; a higher version replaces a lower one."""

    version: int
    routes: tuple[HostRoute, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()

    @property
    def keyed_services(self) -> tuple[str, ...]:
        """Names of the services whose keys are partitioned among their servers."""
        return tuple(spec.name for spec in self.services if spec.keyed)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """One incarnation of a backend server, from its start to its end.

    A server that restarts under the same name holds none of its earlier leases.

    Attributes
    ----------
    started_ms
        Unix time of its start in milliseconds.
    """

    name: str
    started_ms: int

    def __str__(self) -> str:
        """Return ``name@started_ms``."""
        return f"{self.name}@{self.started_ms}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """Registration of a backend server.

    Attributes
    ----------
    slots
        Number of requests that it processes at the same time.
    draining
        Whether it is draining before a shutdown.
    slow_start_remaining_s
        Remaining warm-up time in seconds at its registration, during which it is slow.
    refresh
        Number of this refresh of its entry, counted by the server; `None` if it is not known. Two
        registrations that differ only in it are equal.
    """

    incarnation: ServerIncarnation
    service: str
    address: identity.Address
    failure_domain: str
    slots: int
    draining: bool
    slow_start_remaining_s: float
    refresh: int | None = dataclasses.field(default=None, compare=False)

    @property
    def name(self) -> str:
        """Name under which it registered."""
        return self.incarnation.name
