"""How much work keys and partitions draw, as router instances count it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionHeat:
    """Requests per second of one partition."""

    number: int
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHeat:
    """Requests per second of one hot key.

    Attributes
    ----------
    error_per_s
        The most by which `rate_per_s` may be too high.
    """

    key: str
    partition: int
    rate_per_s: float
    error_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceHeat:
    """What one keyed service draws.

    Attributes
    ----------
    rate_per_s
        Requests per second of the whole service.
    partitions
        The partitions that draw most; the others share the rest evenly.
    keys
        The keys that draw most.
    """

    service: str
    rate_per_s: float
    partitions: tuple[PartitionHeat, ...]
    keys: tuple[KeyHeat, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HeatReport:
    """What one instance counted."""

    services: tuple[ServiceHeat, ...] = ()

    def find_service(self, name: str) -> ServiceHeat | None:
        """Return the heat of a service, or none if it drew nothing."""
        for service in self.services:
            if service.service == name:
                return service
        return None
