"""Estimates of each backend server's load and failure rate."""

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

FAILURE_EWMA_WEIGHT = 0.25
SERVICE_LOAD_EWMA_WEIGHT = 0.05
SERVER_LOAD_EWMA_WEIGHT = 0.4
REPORTED_LOAD_DECAY_S = 1.5
ASSUMED_OVERLOAD_PER_SLOT = 8.0
DEPRIORITIZATION_S = 1.0
# A body without end costs far more than a failure to connect.
ENDLESS_BODY_DEPRIORITIZATION_S = 5.0
DEPRIORITIZATION_BY_REFUSAL_S: Final = {
    outcomes.RefusalReason.CONNECT_FAILED: DEPRIORITIZATION_S,
    outcomes.RefusalReason.SERVER_DRAINING: DEPRIORITIZATION_S,
}
DEPRIORITIZATION_BY_FAILURE_S: Final = {
    outcomes.UnknownReason.ANSWER_TIMEOUT: DEPRIORITIZATION_S,
    outcomes.UnknownReason.ANSWER_TOO_LARGE: ENDLESS_BODY_DEPRIORITIZATION_S,
}
# No time was left, or the server left, once there was a connection.
WITHDRAWN_REASONS: Final = frozenset(
    {outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.RefusalReason.SERVER_DRAINING}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimates for one incarnation of a server.

    Attributes
    ----------
    failure_rate
        Moving average of the fraction of attempts that failed.
    reported_load
        Load from other instances, in requests, as last reported by the server, or as assumed
        when the server shed a request or reset a connection.
    reported_at_s
        Clock reading in seconds of that report or assumption.
    usual_load
        Moving average of the reported load from other instances; `None` before the first report.
    deprioritized_until_s
        Clock reading in seconds until which it is used only if no other server is usable.
    paused_until_s
        Clock reading in seconds until which the server wants no request from this instance.
    """

    outstanding: int = 0
    failure_rate: float = 0.0
    reported_load: float = 0.0
    reported_at_s: float = 0.0
    usual_load: float | None = None
    deprioritized_until_s: float = 0.0
    paused_until_s: float = 0.0

    def find_load(self, now_s: float) -> float:
        """Return the estimated number of requests at the server.

        The load that it reported for other instances decays linearly with the report's age.
        """
        return self.outstanding + self.reported_load * self.find_freshness(now_s)

    def find_freshness(self, now_s: float) -> float:
        """Return how much of the reported load still counts, from 1 to 0."""
        return max(0.0, 1.0 - (now_s - self.reported_at_s) / REPORTED_LOAD_DECAY_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySample:
    """Number of responses of one server and the sum of their work in seconds.

    The work is normalized by route: what the average request of the service would have taken.
    """

    server: deployment.ServerIncarnation
    count: int
    total_s: float


INITIAL_ESTIMATE = Estimate()


class Estimates(service.Service):
    """Estimates of all servers."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._lock = threading.Lock()
        self._estimates: dict[deployment.ServerIncarnation, Estimate] = {}
        self._service_loads: dict[str, float] = {}

    def start(self) -> None:
        """Look up the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    def find(self, server: deployment.RegisteredServer) -> Estimate:
        """Return a server's estimate."""
        return self._estimates.get(server.incarnation, INITIAL_ESTIMATE)

    def find_expected_load(self, server: deployment.RegisteredServer, now_s: float) -> float:
        """Return the expected number of requests at a server, also without a recent report.

        The usual load of the server, or of its service's servers, takes the place of a report
        that has aged. Otherwise the servers of which nothing is known would look empty, and the
        fastest ones would get the requests of all instances.
        """
        estimate = self.find(server)
        usual = estimate.usual_load
        if usual is None:
            usual = self._service_loads.get(server.service, 0.0) * server.slots
        return estimate.find_load(now_s) + usual * (1.0 - estimate.find_freshness(now_s))

    def start_attempt(self, server: deployment.RegisteredServer) -> None:
        """Count an attempt that is being sent to a server."""
        with self._lock:
            estimate = self.find(server)
            self._estimates[server.incarnation] = dataclasses.replace(
                estimate, outstanding=estimate.outstanding + 1
            )

    def finish_attempt(
        self, server: deployment.RegisteredServer, attempt: attempts.Attempt
    ) -> None:
        """Update a server's estimate from an attempt."""
        now_s = self._clock.read_s()
        with self._lock:
            estimate = self._estimates[server.incarnation]
            estimate = dataclasses.replace(estimate, outstanding=max(0, estimate.outstanding - 1))
            self._estimates[server.incarnation] = self._update(server, estimate, attempt, now_s)

    def cancel_attempt(self, server: deployment.RegisteredServer) -> None:
        """Count the end of a cancelled attempt, which does not change the estimates."""
        with self._lock:
            estimate = self._estimates[server.incarnation]
            self._estimates[server.incarnation] = dataclasses.replace(
                estimate, outstanding=max(0, estimate.outstanding - 1)
            )

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
        now_s: float,
    ) -> Estimate:
        if _was_withdrawn(attempt):
            return estimate
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
            if attempt.signals.load is not None:
                updated = self._update_usual_load(server, updated)
        return updated

    def _update_usual_load(
        self, server: deployment.RegisteredServer, estimate: Estimate
    ) -> Estimate:
        slots = max(1, server.slots)
        average = self._service_loads.get(server.service, 0.0)
        usual = average * slots if estimate.usual_load is None else estimate.usual_load
        usual += SERVER_LOAD_EWMA_WEIGHT * (estimate.reported_load - usual)
        average += SERVICE_LOAD_EWMA_WEIGHT * (estimate.reported_load / slots - average)
        self._service_loads[server.service] = average
        return dataclasses.replace(estimate, usual_load=usual)


def _was_withdrawn(attempt: attempts.Attempt) -> bool:
    """Return whether an attempt says nothing of the server, since it was ended before the send."""
    return (
        isinstance(attempt, attempts.AttemptNotRun)
        and attempt.step is not outcomes.Step.EXECUTE
        and attempt.reason in WITHDRAWN_REASONS
    )


def _has_failed(attempt: attempts.Attempt) -> bool:
    if isinstance(attempt, attempts.AttemptAnswered):
        return attempt.answer.is_server_error
    # A server that forgets idle connections runs requests as well as others.
    return attempt.reason is not outcomes.UnknownReason.CONNECTION_FORGOTTEN


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
