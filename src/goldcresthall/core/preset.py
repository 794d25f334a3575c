"""Presets: configurations that operators publish; exactly one is in force."""

from __future__ import annotations

import dataclasses
import enum

from goldcresthall.core import identity

DEFAULT_PARTITION_COUNT = 256
DEFAULT_DEADLINE_MS = 2_000


class RequestClass(enum.Enum):
    """Class of a route's requests by expected duration."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Handling of requests with one method and path pattern.

    Attributes
    ----------
    path
        Pattern of segments: a literal, ``{key}`` for the key, ``{any}`` for any
        one segment, or a final ``*`` for any remainder.
    deadline_ms
        Milliseconds from arrival within which the caller gets a response.
    """

    method: str
    path: str
    idempotent: bool
    request_class: RequestClass = RequestClass.SHORT
    deadline_ms: int = DEFAULT_DEADLINE_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A backend server of a preset."""

    name: str
    address: identity.Address
    failure_domain: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePolicy:
    """One service, its backend servers and its routes.

    Attributes
    ----------
    keyed
        Whether its keys are partitioned over the servers, each with one owner.
    checks_grants
        Whether its servers reject requests sent under a grant they do not hold.
    partitions
        Number of partitions of the key space; it can never change for a service.
    slots_per_server
        Number of requests that one server runs concurrently.
    connections_per_server
        Number of connections that one server accepts from all router instances.
    queue_limit
        Maximum number of requests queued at one router instance.
    """

    name: str
    keyed: bool
    servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...] = ()
    checks_grants: bool = False
    partitions: int = DEFAULT_PARTITION_COUNT
    slots_per_server: int = 4
    connections_per_server: int = 100
    queue_limit: int = 200
    deadline_ms: int = DEFAULT_DEADLINE_MS
    retry_budget: float = 0.1

    def find_server(self, name: str) -> BackendServer | None:
        """Return the server with a name, or `None`."""
        for server in self.servers:
            if server.name == name:
                return server
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Preset:
    """A complete configuration that an operator publishes."""

    name: str
    services: tuple[ServicePolicy, ...]

    def find_service(self, name: str) -> ServicePolicy | None:
        """Return the service with a name, or `None`."""
        for service in self.services:
            if service.name == name:
                return service
        return None
