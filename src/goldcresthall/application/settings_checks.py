"""Checks of an instance's settings beyond the types of their fields."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.encoding import checks
from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import settings

MIN_RENEWALS_PER_LEASE = 2
MS_PER_S = 1_000


def check_settings(instance_settings: settings.Settings) -> tuple[exceptions.Fault, ...]:
    """Return all faults of the settings; empty if they are valid."""
    return tuple(_iterate_faults(instance_settings))


def _iterate_faults(instance_settings: settings.Settings) -> Iterator[exceptions.Fault]:
    for field in ("name", "failure_domain"):
        if not getattr(instance_settings, field):
            yield exceptions.Fault(f"$.{field}", '""', "a name")
    for field in ("callers", "peers", "admin"):
        path = f"$.listen.{field}"
        yield from checks.iterate_address_faults(path, getattr(instance_settings.listen, field))
    for field in ("log", "instance_list"):
        path = f"$.platform.{field}"
        yield from checks.iterate_address_faults(path, getattr(instance_settings.platform, field))
    for section in ("platform", "leases", "peers", "snapshots", "callers", "intents"):
        yield from _iterate_number_faults(f"$.{section}", getattr(instance_settings, section))
    for index, seed in enumerate(instance_settings.peers.seeds):
        yield from checks.iterate_address_faults(f"$.peers.seeds[{index}]", seed)
    yield from _iterate_lease_faults(instance_settings.leases)


def _iterate_number_faults(path: str, section: object) -> Iterator[exceptions.Fault]:
    for field in dataclasses.fields(section):  # type: ignore[arg-type]
        value = getattr(section, field.name)
        if isinstance(value, int | float):
            yield from checks.iterate_positive_faults(f"{path}.{field.name}", value)


def _iterate_lease_faults(leases: settings.LeaseSettings) -> Iterator[exceptions.Fault]:
    if leases.renew_interval_ms * MIN_RENEWALS_PER_LEASE > leases.duration_ms:
        expected = f"at most half of duration_ms ({leases.duration_ms})"
        found = str(leases.renew_interval_ms)
        yield exceptions.Fault("$.leases.renew_interval_ms", found, expected)
    if leases.authority_s * MS_PER_S <= leases.duration_ms:
        expected = f"longer than duration_ms ({leases.duration_ms})"
        yield exceptions.Fault("$.leases.authority_s", str(leases.authority_s), expected)
