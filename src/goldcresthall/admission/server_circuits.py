"""Servers that lost requests without an answer, as seen here and as other instances report.

Load condition: a full server drops requests without an answer, or a server falls silent. One
instance sends a server a request every few seconds, so it learns too late by itself.
"""

from __future__ import annotations

import dataclasses
import math
import random
import threading
from typing import TYPE_CHECKING
from typing import TypeVar

import prometheus_client
from absl import logging

from goldcresthall.admission import probe_schedule
from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.load import server_reports
from goldcresthall.load import work_estimates
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

OPEN_S = 1.0
# A single instance may have a broken link to a server that is well.
MIN_REPORTERS = 2
# One connect may time out although the server is well; 0.3 s are soon over on a busy machine.
MIN_FAILED_CONNECTS = 2
# A server that answered this instance within this time is reachable, whatever others report.
ANSWER_TRUST_S = 3.0
# A lost owner's keys are free this long after its last grant.
LOST_OWNER_S = 3.4
LOG_INTERVAL_S = 1
Value = TypeVar("Value")


@dataclasses.dataclass(frozen=True, slots=True)
class Circuit:
    """An open circuit: requests for the server are refused or sent elsewhere.

    Attributes
    ----------
    until_s
        Clock reading in seconds at which it closes without new evidence.
    room_at_s
        Clock reading in seconds at which the server, or the next owner of its keys, is expected
        to serve requests.
    """

    until_s: float
    room_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """What this instance saw itself: since when, and last when, by clock readings in seconds.

    Attributes
    ----------
    failed_connects
        Number of failed connects in a row; a lost request counts as `MIN_FAILED_CONNECTS`.
    """

    since_s: float
    sent_at_s: float
    seen_at_s: float
    is_unreachable: bool
    failed_connects: int

    def opens(self, now_s: float) -> bool:
        """Return whether it keeps a circuit open."""
        return self.failed_connects >= MIN_FAILED_CONNECTS and self.seen_at_s + OPEN_S > now_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The latest answer: when its request was sent and when it came, by clock readings."""

    sent_at_s: float
    seen_at_s: float


NO_ANSWER = _Answer(-math.inf, -math.inf)


class ServerCircuits(service.Service):
    """Circuits of the servers at which requests were lost during the last second.

    A circuit opens on this instance's own evidence, a lost request or `MIN_FAILED_CONNECTS`
    failed connects in a row, or on the reports of `MIN_REPORTERS` other instances. An answer to a
    request that was sent after the evidence closes it, and overrides reports for
    `ANSWER_TRUST_S`.

    Parameters
    ----------
    failure_domain
        Failure domain of this instance.
    """

    def __init__(
        self, service_kernel: kernel.Kernel, generator: random.Random, failure_domain: str = ""
    ) -> None:
        self._kernel = service_kernel
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._own: dict[deployment.ServerIncarnation, _Evidence] = {}
        self._reported_at_s: dict[deployment.ServerIncarnation, list[float]] = {}
        self._answers: dict[deployment.ServerIncarnation, _Answer] = {}
        self._schedule = probe_schedule.ProbeSchedule(generator)

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel, failure_domain: str = "") -> ServerCircuits:
        """Return the circuits of an instance in a failure domain."""
        return cls(service_kernel, random.Random(), failure_domain)  # noqa: S311

    def start(self) -> None:
        """Look up the clock and register the counters."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        registry = self._kernel.find(names.METRICS, metrics.Metrics).registry
        self._lost = prometheus_client.Counter(
            "goldcresthall_lost_at_server",
            "Attempts that a server lost without an answer, and failed connects, by evidence.",
            ["evidence"],
            registry=registry,
        )
        self._probes = prometheus_client.Counter(
            "goldcresthall_circuit_probes",
            "Requests sent to a server although its circuit was open.",
            registry=registry,
        )

    def stop(self) -> None:
        """Do nothing; there is nothing to stop."""

    def record_attempt(
        self,
        server: deployment.ServerIncarnation,
        attempt: attempts.Attempt,
        sent_at_s: float,
        response_time_s: float,
    ) -> None:
        """Record the end of an attempt that began at `sent_at_s`.

        Parameters
        ----------
        response_time_s
            Response time in seconds, with the time in the server's queue, that was expected when
            the request was sent. A wait that is not far longer proves nothing.
        """
        now_s = self._clock.read_s()
        if not _is_lost(attempt):
            if has_answered(attempt):
                self._record_answer(server, sent_at_s)
            return
        is_unreachable = isinstance(attempt, attempts.AttemptNotRun)
        if not is_unreachable and now_s - sent_at_s < work_estimates.LATE_FACTOR * response_time_s:
            return
        self._record_loss(server, sent_at_s, now_s, is_unreachable=is_unreachable)

    def apply_reports(self, rows: tuple[server_reports.LostServer, ...]) -> None:
        """Replace what other instances report; one row for each server and instance."""
        if not rows and not self._reported_at_s:
            return
        now_s = self._clock.read_s()
        reported_at_s: dict[deployment.ServerIncarnation, list[float]] = {}
        for row in rows:
            if row.age_s < OPEN_S:
                reported_at_s.setdefault(row.server, []).append(now_s - row.age_s)
        with self._lock:
            known = self._reported_at_s
            self._reported_at_s = reported_at_s
        for server, times_s in reported_at_s.items():
            if len(times_s) >= MIN_REPORTERS > len(known.get(server, ())):
                self._lost.labels("reported").inc()
                self._log_open(server, f"reported by {len(times_s)} instances")

    def list_observed(self) -> tuple[server_reports.LostServer, ...]:
        """Return the servers that lost requests of this instance within the last second."""
        if not self._own:
            return ()
        now_s = self._clock.read_s()
        with self._lock:
            self._drop_expired(now_s)
            return tuple(
                server_reports.LostServer(
                    server,
                    now_s - evidence.seen_at_s,
                    evidence.is_unreachable,
                    self._failure_domain,
                )
                for server, evidence in self._own.items()
                if now_s - evidence.seen_at_s < OPEN_S
            )

    def find_open(self, server: deployment.ServerIncarnation) -> Circuit | None:
        """Return a server's circuit, or `None` if it is closed."""
        if not self._own and not self._reported_at_s:
            return None
        now_s = self._clock.read_s()
        own = self._own.get(server)
        if own is not None and own.opens(now_s):
            until_s = own.seen_at_s + OPEN_S
            lost_until_s = own.since_s + LOST_OWNER_S if own.is_unreachable else 0.0
            return Circuit(until_s, max(until_s, lost_until_s))
        times_s = self._reported_at_s.get(server, ())
        fresh = sorted(at_s for at_s in times_s if at_s + OPEN_S > now_s)
        if len(fresh) < MIN_REPORTERS or (own is None and self._is_trusted(server, now_s)):
            return None
        until_s = fresh[-MIN_REPORTERS] + OPEN_S
        return Circuit(until_s, until_s)

    def may_probe(self, server: deployment.ServerIncarnation, instances: int) -> bool:
        """Return whether `try_probe` would allow a request now."""
        now_s = self._clock.read_s()
        own = self._own.get(server)
        has_own = own is not None and own.opens(now_s)
        return self._schedule.may_probe(server, instances, now_s, has_own_evidence=has_own)

    def try_probe(self, server: deployment.ServerIncarnation, instances: int) -> bool:
        """Return whether one request may be sent now to a server whose circuit is open.

        The instances together send a few probes per second.
        """
        if not self.may_probe(server, instances):
            return False
        if not self._schedule.take(server, instances, self._clock.read_s()):
            return False
        self._probes.inc()
        return True

    def _is_trusted(self, server: deployment.ServerIncarnation, now_s: float) -> bool:
        return now_s - self._answers.get(server, NO_ANSWER).seen_at_s <= ANSWER_TRUST_S

    def _record_answer(self, server: deployment.ServerIncarnation, sent_at_s: float) -> None:
        now_s = self._clock.read_s()
        with self._lock:
            if sent_at_s > self._answers.get(server, NO_ANSWER).sent_at_s:
                self._answers[server] = _Answer(sent_at_s, now_s)
                _limit_size(self._answers)
            own = self._own.get(server)
            if own is not None and sent_at_s > own.sent_at_s:
                del self._own[server]

    def _record_loss(
        self,
        server: deployment.ServerIncarnation,
        sent_at_s: float,
        now_s: float,
        *,
        is_unreachable: bool,
    ) -> None:
        with self._lock:
            if self._answers.get(server, NO_ANSWER).sent_at_s > sent_at_s:
                # The server answered a later request, so it is neither silent nor full now.
                return
            earlier = self._own.get(server)
            if earlier is not None and now_s - earlier.seen_at_s >= LOST_OWNER_S:
                earlier = None
            evidence = _continue(earlier, sent_at_s, now_s, is_unreachable=is_unreachable)
            self._own[server] = evidence
            _limit_size(self._own)
        self._lost.labels("connect" if is_unreachable else "answer").inc()
        if evidence.opens(now_s) and (earlier is None or not earlier.opens(now_s)):
            self._log_open(server, "connect failed" if is_unreachable else "no answer")

    def _drop_expired(self, now_s: float) -> None:
        # Expired evidence is kept for a while, since it tells for how long an owner is lost.
        for server in [
            server
            for server, evidence in self._own.items()
            if now_s - evidence.seen_at_s >= LOST_OWNER_S
        ]:
            del self._own[server]

    def _log_open(self, server: deployment.ServerIncarnation, evidence: str) -> None:
        logging.log_every_n_seconds(
            logging.INFO,
            "server %s avoided for %.1f s, step choose_server: %s",
            LOG_INTERVAL_S,
            server,
            OPEN_S,
            evidence,
        )


def has_answered(attempt: attempts.Attempt) -> bool:
    """Return whether an attempt got any response of the server."""
    if isinstance(attempt, attempts.AttemptNotRun):
        return attempt.step is outcomes.Step.EXECUTE
    return isinstance(attempt, attempts.AttemptAnswered)


def _is_lost(attempt: attempts.Attempt) -> bool:
    if isinstance(attempt, attempts.AttemptNotRun):
        # A kept connection that the server had closed says nothing of the server.
        is_connect = attempt.step is outcomes.Step.CONNECT
        return is_connect and attempt.reason is outcomes.RefusalReason.CONNECT_FAILED
    if isinstance(attempt, attempts.AttemptUnknown):
        return attempt.reason is outcomes.UnknownReason.ANSWER_TIMEOUT
    return False


def _continue(
    earlier: _Evidence | None, sent_at_s: float, now_s: float, *, is_unreachable: bool
) -> _Evidence:
    """Return this instance's evidence after one more failure."""
    if earlier is None:
        earlier = _Evidence(now_s, -math.inf, -math.inf, is_unreachable, 0)
    count = MIN_FAILED_CONNECTS
    if is_unreachable:
        # Connects that fail at the same time have one cause.
        count = earlier.failed_connects + (sent_at_s >= earlier.seen_at_s)
    return _Evidence(earlier.since_s, sent_at_s, now_s, is_unreachable, count)


def _limit_size(by_server: dict[deployment.ServerIncarnation, Value]) -> None:
    """Remove the server that was added first if there are too many."""
    if len(by_server) > probe_schedule.MAX_TRACKED_SERVERS:
        del by_server[next(iter(by_server))]
