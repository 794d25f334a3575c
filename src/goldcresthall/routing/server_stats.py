"""The running observation of one backend server, and how tries change it."""

from __future__ import annotations

import dataclasses
import functools
import math

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset

LATENCY_SMOOTHING_FACTOR = 0.2
INITIAL_LATENCY_S = 0.001
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SLOW_START_S = 10.0
MIN_WEIGHT = 0.1
LOAD_DECAY_TIME_S = 1.0
LATENCY_DECAY_TIME_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """One try in progress at a server."""

    number: int
    server: str
    began_at_s: float
    request_class: preset.RequestClass


@dataclasses.dataclass(frozen=True, slots=True)
class ServerObservation:
    """What is known of one server at one moment.

    Attributes
    ----------
    average_s
        Moving average of the time to an answer of short work.
    latency_s
        That average, or the age of the oldest short try in progress if longer.
    foreign_load
        Requests of others that the server last told of, discounted by age.
    weight
        Share of a full server's work that it may get, from 0 to 1.
    """

    outstanding: int
    average_s: float
    latency_s: float
    external_load: float
    weight: float
    ejected: bool
    half_open: bool


class ServerStats:
    """The running observation of one server; its owner holds the lock."""

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
        """Take one time to an answer into the moving average."""
        average_s = self.find_average_s(now_s)
        self.latency_s = average_s + LATENCY_SMOOTHING_FACTOR * (latency_s - average_s)
        self.latency_at_s = now_s

    def record_success(self, now_s: float) -> None:
        """Note that the server answered, which ends an ejection."""
        self.failures = 0
        if self.ejected_until_s is not None:
            self.ejected_until_s = None
            self.returned_at_s = now_s
        elif self.ejections and now_s - self.returned_at_s > MAX_EJECTION_S:
            self.ejections = 0

    def record_signals(self, signals: attempts.ServerSignals, now_s: float) -> None:
        """Note what the server said of itself."""
        self.last_response_at_s = now_s
        self.draining = signals.draining
        if signals.load is not None:
            self.load = signals.load
            self.own_load = len(self.in_flight_attempts)
            self.load_at_s = now_s

    def eject(self, now_s: float) -> None:
        """Send no work until a growing time has passed."""
        pause_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + pause_s

    def describe(self, now_s: float) -> ServerObservation:
        """Return what is known at a clock reading."""
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
        """Return the average, forgotten with time so that a slow server is tried again."""
        over_s = self.latency_s - INITIAL_LATENCY_S
        return INITIAL_LATENCY_S + over_s * math.exp(
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
    """Note in a server's track how a try ended, by the type of the attempt."""
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
