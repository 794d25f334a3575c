"""Presets: what operators publish, of which exactly one is in force."""

from __future__ import annotations

import dataclasses
import enum

from goldcresthall.core import identity

DEFAULT_PARTITION_COUNT = 256
DEFAULT_DEADLINE_MS = 2_000


class RequestClass(enum.Enum):
    """Expected duration class of a route's requests."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests of one method and path pattern are treated.

    Attributes
    ----------
    path
        Pattern of segments: a literal, ``{key}`` for the key, ``{any}`` for any
        one segment, or a final ``*`` for any remainder.
    deadline_ms
        Milliseconds from arrival within which the caller has an answer.
    """

    method: str
    path: str
    idempotent: bool
    request_class: RequestClass = RequestClass.SHORT
    deadline_ms: int = DEFAULT_DEADLINE_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A backend server as the preset names it."""

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
        Whether its keys are divided over the servers, each with one owner.
    checks_grants
        Whether its servers refuse work sent under a grant they do not hold.
    partitions
        Number of partitions of the key space; fixed for the service's life.
    slots_per_server
        Requests that one server runs at a time.
    connections_per_server
        Connections that one server accepts, over all router instances.
    queue_limit
        Requests that may wait at one router instance.
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
        """Return the server of that name, or none."""
        for server in self.servers:
            if server.name == name:
                return server
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Preset:
    """A whole configuration that an operator publishes."""

    name: str
    services: tuple[ServicePolicy, ...]

    def find_service(self, name: str) -> ServicePolicy | None:
        """Return the service of that name, or none."""
        for service in self.services:
            if service.name == name:
                return service
        return None
