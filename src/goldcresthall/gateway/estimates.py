"""Estimates of each backend server's service time, load and failure rate."""

from __future__ import annotations

import dataclasses
import functools
import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

DEFAULT_SERVICE_TIME_S = 0.2
SERVICE_TIME_EWMA_WEIGHT = 0.15
FAILURE_EWMA_WEIGHT = 0.25
REPORTED_LOAD_DECAY_S = 1.5
ASSUMED_OVERLOAD_PER_SLOT = 8.0
DEPRIORITIZATION_S = 1.0
# A body without end costs far more than a failure to connect.
ENDLESS_BODY_DEPRIORITIZATION_S = 5.0
MIN_SERVER_ERROR_STATUS = 500
DEPRIORITIZATION_BY_REFUSAL_S: Final = {
    outcomes.RefusalReason.CONNECT_FAILED: DEPRIORITIZATION_S,
    outcomes.RefusalReason.SERVER_DRAINING: DEPRIORITIZATION_S,
}
DEPRIORITIZATION_BY_FAILURE_S: Final = {
    outcomes.UnknownReason.ANSWER_TIMEOUT: DEPRIORITIZATION_S,
    outcomes.UnknownReason.ANSWER_TOO_LARGE: ENDLESS_BODY_DEPRIORITIZATION_S,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimates for one incarnation of a server.

    Attributes
    ----------
    service_time_s
        Moving average of the response time in seconds, without queueing at the server.
    failure_rate
        Moving average of the fraction of attempts that failed.
    reported_load
        Load from other instances, in requests, as last reported by the server, or as assumed
        when the server shed a request or reset a connection.
    reported_at_s
        Clock reading in seconds of that report or assumption.
    deprioritized_until_s
        Clock reading in seconds until which it is used only if no other server is usable.
    paused_until_s
        Clock reading in seconds until which the server wants no request from this instance.
    """

    outstanding: int = 0
    service_time_s: float = DEFAULT_SERVICE_TIME_S
    samples: int = 0
    failure_rate: float = 0.0
    reported_load: float = 0.0
    reported_at_s: float = 0.0
    deprioritized_until_s: float = 0.0
    paused_until_s: float = 0.0

    def find_load(self, now_s: float) -> float:
        """Return the estimated number of requests at the server.

        The load that it reported for other instances decays linearly with the report's age.
        """
        freshness = max(0.0, 1.0 - (now_s - self.reported_at_s) / REPORTED_LOAD_DECAY_S)
        return self.outstanding + self.reported_load * freshness

    def find_response_time_s(self, load: float, slots: int) -> float:
        """Return the expected response time in seconds of a request that joins `load` others."""
        queued = max(0.0, load + 1.0 - slots)
        return self.service_time_s * (1.0 + queued / slots)


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySample:
    """Number of responses of one server and the sum of their service times in seconds."""

    server: deployment.ServerIncarnation
    count: int
    total_s: float


INITIAL_ESTIMATE = Estimate()


class Estimates(service.Service):
    """Estimates of all servers, and latency samples for the placement of keys."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._lock = threading.Lock()
        self._estimates: dict[deployment.ServerIncarnation, Estimate] = {}
        self._samples: dict[deployment.ServerIncarnation, LatencySample] = {}
        self._service_average_s: dict[str, float] = {}

    def start(self) -> None:
        """Look up the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    def find(self, server: deployment.RegisteredServer) -> Estimate:
        """Return a server's estimate; a new server gets the average time of its service."""
        estimate = self._estimates.get(server.incarnation)
        if estimate is not None:
            return estimate
        average_s = self._service_average_s.get(server.service, DEFAULT_SERVICE_TIME_S)
        return dataclasses.replace(INITIAL_ESTIMATE, service_time_s=average_s)

    def start_attempt(self, server: deployment.RegisteredServer) -> None:
        """Count an attempt that is being sent to a server."""
        with self._lock:
            estimate = self.find(server)
            self._estimates[server.incarnation] = dataclasses.replace(
                estimate, outstanding=estimate.outstanding + 1
            )

    def finish_attempt(
        self, server: deployment.RegisteredServer, attempt: attempts.Attempt, duration_s: float
    ) -> None:
        """Update a server's estimate from an attempt that took `duration_s` seconds."""
        now_s = self._clock.read_s()
        with self._lock:
            estimate = self._estimates[server.incarnation]
            estimate = dataclasses.replace(estimate, outstanding=max(0, estimate.outstanding - 1))
            self._estimates[server.incarnation] = self._update(
                server, estimate, attempt, duration_s, now_s
            )

    def cancel_attempt(self, server: deployment.RegisteredServer) -> None:
        """Count the end of a cancelled attempt, which does not change the estimates."""
        with self._lock:
            estimate = self._estimates[server.incarnation]
            self._estimates[server.incarnation] = dataclasses.replace(
                estimate, outstanding=max(0, estimate.outstanding - 1)
            )

    def take_latency_samples(self) -> tuple[LatencySample, ...]:
        """Return the latency samples collected since the last call."""
        with self._lock:
            taken = tuple(self._samples.values())
            self._samples = {}
        return taken

    def retain(self, incarnations: frozenset[deployment.ServerIncarnation]) -> None:
        """Discard the estimates of all other servers, unless in use or paused."""
        now_s = self._clock.read_s()
        with self._lock:
            self._estimates = {
                incarnation: estimate
                for incarnation, estimate in self._estimates.items()
                if incarnation in incarnations
                or estimate.outstanding
                or estimate.paused_until_s > now_s
            }

    def _update(
        self,
        server: deployment.RegisteredServer,
        estimate: Estimate,
        attempt: attempts.Attempt,
        duration_s: float,
        now_s: float,
    ) -> Estimate:
        failed = _has_failed(attempt)
        rate = estimate.failure_rate + FAILURE_EWMA_WEIGHT * (float(failed) - estimate.failure_rate)
        updated = dataclasses.replace(estimate, failure_rate=rate)
        avoided_s = _find_deprioritization_s(attempt)
        if avoided_s:
            until_s = max(updated.deprioritized_until_s, now_s + avoided_s)
            updated = dataclasses.replace(updated, deprioritized_until_s=until_s)
        if attempt.signals.pause_s:
            until_s = max(updated.paused_until_s, now_s + attempt.signals.pause_s)
            updated = dataclasses.replace(updated, paused_until_s=until_s)
        load = _find_load(attempt, server)
        if load is not None:
            external_load = max(0.0, load - estimate.outstanding - 1)
            updated = dataclasses.replace(updated, reported_load=external_load, reported_at_s=now_s)
        if failed:
            return updated
        queued = max(0.0, (load or 0.0) - server.slots)
        return self._update_service_time(
            server, updated, duration_s / (1.0 + queued / server.slots)
        )

    def _update_service_time(
        self, server: deployment.RegisteredServer, estimate: Estimate, service_time_s: float
    ) -> Estimate:
        sample = self._samples.get(server.incarnation, LatencySample(server.incarnation, 0, 0.0))
        self._samples[server.incarnation] = LatencySample(
            server.incarnation, sample.count + 1, sample.total_s + service_time_s
        )
        average_s = self._service_average_s.get(server.service, service_time_s)
        self._service_average_s[server.service] = average_s + SERVICE_TIME_EWMA_WEIGHT * (
            service_time_s - average_s
        )
        smoothed_s = estimate.service_time_s + SERVICE_TIME_EWMA_WEIGHT * (
            service_time_s - estimate.service_time_s
        )
        return dataclasses.replace(
            estimate, service_time_s=smoothed_s, samples=estimate.samples + 1
        )


def _has_failed(attempt: attempts.Attempt) -> bool:
    if isinstance(attempt, attempts.AttemptAnswered):
        return attempt.answer.status >= MIN_SERVER_ERROR_STATUS
    return True


@functools.singledispatch
def _find_load(attempt: attempts.Attempt, server: deployment.RegisteredServer) -> float | None:
    """Return the number of requests at a server that an attempt indicates, or `None`."""
    raise NotImplementedError(type(attempt).__name__)


@_find_load.register
def _(attempt: attempts.AttemptAnswered, server: deployment.RegisteredServer) -> float | None:
    return attempt.signals.load


@_find_load.register
def _(attempt: attempts.AttemptNotRun, server: deployment.RegisteredServer) -> float | None:
    if attempt.signals.load is not None:
        return attempt.signals.load
    is_shed = attempt.reason is outcomes.RefusalReason.SERVER_SHED
    return ASSUMED_OVERLOAD_PER_SLOT * server.slots if is_shed else None


@_find_load.register
def _(attempt: attempts.AttemptUnknown, server: deployment.RegisteredServer) -> float | None:
    # An overloaded server may reset the connection instead of refusing the request.
    is_reset = attempt.reason is outcomes.UnknownReason.CONNECTION_LOST
    return ASSUMED_OVERLOAD_PER_SLOT * server.slots if is_reset else None


@functools.singledispatch
def _find_deprioritization_s(attempt: attempts.Attempt) -> float:
    """Return for how many seconds to avoid the server after an attempt; 0 for not at all."""
    raise NotImplementedError(type(attempt).__name__)


@_find_deprioritization_s.register
def _(attempt: attempts.AttemptAnswered) -> float:
    return 0.0


@_find_deprioritization_s.register
def _(attempt: attempts.AttemptNotRun) -> float:
    return DEPRIORITIZATION_BY_REFUSAL_S.get(attempt.reason, 0.0)


@_find_deprioritization_s.register
def _(attempt: attempts.AttemptUnknown) -> float:
    return DEPRIORITIZATION_BY_FAILURE_S.get(attempt.reason, 0.0)
