"""Targets of requests: any server of a service, or the owner of a key."""

from __future__ import annotations

import dataclasses
import zlib
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges

if TYPE_CHECKING:
    from goldcresthall.core import deployment


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTarget:
    """A request that only the owner of a key may run."""

    service: str
    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """A request that any server of a service may run."""

    service: str


Target = KeyTarget | PoolTarget


def create_target(
    configuration: deployment.Configuration, service: str, key: str, path: str
) -> Target:
    """Return the target of a request for a service.

    A request for a keyed service that has no valid key gets one from a hash of its path.
    """
    if service not in configuration.keyed_services:
        return PoolTarget(service)
    if key.isascii() and key.isdigit() and int(key) <= key_ranges.LAST_KEY:
        return KeyTarget(service, int(key))
    return KeyTarget(service, zlib.crc32(path.encode()) % key_ranges.KEY_COUNT)
