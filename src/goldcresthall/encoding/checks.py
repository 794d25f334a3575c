"""Checks of values that settings and presets have in common."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import identity

HIGHEST_PORT = 65_535


def iterate_address_faults(path: str, address: identity.Address) -> Iterator[exceptions.Fault]:
    """Yield the faults of an address, which must be an IP number and a port."""
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        yield exceptions.Fault(f"{path}.host", repr(address.host), "an IP number")
    if not 1 <= address.port <= HIGHEST_PORT:
        expected = f"a port from 1 to {HIGHEST_PORT}"
        yield exceptions.Fault(f"{path}.port", str(address.port), expected)


def iterate_positive_faults(path: str, value: float) -> Iterator[exceptions.Fault]:
    """Yield a fault if a number is not above zero."""
    if value <= 0:
        yield exceptions.Fault(path, str(value), "a number above zero")
