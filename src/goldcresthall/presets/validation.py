"""Validation of a preset beyond the types of its fields."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from goldcresthall.encoding import checks
from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import preset


def validate_preset(checked: preset.Preset) -> tuple[exceptions.Fault, ...]:
    """Return all faults of a preset; empty if it may be published."""
    return tuple(_iterate_faults(checked))


def _iterate_faults(checked: preset.Preset) -> Iterator[exceptions.Fault]:
    if not checked.name:
        yield exceptions.Fault("$.name", '""', "a name")
    service_names = collections.Counter(service.name for service in checked.services)
    server_names = collections.Counter(
        server.name for service in checked.services for server in service.servers
    )
    for index, service in enumerate(checked.services):
        path = f"$.services[{index}]"
        if service_names[service.name] > 1:
            yield exceptions.Fault(f"{path}.name", service.name, "a unique name")
        yield from _iterate_service_faults(path, service)
        for number, server in enumerate(service.servers):
            server_path = f"{path}.servers[{number}]"
            yield from checks.iterate_address_faults(f"{server_path}.address", server.address)
            if server_names[server.name] > 1:
                field_path = f"{server_path}.name"
                yield exceptions.Fault(
                    field_path, server.name, "a name that is unique in the preset"
                )


def _iterate_service_faults(path: str, service: preset.ServicePolicy) -> Iterator[exceptions.Fault]:
    if not service.name or "/" in service.name:
        yield exceptions.Fault(f"{path}.name", repr(service.name), "a name without slashes")
    if not service.servers:
        yield exceptions.Fault(f"{path}.servers", "[]", "at least one server")
    positive = {
        "partitions": service.partitions,
        "slots_per_server": service.slots_per_server,
        "connections_per_server": service.connections_per_server,
        "queue_limit": service.queue_limit,
        "deadline_ms": service.deadline_ms,
    }
    for field, value in positive.items():
        yield from checks.iterate_positive_faults(f"{path}.{field}", value)
    if not 0 <= service.retry_budget <= 1:
        yield exceptions.Fault(
            f"{path}.retry_budget", str(service.retry_budget), "a fraction from 0 to 1"
        )
    for number, route in enumerate(service.routes):
        field_path = f"{path}.routes[{number}].deadline_ms"
        yield from checks.iterate_positive_faults(field_path, route.deadline_ms)
