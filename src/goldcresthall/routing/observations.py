"""The observations service: what this instance saw of each backend server itself."""

from __future__ import annotations

import dataclasses
import functools
import math
import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.log_service import instance_list
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

NONE: Final[frozenset[str]] = frozenset()
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.001
FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
MOST_EJECTED_FRACTION = 0.5
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


class Observations(service.Service):
    """Latency, failures, load and leaving of each backend server, as seen here."""

    def __init__(self, owner: kernel.Kernel) -> None:
        self._kernel = owner
        self._lock = threading.Lock()
        self._tracks: dict[str, ServerTrack] = {}
        self._next_trial = 0
        self._began_at_s: float | None = None
        self._suspects: frozenset[str] = NONE
        self._told_draining: frozenset[str] = NONE
        self._leaving = NONE
        self._leaving_revision = -1

    @classmethod
    def from_config(cls, owner: kernel.Kernel) -> Observations:
        """Return the observations of an instance."""
        return cls(owner)

    def start(self) -> None:
        """Find the clock, the metrics and the instance list."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)

    def stop(self) -> None:
        """Do nothing; observations end with the process."""

    def list_draining(self) -> frozenset[str]:
        """Return the servers that are leaving by the instance list or by their own word."""
        leaving = self._list_leaving()
        return leaving | self._told_draining if self._told_draining else leaving

    def list_blocked(self) -> frozenset[str]:
        """Return the servers that get no work: ejected ones, and those on trial with some."""
        if not self._suspects:
            return NONE
        return frozenset(name for name, seen in self._observe_suspects() if _is_blocked(seen))

    def list_on_trial(self) -> frozenset[str]:
        """Return the servers that may show by one request that they answer again."""
        if not self._suspects:
            return NONE
        return frozenset(
            name for name, seen in self._observe_suspects() if seen.probing and not seen.outstanding
        )

    def observe(self, server: str) -> ServerObservation:
        """Return what is known of a server."""
        now_s = self._clock.read_s()
        with self._lock:
            return self._find_track(server, now_s).describe(now_s)

    def find_least_average_s(self, servers: tuple[str, ...]) -> float:
        """Return the least average time to an answer among servers, in seconds."""
        now_s = self._clock.read_s()
        with self._lock:
            return min(self._find_track(name, now_s).find_average_s(now_s) for name in servers)

    def find_heard_at_s(self, server: str) -> float:
        """Return the clock reading of the server's last answer of any kind."""
        with self._lock:
            return self._find_track(server, self._clock.read_s()).heard_at_s

    def begin(self, server: str, request_class: preset.RequestClass) -> Trial:
        """Note that a try begins."""
        now_s = self._clock.read_s()
        with self._lock:
            self._next_trial += 1
            trial = Trial(self._next_trial, server, now_s, request_class)
            self._find_track(server, now_s).trials[trial.number] = trial
            return trial

    def finish(self, trial: Trial, policy: preset.ServicePolicy, attempt: attempts.Attempt) -> None:
        """Note how a try ended; its server may be ejected for it."""
        now_s = self._clock.read_s()
        with self._lock:
            track = self._find_track(trial.server, now_s)
            track.trials.pop(trial.number, None)
            note_attempt(attempt, track, trial, now_s)
            self._eject_if_due(track, policy, trial.server, now_s)
            self._classify(trial.server, track)

    def note_signals(self, server: str, signals: attempts.ServerSignals) -> None:
        """Note what a server said of itself apart from any work."""
        now_s = self._clock.read_s()
        with self._lock:
            track = self._find_track(server, now_s)
            track.note_signals(signals, now_s)
            self._classify(server, track)

    def adopt(self, servers: frozenset[str]) -> None:
        """Begin to observe the servers of a preset and forget all others."""
        now_s = self._clock.read_s()
        with self._lock:
            for name in servers:
                self._find_track(name, now_s)
            for name in set(self._tracks) - servers:
                del self._tracks[name]
            self._suspects &= servers
            self._told_draining &= servers

    def count_ejected(self) -> int:
        """Return the number of servers that get no work for their failures."""
        now_s = self._clock.read_s()
        with self._lock:
            return sum(track.describe(now_s).ejected for track in self._tracks.values())

    def count_draining(self) -> int:
        """Return the number of servers that said themselves that they are leaving."""
        with self._lock:
            return sum(track.draining for track in self._tracks.values())

    def _find_track(self, server: str, now_s: float) -> ServerTrack:
        track = self._tracks.get(server)
        if track is None:
            track = self._tracks[server] = ServerTrack(self._find_start_s(now_s))
        return track

    def _find_start_s(self, now_s: float) -> float:
        """Return when a server seen first now begins its slow start.

        Servers that were there when this instance began are warm already.
        """
        if self._began_at_s is None:
            self._began_at_s = now_s
        return now_s if now_s - self._began_at_s >= SLOW_START_S else now_s - SLOW_START_S

    def _observe_suspects(self) -> list[tuple[str, ServerObservation]]:
        now_s = self._clock.read_s()
        with self._lock:
            return [
                (name, self._find_track(name, now_s).describe(now_s)) for name in self._suspects
            ]

    def _classify(self, server: str, track: ServerTrack) -> None:
        """Keep the sets of servers that need a closer look; both are mostly empty."""
        if track.draining != (server in self._told_draining):
            self._told_draining ^= {server}
        if (track.ejected_until_s is not None) != (server in self._suspects):
            self._suspects ^= {server}

    def _eject_if_due(
        self, track: ServerTrack, policy: preset.ServicePolicy, server: str, now_s: float
    ) -> None:
        if track.failures < FAILURES_TO_EJECT and not _has_failed_probe(track, now_s):
            return
        if self._may_eject(policy, server, now_s):
            track.eject(now_s)
            track.failures = 0
            self._metrics.count_ejection(policy.name)

    def _may_eject(self, policy: preset.ServicePolicy, server: str, now_s: float) -> bool:
        others = [
            self._find_track(other.name, now_s) for other in policy.servers if other.name != server
        ]
        out = sum(track.ejected_until_s is not None for track in others)
        return out + 1 <= MOST_EJECTED_FRACTION * len(policy.servers)

    def _list_leaving(self) -> frozenset[str]:
        listing = self._list.listing
        if listing.revision != self._leaving_revision:
            self._leaving = listing.leaving_servers
            self._leaving_revision = listing.revision
        return self._leaving


def _is_blocked(seen: ServerObservation) -> bool:
    return seen.ejected or (seen.probing and seen.outstanding > 0)


def _has_failed_probe(track: ServerTrack, now_s: float) -> bool:
    until_s = track.ejected_until_s
    return until_s is not None and now_s >= until_s and track.failures > 0


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
