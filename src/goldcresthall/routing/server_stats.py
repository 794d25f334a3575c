"""Running statistics of one backend server and their update by attempts."""

from __future__ import annotations

import dataclasses
import functools
import math

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset

LATENCY_SMOOTHING_FACTOR = 0.2
INITIAL_LATENCY_S = 0.001  # of a server without responses
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_START_S = 10.0
MIN_WEIGHT = 0.1  # at the start of slow start
LOAD_DECAY_TIME_S = 1.0
LATENCY_DECAY_TIME_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """One attempt in progress at a server."""

    number: int
    server: str
    began_at_s: float
    request_class: preset.RequestClass


@dataclasses.dataclass(frozen=True, slots=True)
class ServerObservation:
    """Statistics of one server at one clock reading.

    Attributes
    ----------
    average_s
        Moving average of the response time of short requests, in seconds.
    latency_s
        That average, or the age of the oldest short attempt in progress if that is more.
    external_load
        Requests of other instances in the last load report, discounted by its age.
    weight
        Slow-start weight from `MIN_WEIGHT` to 1, relative to a server after its slow start.
    ejected
        Whether the server is ejected and gets no requests.
    half_open
        Whether the server is half-open: its ejection time has passed, and a single
        request shows whether it has recovered.
    """

    outstanding: int
    average_s: float
    latency_s: float
    external_load: float
    weight: float
    ejected: bool
    half_open: bool


class ServerStats:
    """Running statistics of one server; not thread-safe, the caller holds the lock."""

    def __init__(self, seen_at_s: float) -> None:
        self.in_flight_attempts: dict[int, InFlightAttempt] = {}
        self.latency_s = INITIAL_LATENCY_S
        self.latency_at_s = seen_at_s
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s: float | None = None
        self.returned_at_s = seen_at_s
        self.load: float | None = None
        self.load_at_s = seen_at_s
        self.own_load = 0
        self.last_response_at_s = seen_at_s
        self.draining = False

    def record_latency(self, latency_s: float, now_s: float) -> None:
        """Add one response time in seconds to the moving average."""
        average_s = self.find_average_s(now_s)
        self.latency_s = average_s + LATENCY_SMOOTHING_FACTOR * (latency_s - average_s)
        self.latency_at_s = now_s

    def record_success(self, now_s: float) -> None:
        """Record a response, which ends an ejection and then starts the slow start."""
        self.failures = 0
        if self.ejected_until_s is not None:
            self.ejected_until_s = None
            self.returned_at_s = now_s
        elif self.ejections and now_s - self.returned_at_s > MAX_EJECTION_S:
            self.ejections = 0

    def record_signals(self, signals: attempts.ServerSignals, now_s: float) -> None:
        """Record the load and draining signals of a response or a probe."""
        self.last_response_at_s = now_s
        self.draining = signals.draining
        if signals.load is not None:
            self.load = signals.load
            self.own_load = len(self.in_flight_attempts)
            self.load_at_s = now_s

    def eject(self, now_s: float) -> None:
        """Eject the server; the ejection time doubles with each repetition up to a cap."""
        ejection_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + ejection_s

    def describe(self, now_s: float) -> ServerObservation:
        """Return the statistics at a clock reading."""
        ejected_until_s = self.ejected_until_s
        average_s = self.find_average_s(now_s)
        return ServerObservation(
            outstanding=len(self.in_flight_attempts),
            average_s=average_s,
            latency_s=max(average_s, self._find_oldest_age_s(now_s)),
            external_load=self._find_external_load(now_s),
            weight=min(1.0, max(MIN_WEIGHT, (now_s - self.returned_at_s) / SLOW_START_S)),
            ejected=ejected_until_s is not None and now_s < ejected_until_s,
            half_open=ejected_until_s is not None and now_s >= ejected_until_s,
        )

    def find_average_s(self, now_s: float) -> float:
        """Return the average response time in seconds.

        It decays to the initial value with its age, so that a server that was slow
        gets requests again.
        """
        excess_s = self.latency_s - INITIAL_LATENCY_S
        return INITIAL_LATENCY_S + excess_s * math.exp(
            (self.latency_at_s - now_s) / LATENCY_DECAY_TIME_S
        )

    def _find_oldest_age_s(self, now_s: float) -> float:
        for in_flight in self.in_flight_attempts.values():
            if in_flight.request_class is preset.RequestClass.SHORT:
                return now_s - in_flight.began_at_s
        return 0.0

    def _find_external_load(self, now_s: float) -> float:
        if self.load is None:
            return 0.0
        external = max(0.0, self.load - self.own_load)
        return external * math.exp((self.load_at_s - now_s) / LOAD_DECAY_TIME_S)


@functools.singledispatch
def record_attempt(
    attempt: attempts.Attempt, stats: ServerStats, in_flight: InFlightAttempt, now_s: float
) -> None:
    """Record the result of an attempt in the statistics of its server, by its type."""
    raise NotImplementedError(type(attempt).__name__)


@record_attempt.register
def _(
    attempt: attempts.AttemptAnswered, stats: ServerStats, in_flight: InFlightAttempt, now_s: float
) -> None:
    if in_flight.request_class is preset.RequestClass.SHORT:
        stats.record_latency(now_s - in_flight.began_at_s, now_s)
    stats.record_signals(attempt.signals, now_s)
    stats.record_success(now_s)


@record_attempt.register
def _(
    attempt: attempts.AttemptNotRun, stats: ServerStats, in_flight: InFlightAttempt, now_s: float
) -> None:
    if attempt.step is outcomes.Step.CONNECT:
        stats.failures += 1
    elif attempt.step is outcomes.Step.EXECUTE:
        stats.record_signals(attempt.signals, now_s)
        stats.record_success(now_s)
        if attempt.reason is outcomes.RefusalReason.SERVER_DRAINING:
            stats.draining = True


@record_attempt.register
def _(
    attempt: attempts.AttemptUnknown, stats: ServerStats, in_flight: InFlightAttempt, now_s: float
) -> None:
    stats.failures += 1
    if attempt.reason is outcomes.UnknownReason.ANSWER_TIMEOUT:
        stats.record_latency(now_s - in_flight.began_at_s, now_s)
