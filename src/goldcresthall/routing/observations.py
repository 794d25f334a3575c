"""The observations service: passive health checks and load of each backend server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.log_service import instance_list
from goldcresthall.observability import metrics
from goldcresthall.routing import server_stats

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.core import preset
    from goldcresthall.kernel import kernel

NO_SERVERS: Final[frozenset[str]] = frozenset()
FAILURES_TO_EJECT = 5
MAX_EJECTED_FRACTION = 0.5


class Observations(service.Service):
    """Latency, failures, load and draining of each backend server, as seen by this instance.

    Consecutive failures eject a server (outlier detection). After the ejection time
    the server is half-open: it gets one request, and a response to it ends the
    ejection.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._lock = threading.Lock()
        self._stats: dict[str, server_stats.ServerStats] = {}
        self._last_attempt_number = 0
        self._started_at_s: float | None = None
        self._tripped: frozenset[str] = NO_SERVERS
        self._reported_draining: frozenset[str] = NO_SERVERS
        self._leaving = NO_SERVERS
        self._leaving_revision = -1

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> Observations:
        """Return the observations service of an instance."""
        return cls(service_kernel)

    def start(self) -> None:
        """Look up the clock, the metrics and the instance list."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)

    def stop(self) -> None:
        """Do nothing; observations are kept in memory only."""

    def list_draining(self) -> frozenset[str]:
        """Return the servers that are draining by the instance list or by their own report."""
        leaving = self._list_leaving()
        return leaving | self._reported_draining if self._reported_draining else leaving

    def list_blocked(self) -> frozenset[str]:
        """Return the servers that get no requests: ejected, or half-open with one in flight."""
        if not self._tripped:
            return NO_SERVERS
        return frozenset(
            name for name, observation in self._observe_tripped() if _is_blocked(observation)
        )

    def list_half_open(self) -> frozenset[str]:
        """Return the half-open servers that have no request in flight."""
        if not self._tripped:
            return NO_SERVERS
        return frozenset(
            name
            for name, observation in self._observe_tripped()
            if observation.half_open and not observation.outstanding
        )

    def observe(self, server: str) -> server_stats.ServerObservation:
        """Return the present observation of a server."""
        now_s = self._clock.read_s()
        with self._lock:
            return self._find_stats(server, now_s).describe(now_s)

    def find_min_average_s(self, servers: tuple[str, ...]) -> float:
        """Return the lowest average response time among servers, in seconds."""
        now_s = self._clock.read_s()
        with self._lock:
            return min(self._find_stats(name, now_s).find_average_s(now_s) for name in servers)

    def find_last_response_s(self, server: str) -> float:
        """Return the clock reading, in seconds, of the last response of a server."""
        with self._lock:
            return self._find_stats(server, self._clock.read_s()).last_response_at_s

    def start_attempt(
        self, server: str, request_class: preset.RequestClass
    ) -> server_stats.InFlightAttempt:
        """Record the start of an attempt."""
        now_s = self._clock.read_s()
        with self._lock:
            self._last_attempt_number += 1
            in_flight = server_stats.InFlightAttempt(
                self._last_attempt_number, server, now_s, request_class
            )
            self._find_stats(server, now_s).in_flight_attempts[in_flight.number] = in_flight
            return in_flight

    def finish_attempt(
        self,
        in_flight: server_stats.InFlightAttempt,
        policy: preset.ServicePolicy,
        attempt: attempts.Attempt,
    ) -> None:
        """Record the result of an attempt; eject its server if that is due."""
        now_s = self._clock.read_s()
        with self._lock:
            stats = self._find_stats(in_flight.server, now_s)
            stats.in_flight_attempts.pop(in_flight.number, None)
            server_stats.record_attempt(attempt, stats, in_flight, now_s)
            self._eject_if_due(stats, policy, in_flight.server, now_s)
            self._update_server_sets(in_flight.server, stats)

    def record_signals(self, server: str, signals: attempts.ServerSignals) -> None:
        """Record the signals that a server sent in response to a probe."""
        now_s = self._clock.read_s()
        with self._lock:
            stats = self._find_stats(server, now_s)
            stats.record_signals(signals, now_s)
            self._update_server_sets(server, stats)

    def track_servers(self, servers: frozenset[str]) -> None:
        """Observe exactly the given servers; discard the statistics of all others."""
        now_s = self._clock.read_s()
        with self._lock:
            for name in servers:
                self._find_stats(name, now_s)
            for name in set(self._stats) - servers:
                del self._stats[name]
            self._tripped &= servers
            self._reported_draining &= servers

    def count_ejected(self) -> int:
        """Return the number of ejected servers."""
        now_s = self._clock.read_s()
        with self._lock:
            return sum(stats.describe(now_s).ejected for stats in self._stats.values())

    def count_draining(self) -> int:
        """Return the number of servers that report that they are draining."""
        with self._lock:
            return sum(stats.draining for stats in self._stats.values())

    def _find_stats(self, server: str, now_s: float) -> server_stats.ServerStats:
        stats = self._stats.get(server)
        if stats is None:
            stats = self._stats[server] = server_stats.ServerStats(self._find_start_s(now_s))
        return stats

    def _find_start_s(self, now_s: float) -> float:
        """Return the clock reading at which the slow start of a new server begins.

        Servers that were in the preset when this instance started are assumed to be
        warm, so their slow start lies in the past.
        """
        if self._started_at_s is None:
            self._started_at_s = now_s
        is_new = now_s - self._started_at_s >= server_stats.SLOW_START_S
        return now_s if is_new else now_s - server_stats.SLOW_START_S

    def _observe_tripped(self) -> list[tuple[str, server_stats.ServerObservation]]:
        now_s = self._clock.read_s()
        with self._lock:
            return [(name, self._find_stats(name, now_s).describe(now_s)) for name in self._tripped]

    def _update_server_sets(self, server: str, stats: server_stats.ServerStats) -> None:
        """Update the sets of draining and of ejected or half-open servers.

        Both are usually empty, which keeps the check on the request path cheap.
        """
        if stats.draining != (server in self._reported_draining):
            self._reported_draining ^= {server}
        if (stats.ejected_until_s is not None) != (server in self._tripped):
            self._tripped ^= {server}

    def _eject_if_due(
        self,
        stats: server_stats.ServerStats,
        policy: preset.ServicePolicy,
        server: str,
        now_s: float,
    ) -> None:
        if stats.failures < FAILURES_TO_EJECT and not _failed_while_half_open(stats, now_s):
            return
        if self._may_eject(policy, server, now_s):
            stats.eject(now_s)
            stats.failures = 0
            self._metrics.count_ejection(policy.name)

    def _may_eject(self, policy: preset.ServicePolicy, server: str, now_s: float) -> bool:
        others = [
            self._find_stats(other.name, now_s) for other in policy.servers if other.name != server
        ]
        ejected = sum(stats.ejected_until_s is not None for stats in others)
        return ejected + 1 <= MAX_EJECTED_FRACTION * len(policy.servers)

    def _list_leaving(self) -> frozenset[str]:
        listing = self._list.listing
        if listing.revision != self._leaving_revision:
            self._leaving = listing.leaving_servers
            self._leaving_revision = listing.revision
        return self._leaving


def _is_blocked(observation: server_stats.ServerObservation) -> bool:
    return observation.ejected or (observation.half_open and observation.outstanding > 0)


def _failed_while_half_open(stats: server_stats.ServerStats, now_s: float) -> bool:
    until_s = stats.ejected_until_s
    return until_s is not None and now_s >= until_s and stats.failures > 0
