"""The running observation of one backend server, and how tries change it."""

from __future__ import annotations

import dataclasses
import functools
import math

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.001
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
SLOW_START_S = 10.0
LEAST_WEIGHT = 0.1
LOAD_AGE_SCALE_S = 1.0
LATENCY_AGE_SCALE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
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
    foreign_load: float
    weight: float
    ejected: bool
    probing: bool


class ServerTrack:
    """The running observation of one server; its owner holds the lock."""

    def __init__(self, seen_at_s: float) -> None:
        self.trials: dict[int, Trial] = {}
        self.latency_s = INITIAL_LATENCY_S
        self.latency_at_s = seen_at_s
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s: float | None = None
        self.returned_at_s = seen_at_s
        self.load: float | None = None
        self.load_at_s = seen_at_s
        self.load_own = 0
        self.heard_at_s = seen_at_s
        self.draining = False

    def note_latency(self, latency_s: float, now_s: float) -> None:
        """Take one time to an answer into the moving average."""
        average_s = self.find_average_s(now_s)
        self.latency_s = average_s + LATENCY_WEIGHT * (latency_s - average_s)
        self.latency_at_s = now_s

    def note_success(self, now_s: float) -> None:
        """Note that the server answered, which ends an ejection."""
        self.failures = 0
        if self.ejected_until_s is not None:
            self.ejected_until_s = None
            self.returned_at_s = now_s
        elif self.ejections and now_s - self.returned_at_s > LONGEST_EJECTION_S:
            self.ejections = 0

    def note_signals(self, signals: attempts.ServerSignals, now_s: float) -> None:
        """Note what the server said of itself."""
        self.heard_at_s = now_s
        self.draining = signals.draining
        if signals.load is not None:
            self.load = signals.load
            self.load_own = len(self.trials)
            self.load_at_s = now_s

    def eject(self, now_s: float) -> None:
        """Send no work until a growing time has passed."""
        pause_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + pause_s

    def describe(self, now_s: float) -> ServerObservation:
        """Return what is known at a clock reading."""
        ejected_until_s = self.ejected_until_s
        average_s = self.find_average_s(now_s)
        return ServerObservation(
            outstanding=len(self.trials),
            average_s=average_s,
            latency_s=max(average_s, self._find_oldest_age_s(now_s)),
            foreign_load=self._find_foreign_load(now_s),
            weight=min(1.0, max(LEAST_WEIGHT, (now_s - self.returned_at_s) / SLOW_START_S)),
            ejected=ejected_until_s is not None and now_s < ejected_until_s,
            probing=ejected_until_s is not None and now_s >= ejected_until_s,
        )

    def find_average_s(self, now_s: float) -> float:
        """Return the average, forgotten with time so that a slow server is tried again."""
        over_s = self.latency_s - INITIAL_LATENCY_S
        return INITIAL_LATENCY_S + over_s * math.exp(
            (self.latency_at_s - now_s) / LATENCY_AGE_SCALE_S
        )

    def _find_oldest_age_s(self, now_s: float) -> float:
        for trial in self.trials.values():
            if trial.request_class is preset.RequestClass.SHORT:
                return now_s - trial.began_at_s
        return 0.0

    def _find_foreign_load(self, now_s: float) -> float:
        if self.load is None:
            return 0.0
        foreign = max(0.0, self.load - self.load_own)
        return foreign * math.exp((self.load_at_s - now_s) / LOAD_AGE_SCALE_S)


@functools.singledispatch
def note_attempt(attempt: attempts.Attempt, track: ServerTrack, trial: Trial, now_s: float) -> None:
    """Note in a server's track how a try ended, by the type of the attempt."""
    raise NotImplementedError(type(attempt).__name__)


@note_attempt.register
def _(attempt: attempts.AttemptAnswered, track: ServerTrack, trial: Trial, now_s: float) -> None:
    if trial.request_class is preset.RequestClass.SHORT:
        track.note_latency(now_s - trial.began_at_s, now_s)
    track.note_signals(attempt.signals, now_s)
    track.note_success(now_s)


@note_attempt.register
def _(attempt: attempts.AttemptNotRun, track: ServerTrack, trial: Trial, now_s: float) -> None:
    if attempt.step is outcomes.Step.CONNECT:
        track.failures += 1
    elif attempt.step is outcomes.Step.EXECUTE:
        track.note_signals(attempt.signals, now_s)
        track.note_success(now_s)
        if attempt.reason is outcomes.RefusalReason.SERVER_DRAINING:
            track.draining = True


@note_attempt.register
def _(attempt: attempts.AttemptUnknown, track: ServerTrack, trial: Trial, now_s: float) -> None:
    track.failures += 1
    if attempt.reason is outcomes.UnknownReason.ANSWER_TIMEOUT:
        track.note_latency(now_s - trial.began_at_s, now_s)
