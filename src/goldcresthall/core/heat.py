"""Request rates of keys and partitions ("heat"), as counted by router instances."""

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
        Upper bound of the overestimate in `rate_per_s`.
    """

    key: str
    partition: int
    rate_per_s: float
    error_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceHeat:
    """Request rates of one keyed service.

    Attributes
    ----------
    rate_per_s
        Requests per second of the whole service.
    partitions
        The partitions with the highest rates; the others share the remaining rate evenly.
    keys
        The keys with the highest rates.
    """

    service: str
    rate_per_s: float
    partitions: tuple[PartitionHeat, ...]
    keys: tuple[KeyHeat, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HeatReport:
    """Request rates counted by one instance."""

    services: tuple[ServiceHeat, ...] = ()

    def find_service(self, name: str) -> ServiceHeat | None:
        """Return the rates of a service, or `None` if it had no requests."""
        for service in self.services:
            if service.service == name:
                return service
        return None
