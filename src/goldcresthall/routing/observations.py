"""The observations service: what this instance saw of each backend server itself."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.log_service import instance_list
from goldcresthall.observability import metrics
from goldcresthall.routing import server_tracks

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.core import preset
    from goldcresthall.kernel import kernel

NONE: Final[frozenset[str]] = frozenset()
FAILURES_TO_EJECT = 5
MOST_EJECTED_FRACTION = 0.5


class Observations(service.Service):
    """Latency, failures, load and leaving of each backend server, as seen here."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._lock = threading.Lock()
        self._tracks: dict[str, server_tracks.ServerTrack] = {}
        self._next_trial = 0
        self._began_at_s: float | None = None
        self._suspects: frozenset[str] = NONE
        self._told_draining: frozenset[str] = NONE
        self._leaving = NONE
        self._leaving_revision = -1

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel) -> Observations:
        """Return the observations of an instance."""
        return cls(service_kernel)

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

    def observe(self, server: str) -> server_tracks.ServerObservation:
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

    def begin(self, server: str, request_class: preset.RequestClass) -> server_tracks.Trial:
        """Note that a try begins."""
        now_s = self._clock.read_s()
        with self._lock:
            self._next_trial += 1
            trial = server_tracks.Trial(self._next_trial, server, now_s, request_class)
            self._find_track(server, now_s).trials[trial.number] = trial
            return trial

    def finish(
        self, trial: server_tracks.Trial, policy: preset.ServicePolicy, attempt: attempts.Attempt
    ) -> None:
        """Note how a try ended; its server may be ejected for it."""
        now_s = self._clock.read_s()
        with self._lock:
            track = self._find_track(trial.server, now_s)
            track.trials.pop(trial.number, None)
            server_tracks.note_attempt(attempt, track, trial, now_s)
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

    def _find_track(self, server: str, now_s: float) -> server_tracks.ServerTrack:
        track = self._tracks.get(server)
        if track is None:
            track = self._tracks[server] = server_tracks.ServerTrack(self._find_start_s(now_s))
        return track

    def _find_start_s(self, now_s: float) -> float:
        """Return when a server seen first now begins its slow start.

        Servers that were there when this instance began are warm already.
        """
        if self._began_at_s is None:
            self._began_at_s = now_s
        is_new = now_s - self._began_at_s >= server_tracks.SLOW_START_S
        return now_s if is_new else now_s - server_tracks.SLOW_START_S

    def _observe_suspects(self) -> list[tuple[str, server_tracks.ServerObservation]]:
        now_s = self._clock.read_s()
        with self._lock:
            return [
                (name, self._find_track(name, now_s).describe(now_s)) for name in self._suspects
            ]

    def _classify(self, server: str, track: server_tracks.ServerTrack) -> None:
        """Keep the sets of servers that need a closer look; both are mostly empty."""
        if track.draining != (server in self._told_draining):
            self._told_draining ^= {server}
        if (track.ejected_until_s is not None) != (server in self._suspects):
            self._suspects ^= {server}

    def _eject_if_due(
        self,
        track: server_tracks.ServerTrack,
        policy: preset.ServicePolicy,
        server: str,
        now_s: float,
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


def _is_blocked(seen: server_tracks.ServerObservation) -> bool:
    return seen.ejected or (seen.probing and seen.outstanding > 0)


def _has_failed_probe(track: server_tracks.ServerTrack, now_s: float) -> bool:
    until_s = track.ejected_until_s
    return until_s is not None and now_s >= until_s and track.failures > 0
