"""Matching of requests to routes by host and path prefix."""

from __future__ import annotations

import functools
import itertools
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.core import deployment


class RouteTable:
    """The routes of one configuration, found by host and longest path prefix."""

    def __init__(self, routes: tuple[deployment.HostRoute, ...]) -> None:
        self._by_host: dict[str, tuple[deployment.HostRoute, ...]] = {}
        by_length = sorted(routes, key=lambda route: -len(route.path_prefix))
        for host, group in itertools.groupby(
            sorted(by_length, key=lambda route: route.host), key=lambda route: route.host
        ):
            self._by_host[host] = tuple(group)

    def match(self, host: str, path: str) -> deployment.HostRoute | None:
        """Return the route of a request, or none."""
        for route in self._by_host.get(_strip_port(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class SplitRotation:
    """Deals the requests of one split to its parts in proportion to their weights.

    Each turn every part gains its weight and the richest one pays the sum of all,
    which spreads the parts evenly over any stretch of turns.
    """

    def __init__(
        self, weighted_services: tuple[deployment.WeightedService, ...], generator: random.Random
    ) -> None:
        self._parts = weighted_services
        self._total = sum(part.weight for part in weighted_services)
        self._lock = threading.Lock()
        self._credits = [generator.uniform(0, part.weight) for part in weighted_services]

    def take(self) -> str:
        """Return the service that takes the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        with self._lock:
            for index, part in enumerate(self._parts):
                self._credits[index] += part.weight
            richest = max(range(len(self._parts)), key=self._credits.__getitem__)
            self._credits[richest] -= self._total
            return self._parts[richest].service


class SplitRotations:
    """The rotations of all splits in use; a changed split starts a new one."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._rotations: dict[str, tuple[tuple[deployment.WeightedService, ...], SplitRotation]] = (
            {}
        )

    def take(self, route: deployment.HostRoute) -> str:
        """Return the service that takes the next request of a route."""
        known = self._rotations.get(route.name)
        if known is None or known[0] != route.weighted_services:
            known = (
                route.weighted_services,
                SplitRotation(route.weighted_services, self._generator),
            )
            self._rotations[route.name] = known
        return known[1].take()


@functools.lru_cache(maxsize=4096)
def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
