"""Value checks shared by settings and presets."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import identity

MAX_PORT = 65_535


def iterate_address_faults(path: str, address: identity.Address) -> Iterator[exceptions.Fault]:
    """Yield the faults of an address, which must be an IP address and a port."""
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        yield exceptions.Fault(f"{path}.host", repr(address.host), "an IP address")
    if not 1 <= address.port <= MAX_PORT:
        expected = f"a port from 1 to {MAX_PORT}"
        yield exceptions.Fault(f"{path}.port", str(address.port), expected)


def iterate_positive_faults(path: str, value: float) -> Iterator[exceptions.Fault]:
    """Yield a fault if a number is not positive."""
    if value <= 0:
        yield exceptions.Fault(path, str(value), "a positive number")
