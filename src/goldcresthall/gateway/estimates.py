"""What this instance has seen of each backend server: times, load and failures."""

from __future__ import annotations

import dataclasses
import functools
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

PRIOR_TIME_S = 0.2
TIME_WEIGHT = 0.15
FAILURE_WEIGHT = 0.25
LOAD_LIFETIME_S = 1.5
CROWDED_PER_SLOT = 8.0
SHUN_S = 1.0
FIRST_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What is known of one life of a server.

    Attributes
    ----------
    service_s
        Smoothed time of an answer without its wait in the server's queue.
    failure_rate
        Smoothed fraction of tries that failed.
    reported_load
        Requests of others that it had when it last told.
    reported_at_s
        Reading of the clock then.
    shunned_until_s
        Reading of the clock until which it gets work only if nobody else can.
    """

    outstanding: int = 0
    service_s: float = PRIOR_TIME_S
    samples: int = 0
    failure_rate: float = 0.0
    reported_load: float = 0.0
    reported_at_s: float = 0.0
    shunned_until_s: float = 0.0

    def find_load(self, now_s: float) -> float:
        """Return the requests at the server; what it told of others' counts by its age."""
        freshness = max(0.0, 1.0 - (now_s - self.reported_at_s) / LOAD_LIFETIME_S)
        return self.outstanding + self.reported_load * freshness


@dataclasses.dataclass(frozen=True, slots=True)
class TimeSample:
    """Answers of one server and the sum of their times."""

    server: deployment.ServerIncarnation
    count: int
    total_s: float


NOTHING_KNOWN = Estimate()


class Estimates(service.Service):
    """Estimates of all servers, and time samples for whoever places keys."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._lock = threading.Lock()
        self._ended = threading.Condition(self._lock)
        self._known: dict[deployment.ServerIncarnation, Estimate] = {}
        self._samples: dict[deployment.ServerIncarnation, TimeSample] = {}
        self._typical_s: dict[str, float] = {}

    def start(self) -> None:
        """Find the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    def find(self, server: deployment.RegisteredServer) -> Estimate:
        """Return what is known of a server; a new one is taken as typical of its service."""
        known = self._known.get(server.incarnation)
        if known is not None:
            return known
        typical_s = self._typical_s.get(server.service, PRIOR_TIME_S)
        return dataclasses.replace(NOTHING_KNOWN, service_s=typical_s)

    def begin(self, server: deployment.RegisteredServer) -> None:
        """Count a request that is sent to a server."""
        with self._lock:
            known = self.find(server)
            self._known[server.incarnation] = dataclasses.replace(
                known, outstanding=known.outstanding + 1
            )

    def finish(
        self, server: deployment.RegisteredServer, attempt: attempts.Attempt, duration_s: float
    ) -> None:
        """Learn from the end of a try that took so many seconds."""
        now_s = self._clock.read_s()
        with self._lock:
            known = self._known[server.incarnation]
            known = dataclasses.replace(known, outstanding=max(0, known.outstanding - 1))
            self._known[server.incarnation] = self._learn(server, known, attempt, duration_s, now_s)
            self._ended.notify_all()

    def finish_cancelled(self, server: deployment.RegisteredServer) -> None:
        """Count the end of a try that tells nothing of the server."""
        with self._lock:
            known = self._known[server.incarnation]
            self._known[server.incarnation] = dataclasses.replace(
                known, outstanding=max(0, known.outstanding - 1)
            )
            self._ended.notify_all()

    def await_end(self, timeout_s: float) -> None:
        """Wait until a try ends, up to `timeout_s` seconds."""
        with self._ended:
            self._ended.wait(timeout_s)

    def take_samples(self) -> tuple[TimeSample, ...]:
        """Return the time samples since the last call."""
        with self._lock:
            taken = tuple(self._samples.values())
            self._samples = {}
        return taken

    def retain(self, incarnations: frozenset[deployment.ServerIncarnation]) -> None:
        """Forget the servers that are gone."""
        with self._lock:
            self._known = {
                incarnation: known
                for incarnation, known in self._known.items()
                if incarnation in incarnations or known.outstanding
            }

    def _learn(
        self,
        server: deployment.RegisteredServer,
        known: Estimate,
        attempt: attempts.Attempt,
        duration_s: float,
        now_s: float,
    ) -> Estimate:
        failed = _has_failed(attempt)
        rate = known.failure_rate + FAILURE_WEIGHT * (float(failed) - known.failure_rate)
        learned = dataclasses.replace(known, failure_rate=rate)
        if _is_unreachable(attempt):
            learned = dataclasses.replace(learned, shunned_until_s=now_s + SHUN_S)
        load = _find_load(attempt, server)
        if load is not None:
            others = max(0.0, load - known.outstanding - 1)
            learned = dataclasses.replace(learned, reported_load=others, reported_at_s=now_s)
        if failed:
            return learned
        waiting = max(0.0, (load or 0.0) - server.slots)
        return self._learn_time(server, learned, duration_s / (1.0 + waiting / server.slots))

    def _learn_time(
        self, server: deployment.RegisteredServer, known: Estimate, service_s: float
    ) -> Estimate:
        sample = self._samples.get(server.incarnation, TimeSample(server.incarnation, 0, 0.0))
        self._samples[server.incarnation] = TimeSample(
            server.incarnation, sample.count + 1, sample.total_s + service_s
        )
        typical_s = self._typical_s.get(server.service, service_s)
        self._typical_s[server.service] = typical_s + TIME_WEIGHT * (service_s - typical_s)
        smoothed_s = known.service_s + TIME_WEIGHT * (service_s - known.service_s)
        return dataclasses.replace(known, service_s=smoothed_s, samples=known.samples + 1)


def _has_failed(attempt: attempts.Attempt) -> bool:
    if isinstance(attempt, attempts.AttemptAnswered):
        return attempt.answer.status >= FIRST_SERVER_ERROR
    return True


@functools.singledispatch
def _find_load(attempt: attempts.Attempt, server: deployment.RegisteredServer) -> float | None:
    """Return the requests at a server as far as the end of a try tells, or none."""
    raise NotImplementedError(type(attempt).__name__)


@_find_load.register
def _(attempt: attempts.AttemptAnswered, server: deployment.RegisteredServer) -> float | None:
    return attempt.signals.load


@_find_load.register
def _(attempt: attempts.AttemptNotRun, server: deployment.RegisteredServer) -> float | None:
    if attempt.signals.load is not None:
        return attempt.signals.load
    is_shed = attempt.reason is outcomes.RefusalReason.SERVER_SHED
    return CROWDED_PER_SLOT * server.slots if is_shed else None


@_find_load.register
def _(attempt: attempts.AttemptUnknown, server: deployment.RegisteredServer) -> float | None:
    # Servers that are full may reset a connection instead of refusing the request.
    is_reset = attempt.reason is outcomes.UnknownReason.CONNECTION_LOST
    return CROWDED_PER_SLOT * server.slots if is_reset else None


def _is_unreachable(attempt: attempts.Attempt) -> bool:
    if isinstance(attempt, attempts.AttemptNotRun):
        return attempt.reason in {
            outcomes.RefusalReason.CONNECT_FAILED,
            outcomes.RefusalReason.SERVER_DRAINING,
        }
    return (
        isinstance(attempt, attempts.AttemptUnknown)
        and attempt.reason is outcomes.UnknownReason.ANSWER_TIMEOUT
    )
