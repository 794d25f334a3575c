"""The configuration of a deployment and the backend servers that it has."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a part of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostRoute:
    """How requests for a host and a path prefix are treated.

    Attributes
    ----------
    path_prefix
        Begins and ends with a slash; the longest one that begins a path wins.
    timeout_s
        Longest time in seconds that a caller is kept waiting.
    target_latency_s
        Time in seconds within which an answer is worth most.
    priority
        Rank of the route's requests; 0 is the highest.
    max_attempts
        Most backend servers to which one request may be sent.
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
    connection_limit
        Connections that one of its backend servers accepts from all callers together.
    keyed
        Whether its keys are divided over its backend servers, each with one owner.
    """

    name: str
    health_path: str
    connection_limit: int
    keyed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The configuration that is in force; a higher version replaces a lower one."""

    version: int
    routes: tuple[HostRoute, ...]
    services: tuple[ServiceSpec, ...]
    limits: CallerLimits = CallerLimits()

    @property
    def keyed_services(self) -> tuple[str, ...]:
        """Names of the services whose keys are divided over their servers."""
        return tuple(spec.name for spec in self.services if spec.keyed)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """One life of a backend server.

    Attributes
    ----------
    started_ms
        Unix time in milliseconds of its start; a server that starts again under
        its old name holds nothing of what it held before.
    """

    name: str
    started_ms: int

    def __str__(self) -> str:
        """Return ``name@start``."""
        return f"{self.name}@{self.started_ms}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """A backend server as it registered itself.

    Attributes
    ----------
    slow_for_s
        Seconds for which it was still slow after its start when it registered.
    """

    incarnation: ServerIncarnation
    service: str
    address: identity.Address
    failure_domain: str
    slots: int
    draining: bool
    slow_start_remaining_s: float

    @property
    def name(self) -> str:
        """Name under which it registered."""
        return self.incarnation.name
