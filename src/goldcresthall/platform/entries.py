"""Decoding of the JSON documents of the operator's configuration and of server entries."""

from __future__ import annotations

from typing import Any
from typing import Final

from goldcresthall.core import deployment
from goldcresthall.platform import exceptions
from goldcresthall.platform import fields
from goldcresthall.platform import names

IDEMPOTENT_TYPES: Final = ("safe", "download")
AT_MOST_ONCE_TYPES: Final = ("unsafe", "upload")
DRAINING_BY_STATE: Final = {"ready": False, "draining": True}
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_TIMEOUT_S = 30.0
DEFAULT_CONNECTION_LIMIT = 100
MAX_VERSION: Final = 2**32 - 1
MAX_LOGGED_TYPE = 64


def decode_configuration(content: bytes) -> deployment.Configuration:
    """Return the operator's configuration.

    Raises
    ------
    MalformedEntryError
        If a field is missing or has the wrong type, or a route names an unknown service.
    """
    document = fields.parse_object(content)
    services = tuple(_decode_service(entry) for entry in fields.read_list(document, "services"))
    routes = tuple(_decode_route(entry) for entry in fields.read_list(document, "routes"))
    service_names = {spec.name for spec in services}
    for route in routes:
        for weighted in route.weighted_services:
            if weighted.service not in service_names:
                raise exceptions.MalformedEntryError(f"{route.name}: no service {weighted.service}")
    return deployment.Configuration(
        version=_decode_version(document),
        routes=routes,
        services=services,
        limits=_decode_limits(fields.read_object(document, "limits")),
    )


def find_unknown_types(content: bytes) -> tuple[str, ...]:
    """Return the types of routes in a configuration that are not known, each once.

    Requests of such routes are executed at most once. A route without a type is not reported.

    Raises
    ------
    MalformedEntryError
        If the routes are not a list of objects.
    """
    known = (*IDEMPOTENT_TYPES, *AT_MOST_ONCE_TYPES)
    routes = fields.read_list(fields.parse_object(content), "routes")
    unknown = (route["type"] for route in routes if "type" in route and route["type"] not in known)
    return tuple(dict.fromkeys(repr(kind)[:MAX_LOGGED_TYPE] for kind in unknown))


def find_evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a key of the configuration's topic names to be evacuated.

    Returns `None` for any other key.

    Raises
    ------
    MalformedEntryError
        If the key names no failure domain, or one that cannot be relayed.
    """
    if not key.startswith(names.EVACUATION_KEY_PREFIX):
        return None
    return fields.check_text(key.removeprefix(names.EVACUATION_KEY_PREFIX), "key")


def decode_server(name: str, content: bytes) -> deployment.RegisteredServer:
    """Return a backend server from its entry.

    Raises
    ------
    MalformedEntryError
        If a field is missing or has the wrong type, or the state is unknown.
    """
    document = fields.parse_object(content)
    state = fields.read_text(document, "state")
    if state not in DRAINING_BY_STATE:
        raise exceptions.MalformedEntryError(f"state: unknown state {state}")
    return deployment.RegisteredServer(
        # `born` is the start time of this process, not of the first one under this name.
        incarnation=deployment.ServerIncarnation(
            fields.check_text(name, "key"),
            fields.read_count(document, "born", 0, fields.MAX_TIMESTAMP_MS),
        ),
        service=fields.read_text(document, "service"),
        address=fields.read_address(document, "address"),
        failure_domain=fields.read_text(document, "zone"),
        slots=max(1, fields.read_count(document, "slots", 1)),
        draining=DRAINING_BY_STATE[state],
        slow_start_remaining_s=fields.read_number(document, "warmup_left_s", 0.0),
        refresh=_find_refresh(document),
    )


def _find_refresh(document: dict[str, Any]) -> int | None:
    # `seq` counts the refreshes of this incarnation; an entry without it is as valid as others.
    return (
        fields.read_count(document, "seq", maximum=fields.MAX_SEQUENCE)
        if "seq" in document
        else None
    )


def _decode_version(document: dict[str, Any]) -> int:
    # The version is hexadecimal, not decimal.
    text = fields.read_text(document, "version")
    try:
        version = int(text, 16)
    except ValueError as error:
        raise exceptions.MalformedEntryError(f"version: not hexadecimal: {text}") from error
    if not 0 <= version <= MAX_VERSION:
        raise exceptions.MalformedEntryError(f"version: more than eight digits: {text}")
    return version


def _decode_service(document: dict[str, Any]) -> deployment.ServiceSpec:
    return deployment.ServiceSpec(
        name=fields.read_text(document, "name"),
        health_path=fields.read_text(document, "health_check"),
        connection_limit=max(1, fields.read_count(document, "max_conns", DEFAULT_CONNECTION_LIMIT)),
        keyed=document.get("sharded") is True,
        slow_start_s=fields.read_number(document, "slow_start_s", 0.0),
        cold_requests_per_s=fields.read_number(document, "warmup_per_s", 0.0),
    )


def _decode_route(document: dict[str, Any]) -> deployment.HostRoute:
    timeout_s = fields.read_number(document, "timeout_s", DEFAULT_TIMEOUT_S)
    return deployment.HostRoute(
        name=fields.read_text(document, "name"),
        host=fields.read_text(document, "host").lower(),
        path_prefix=fields.read_text(document, "path_prefix"),
        # `type` states whether requests may be retried, not what they contain.
        idempotent=document.get("type") in IDEMPOTENT_TYPES,
        timeout_s=timeout_s or DEFAULT_TIMEOUT_S,
        target_latency_s=fields.read_number(document, "target_latency_s", timeout_s),
        priority=fields.read_count(document, "priority", 0),
        max_attempts=max(1, fields.read_count(document, "max_attempts", DEFAULT_MAX_ATTEMPTS)),
        weighted_services=_decode_traffic_split(document),
    )


def _decode_traffic_split(document: dict[str, Any]) -> tuple[deployment.WeightedService, ...]:
    split = fields.read_list(document, "traffic_split")
    if not split:
        return (deployment.WeightedService(fields.read_text(document, "service"), 1.0),)
    return tuple(
        deployment.WeightedService(
            fields.read_text(part, "service"), fields.read_number(part, "weight")
        )
        for part in split
    )


def _decode_limits(document: dict[str, Any]) -> deployment.CallerLimits:
    defaults = deployment.CallerLimits()
    return deployment.CallerLimits(
        header_bytes=fields.read_count(document, "max_header_bytes", defaults.header_bytes),
        body_bytes=fields.read_count(document, "max_body_bytes", defaults.body_bytes),
        header_timeout_s=fields.read_number(
            document, "header_timeout_s", defaults.header_timeout_s
        ),
        idle_timeout_s=fields.read_number(document, "idle_timeout_s", defaults.idle_timeout_s),
    )
