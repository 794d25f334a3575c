"""Servers that lost requests without an answer, as seen here and as other instances report.

Load condition: a full server drops requests without an answer, or a server falls silent. One
instance sends a server a request every few seconds, so it learns too late by itself.
"""

from __future__ import annotations

import dataclasses
import random
import threading
from typing import TYPE_CHECKING
from typing import TypeVar

import prometheus_client
from absl import logging

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.load import server_news
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

OPEN_S = 1.0
# A single instance may have a broken link to a server that is well.
MIN_REPORTERS = 2
# Work of a heavy-tailed route exceeds this multiple of its mean in 3 of 100 requests.
MIN_LOST_WORK_FACTOR = 4.0
# All instances together send a suspected server about this many requests per second.
PROBES_PER_S = 10.0
MIN_PROBE_INTERVAL_S = 0.2
# A lost owner's keys are free this long after its last grant.
LOST_OWNER_S = 3.4
MAX_TRACKED_SERVERS = 2_048
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
    """What this instance saw itself: since when, and last when, by clock readings in seconds."""

    since_s: float
    sent_at_s: float
    seen_at_s: float
    is_unreachable: bool


class ServerCircuits(service.Service):
    """Circuits of the servers at which requests were lost during the last second.

    A circuit opens on this instance's own evidence, or on the reports of `MIN_REPORTERS` other
    instances. An answer to a request that was sent after the evidence closes it.
    """

    def __init__(self, service_kernel: kernel.Kernel, generator: random.Random) -> None:
        self._kernel = service_kernel
        self._generator = generator
        self._lock = threading.Lock()
        self._own: dict[deployment.ServerIncarnation, _Evidence] = {}
        self._reported_at_s: dict[deployment.ServerIncarnation, list[float]] = {}
        self._answered_sent_at_s: dict[str, float] = {}
        self._next_probe_s: dict[deployment.ServerIncarnation, float] = {}

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> ServerCircuits:
        """Return the circuits of an instance."""
        return cls(service_kernel, random.Random())  # noqa: S311

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

    @property
    def is_quiet(self) -> bool:
        """Whether no server is suspected at all."""
        return not self._own and not self._reported_at_s

    def record_answer(self, server: deployment.ServerIncarnation, sent_at_s: float) -> None:
        """Record a response of a server to an attempt that began at `sent_at_s`."""
        if sent_at_s > self._answered_sent_at_s.get(server.name, 0.0):
            self._answered_sent_at_s[server.name] = sent_at_s
            if len(self._answered_sent_at_s) > MAX_TRACKED_SERVERS:
                self._forget_oldest_answer()
        if self._own:
            with self._lock:
                own = self._own.get(server)
                if own is not None and sent_at_s > own.sent_at_s:
                    del self._own[server]

    def record_failure(
        self,
        server: deployment.ServerIncarnation,
        attempt: attempts.Attempt,
        sent_at_s: float,
        work_s: float,
    ) -> None:
        """Record an attempt without a response that began at `sent_at_s`.

        Parameters
        ----------
        work_s
            Expected work in seconds; a shorter wait for an answer proves nothing.
        """
        if not _is_lost(attempt):
            return
        now_s = self._clock.read_s()
        is_unreachable = isinstance(attempt, attempts.AttemptNotRun)
        if not is_unreachable and now_s - sent_at_s < MIN_LOST_WORK_FACTOR * work_s:
            return
        self._record_loss(server, sent_at_s, now_s, is_unreachable=is_unreachable)

    def apply_news(self, news: tuple[server_news.FullServer, ...]) -> None:
        """Replace what other instances report; one row for each server and instance."""
        if not news and not self._reported_at_s:
            return
        now_s = self._clock.read_s()
        reported_at_s: dict[deployment.ServerIncarnation, list[float]] = {}
        for row in news:
            if row.age_s < OPEN_S:
                reported_at_s.setdefault(row.server, []).append(now_s - row.age_s)
        with self._lock:
            known = self._reported_at_s
            self._reported_at_s = reported_at_s
        for server, times_s in reported_at_s.items():
            if len(times_s) >= MIN_REPORTERS > len(known.get(server, ())):
                self._lost.labels("reported").inc()
                self._log_open(server, f"reported by {len(times_s)} instances")

    def list_observed(self) -> tuple[server_news.FullServer, ...]:
        """Return the servers that lost requests of this instance within the last second."""
        if not self._own:
            return ()
        now_s = self._clock.read_s()
        with self._lock:
            self._drop_expired(now_s)
            return tuple(
                server_news.FullServer(server, now_s - evidence.seen_at_s)
                for server, evidence in self._own.items()
                if now_s - evidence.seen_at_s < OPEN_S
            )

    def find_open(self, server: deployment.ServerIncarnation) -> Circuit | None:
        """Return a server's circuit, or `None` if it is closed."""
        if self.is_quiet:
            return None
        now_s = self._clock.read_s()
        answered_at_s = self._answered_sent_at_s.get(server.name, 0.0)
        own = self._own.get(server)
        if own is not None and own.seen_at_s + OPEN_S > now_s:
            until_s = own.seen_at_s + OPEN_S
            lost_until_s = own.since_s + LOST_OWNER_S if own.is_unreachable else 0.0
            return Circuit(until_s, max(until_s, lost_until_s))
        fresh = sorted(
            at_s
            for at_s in self._reported_at_s.get(server, ())
            if at_s + OPEN_S > now_s and at_s > answered_at_s
        )
        if len(fresh) < MIN_REPORTERS:
            return None
        until_s = fresh[-MIN_REPORTERS] + OPEN_S
        return Circuit(until_s, until_s)

    def try_probe(self, server: deployment.ServerIncarnation, instances: int) -> bool:
        """Return whether one request may be sent to a server whose circuit is open.

        The instances share `PROBES_PER_S`; the first probe of each comes at a random time, so
        that not all instances probe a server at once.
        """
        now_s = self._clock.read_s()
        interval_s = max(MIN_PROBE_INTERVAL_S, instances / PROBES_PER_S)
        with self._lock:
            next_s = self._next_probe_s.get(server)
            if next_s is None or now_s - next_s > OPEN_S + interval_s:
                next_s = now_s + self._generator.uniform(0.0, interval_s)
                self._next_probe_s[server] = next_s
                _limit_size(self._next_probe_s)
            if now_s < next_s:
                return False
            self._next_probe_s[server] = now_s + interval_s * self._generator.uniform(0.5, 1.5)
        self._probes.inc()
        return True

    def _forget_oldest_answer(self) -> None:
        with self._lock:
            self._answered_sent_at_s.pop(next(iter(self._answered_sent_at_s)), None)

    def _record_loss(
        self,
        server: deployment.ServerIncarnation,
        sent_at_s: float,
        now_s: float,
        *,
        is_unreachable: bool,
    ) -> None:
        with self._lock:
            if self._answered_sent_at_s.get(server.name, 0.0) > sent_at_s:
                # The server answered a later request, so it is neither silent nor full now.
                return
            earlier = self._own.get(server)
            is_continued = earlier is not None and now_s - earlier.seen_at_s < LOST_OWNER_S
            since_s = earlier.since_s if earlier is not None and is_continued else now_s
            self._own[server] = _Evidence(since_s, sent_at_s, now_s, is_unreachable)
            _limit_size(self._own)
        self._lost.labels("connect" if is_unreachable else "answer").inc()
        if not is_continued:
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


def _limit_size(by_server: dict[deployment.ServerIncarnation, Value]) -> None:
    """Remove the server that was added first if there are more than `MAX_TRACKED_SERVERS`."""
    if len(by_server) > MAX_TRACKED_SERVERS:
        del by_server[next(iter(by_server))]
