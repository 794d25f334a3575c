"""Short constructors of events and checks of records made by hand."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import routes as config_routes
from goldcresthall_stand_ins.rules import rulebook

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import bounds
    from goldcresthall_stand_ins.rules import violations

ALL_KEYS = (0, 99)
_disturbance_numbers = itertools.count()


def find_violations(
    *recorded: events.Event, limits: bounds.Bounds | None = None
) -> list[violations.Violation]:
    """Return the broken rules of some events."""
    return rulebook.check(records.Record.from_events(recorded, limits))


def find_broken_rules(*recorded: events.Event, limits: bounds.Bounds | None = None) -> set[str]:
    """Return the names of the broken rules of some events."""
    return {violation.rule for violation in find_violations(*recorded, limits=limits)}


def grant(
    at_s: float,
    server: str,
    fence: int,
    *,
    keys: tuple[int, int] = ALL_KEYS,
    lease_s: float = 4.0,
    incarnation: int = 1,
    arrived_at_s: float | None = None,
    sent_at_s: float | None = None,
) -> events.GrantTaken:
    """Return a grant by instance `lessor`."""
    return events.GrantTaken(
        at_s=at_s,
        server=server,
        incarnation=incarnation,
        first_key=keys[0],
        last_key=keys[1],
        fence=fence,
        lease_s=lease_s,
        arrived_at_s=at_s if arrived_at_s is None else arrived_at_s,
        sent_at_s=sent_at_s,
        sender="lessor",
    )


def release(
    at_s: float, server: str, *, keys: tuple[int, int] = ALL_KEYS, incarnation: int = 1
) -> events.KeysReleased:
    """Return a release of keys."""
    return events.KeysReleased(
        at_s=at_s, server=server, incarnation=incarnation, first_key=keys[0], last_key=keys[1]
    )


def start(at_s: float, server: str, incarnation: int = 1) -> events.ServerStarted:
    """Return the start of a server of service `agenda`."""
    return events.ServerStarted(
        at_s=at_s, server=server, incarnation=incarnation, service="agenda", address="a:1"
    )


def end(at_s: float, server: str, incarnation: int = 1) -> events.ServerEnded:
    """Return the end of a server process."""
    return events.ServerEnded(at_s=at_s, server=server, incarnation=incarnation)


def arrival(
    at_s: float,
    server: str,
    request_id: str = "r1",
    *,
    instance: str = "edge",
    incarnation: int = 1,
    service: str = "agenda",
    method: str = "GET",
    path: str = "/item",
    body_digest: str = "",
    deadline_s: float | None = None,
    is_health_check: bool = False,
) -> events.RequestArrived:
    """Return the arrival of a request at a server."""
    return events.RequestArrived(
        at_s=at_s,
        server=server,
        incarnation=incarnation,
        service=service,
        request_id=request_id,
        instance=instance,
        method=method,
        path=path,
        body_digest=body_digest,
        deadline_s=deadline_s,
        is_health_check=is_health_check,
    )


def begin(
    at_s: float,
    server: str,
    request_id: str = "r1",
    *,
    key: int | None = None,
    incarnation: int = 1,
) -> events.RequestBegan:
    """Return the begin of the work on a request."""
    return events.RequestBegan(
        at_s=at_s, server=server, incarnation=incarnation, request_id=request_id, key=key
    )


def finish(
    at_s: float,
    server: str,
    request_id: str = "r1",
    *,
    status: int = 200,
    signature: str = "signed",
    body_digest: str = "body",
    is_complete: bool = True,
    incarnation: int = 1,
) -> events.RequestEnded:
    """Return the end of the work on a request."""
    return events.RequestEnded(
        at_s=at_s,
        server=server,
        incarnation=incarnation,
        request_id=request_id,
        status=status,
        signature=signature,
        body_digest=body_digest,
        is_complete=is_complete,
    )


def refusal(
    at_s: float,
    server: str,
    request_id: str = "r1",
    *,
    instance: str = "edge",
    status: int = 503,
    signature: str = "",
    retry_after_s: float | None = None,
    incarnation: int = 1,
) -> events.RequestRefused:
    """Return the refusal of a request by a server."""
    return events.RequestRefused(
        at_s=at_s,
        server=server,
        incarnation=incarnation,
        request_id=request_id,
        instance=instance,
        status=status,
        signature=signature,
        retry_after_s=retry_after_s,
    )


def sending(
    at_s: float,
    request_id: str = "r1",
    *,
    instance: str = "edge",
    is_idempotent: bool = True,
    deadline_s: float | None = None,
    key: int | None = None,
    method: str = "GET",
    host: str = "host",
    path: str = "/item",
    body_digest: str = "",
    connection: str = "",
) -> events.CallerSent:
    """Return a request of a caller, by default on a connection of its own."""
    return events.CallerSent(
        at_s=at_s,
        request_id=request_id,
        instance=instance,
        connection=connection or f"connection-{request_id}",
        is_idempotent=is_idempotent,
        deadline_s=deadline_s,
        key=key,
        method=method,
        host=host,
        path=path,
        body_digest=body_digest,
    )


def answer(
    at_s: float,
    request_id: str = "r1",
    *,
    status: int = 200,
    signature: str = "signed",
    body_digest: str = "body",
    echoed_id: str = "",
    is_complete: bool = True,
    is_valid: bool = True,
    connection: str = "",
) -> events.CallerAnswered:
    """Return a response to a caller."""
    return events.CallerAnswered(
        at_s=at_s,
        request_id=request_id,
        connection=connection or f"connection-{request_id}",
        status=status,
        signature=signature,
        echoed_id=echoed_id,
        body_digest=body_digest,
        is_complete=is_complete,
        is_valid=is_valid,
    )


def disturb(
    from_s: float,
    until_s: float,
    kind: events.DisturbanceKind,
    instance: str = "",
    peer: str = "",
) -> tuple[events.Event, events.Event]:
    """Return the begin and the end of a disturbance."""
    number = next(_disturbance_numbers)
    began = events.DisturbanceBegan(
        at_s=from_s, number=number, kind=kind, instance=instance, peer=peer
    )
    return began, events.DisturbanceEnded(at_s=until_s, number=number)


def acknowledge(
    at_s: float, server: str, state: events.ServerState, incarnation: int = 1
) -> events.ServerStateAcknowledged:
    """Return the store's acknowledgement of a server's state."""
    return events.ServerStateAcknowledged(
        at_s=at_s, server=server, incarnation=incarnation, state=state
    )


def say_leaving(at_s: float, server: str, instance: str = "edge") -> events.LeavingSaid:
    """Return a passed-on response in which a server says that it is leaving."""
    return events.LeavingSaid(at_s=at_s, server=server, incarnation=1, instance=instance)


def readiness(at_s: float, instance: str, *, is_ready: bool) -> events.ReadinessAnswered:
    """Return the answer of an instance to the question whether it is ready."""
    return events.ReadinessAnswered(at_s=at_s, instance=instance, is_ready=is_ready)


def cut_off(at_s: float, request_id: str = "r1", *, connection: str = "") -> events.CallerCutOff:
    """Return the end of a connection before a complete response."""
    return events.CallerCutOff(
        at_s=at_s, request_id=request_id, connection=connection or f"connection-{request_id}"
    )


def leave(at_s: float, request_id: str = "r1") -> events.CallerLeft:
    """Return a caller that closes its connection before a response."""
    return events.CallerLeft(
        at_s=at_s, request_id=request_id, connection=f"connection-{request_id}"
    )


def route(
    *services: str,
    path_prefix: str = "/item",
    weights: tuple[float, ...] = (),
    timeout_s: float = 2.0,
    max_attempts: int = 2,
) -> config_routes.Route:
    """Return a route to services, by default with equal weights."""
    parts = tuple(
        config_routes.TrafficPart(service, weights[index] if weights else 1.0)
        for index, service in enumerate(services)
    )
    return config_routes.Route(path_prefix, "host", path_prefix, parts, timeout_s, max_attempts)


def configure(
    at_s: float, version: int, *routes: config_routes.Route, sent_at_s: float | None = None
) -> events.ConfigurationAcknowledged:
    """Return the store's acknowledgement of a configuration version."""
    return events.ConfigurationAcknowledged(
        at_s=at_s,
        sent_at_s=at_s if sent_at_s is None else sent_at_s,
        version=version,
        routes=routes,
    )
