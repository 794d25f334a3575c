"""Checks of an instance's settings beyond the types of their fields."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.encoding import checks
from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import settings

RENEWALS_PER_LEASE = 2
MS_PER_S = 1_000


def check_settings(checked: settings.Settings) -> tuple[exceptions.Fault, ...]:
    """Return every fault of the settings; none if an instance may start with them."""
    return tuple(_iterate_faults(checked))


def _iterate_faults(checked: settings.Settings) -> Iterator[exceptions.Fault]:
    for field in ("name", "failure_domain"):
        if not getattr(checked, field):
            yield exceptions.Fault(f"$.{field}", '""', "a name")
    for field in ("callers", "peers", "admin"):
        path = f"$.listen.{field}"
        yield from checks.iterate_address_faults(path, getattr(checked.listen, field))
    for field in ("log", "instance_list"):
        path = f"$.platform.{field}"
        yield from checks.iterate_address_faults(path, getattr(checked.platform, field))
    for section in ("platform", "leases", "peers", "snapshots", "callers", "intents"):
        yield from _iterate_number_faults(f"$.{section}", getattr(checked, section))
    for index, seed in enumerate(checked.peers.seeds):
        yield from checks.iterate_address_faults(f"$.peers.seeds[{index}]", seed)
    yield from _iterate_lease_faults(checked.leases)


def _iterate_number_faults(path: str, section: object) -> Iterator[exceptions.Fault]:
    for field in dataclasses.fields(section):  # type: ignore[arg-type]
        value = getattr(section, field.name)
        if isinstance(value, int | float):
            yield from checks.iterate_positive_faults(f"{path}.{field.name}", value)


def _iterate_lease_faults(leases: settings.LeaseSettings) -> Iterator[exceptions.Fault]:
    if leases.renew_interval_ms * RENEWALS_PER_LEASE > leases.duration_ms:
        expected = f"at most half of duration_ms ({leases.duration_ms})"
        found = str(leases.renew_interval_ms)
        yield exceptions.Fault("$.leases.renew_interval_ms", found, expected)
    if leases.authority_s * MS_PER_S <= leases.duration_ms:
        expected = f"longer than duration_ms ({leases.duration_ms})"
        yield exceptions.Fault("$.leases.authority_s", str(leases.authority_s), expected)
