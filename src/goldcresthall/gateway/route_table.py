"""Matching of requests to routes by host and path prefix, and weighted traffic splits."""

from __future__ import annotations

import functools
import itertools
import threading
from typing import TYPE_CHECKING

from goldcresthall.admission import queue_limits

if TYPE_CHECKING:
    import random

    from goldcresthall.core import deployment


class RouteTable:
    """The routes of one configuration, indexed by host; the longest path prefix wins."""

    def __init__(self, routes: tuple[deployment.HostRoute, ...]) -> None:
        self._by_host: dict[str, tuple[deployment.HostRoute, ...]] = {}
        by_length = sorted(routes, key=lambda route: -len(route.path_prefix))
        for host, group in itertools.groupby(
            sorted(by_length, key=lambda route: route.host), key=lambda route: route.host
        ):
            self._by_host[host] = tuple(group)
        self._queue_limits = queue_limits.find_queue_limits(routes)

    def match(self, host: str, path: str) -> deployment.HostRoute | None:
        """Return the route of a request, or `None` if no route matches."""
        for route in self._by_host.get(_strip_port(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_queue_limit(self, route: deployment.HostRoute) -> queue_limits.QueueLimit:
        """Return how far the requests of a route may fill the queues of servers."""
        return self._queue_limits.get(route.name, queue_limits.NO_LIMIT)


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of one traffic split.

    For each request, every service's credit grows by its weight; the service with the most
    credit is chosen and its credit drops by the sum of all weights. This interleaves the
    services evenly. Initial credits are random, so that instances start at different
    positions.
    """

    def __init__(
        self, weighted_services: tuple[deployment.WeightedService, ...], generator: random.Random
    ) -> None:
        self._weighted_services = weighted_services
        self._total = sum(weighted_service.weight for weighted_service in weighted_services)
        self._lock = threading.Lock()
        self._credits = [
            generator.uniform(0, weighted_service.weight) for weighted_service in weighted_services
        ]

    def choose_service(self) -> str:
        """Return the service for the next request."""
        if len(self._weighted_services) == 1:
            return self._weighted_services[0].service
        with self._lock:
            for index, weighted_service in enumerate(self._weighted_services):
                self._credits[index] += weighted_service.weight
            chosen = max(range(len(self._weighted_services)), key=self._credits.__getitem__)
            self._credits[chosen] -= self._total
            return self._weighted_services[chosen].service


class WeightedRoundRobins:
    """The round robins of all routes; a change of a route's split starts a new one."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._round_robins: dict[
            str, tuple[tuple[deployment.WeightedService, ...], WeightedRoundRobin]
        ] = {}

    def choose_service(self, route: deployment.HostRoute) -> str:
        """Return the service for the next request of a route."""
        entry = self._round_robins.get(route.name)
        if entry is None or entry[0] != route.weighted_services:
            entry = (
                route.weighted_services,
                WeightedRoundRobin(route.weighted_services, self._generator),
            )
            self._round_robins[route.name] = entry
        return entry[1].choose_service()


@functools.lru_cache(maxsize=4096)
def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
