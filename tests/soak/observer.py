"""What servers and callers saw, checked against the promises while the soak runs."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall_stand_ins import deployment_server

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
THAW_S = 0.3
OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and when (seconds of the steady clock)."""

    promise: str
    detail: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """How one request ended at its caller; status 0 without an answer."""

    request_id: str
    service: str
    status: int
    body: str


class Observer:
    """Collects what was seen; all methods may be called from any task."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._violations: list[Violation] = []
        self._results: list[CallerResult] = []
        self._servers: list[deployment_server.DeploymentServer] = []
        self._excused_until_s = 0.0

    @property
    def violations(self) -> tuple[Violation, ...]:
        """The broken promises so far."""
        with self._lock:
            return tuple(self._violations)

    def count_results(self) -> collections.Counter[int]:
        """Return how many requests ended with each status."""
        with self._lock:
            return collections.Counter(result.status for result in self._results)

    def add_server(self, server: deployment_server.DeploymentServer) -> None:
        """Watch a server's keys."""
        with self._lock:
            self._servers.append(server)

    def remove_server(self, server: deployment_server.DeploymentServer) -> None:
        """Note that a server is down and holds nothing any more."""
        with self._lock:
            self._servers.remove(server)

    def excuse_late_grants(self) -> None:
        """Note that a sender was resumed, so that what it had begun to send may arrive."""
        with self._lock:
            self._excused_until_s = time.monotonic() + THAW_S

    def note_grant(self, server: deployment_server.DeploymentServer, keys: range) -> None:
        """Check that no other server that is up holds any of the keys just granted."""
        now_s = time.monotonic()
        with self._lock:
            others = [other for other in self._servers if other is not server]
            is_excused = now_s < self._excused_until_s
        holders = [other.name for other in others if other.holds_any(keys)]
        if holders and not is_excused:
            self.report("one owner", f"{server.name} and {holders} hold {keys}")

    def report(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        with self._lock:
            self._violations.append(Violation(promise, detail, time.monotonic()))

    def note_result(self, result: CallerResult) -> None:
        """Note how a request ended and check that a good answer is its own."""
        with self._lock:
            self._results.append(result)
        if result.status == OK and not result.body.endswith(result.request_id):
            self.report("whole answers", f"{result.request_id} got {result.body!r}")
        if result.status not in {0, OK, 429, 500, 502, 503, 504}:
            self.report("proper requests are not denied", f"{result}")

    def check_runs(self, service: str, runs: list[deployment_server.ExecutedRequest]) -> None:
        """Check orders against what the servers ran: once at most, and none that was refused."""
        counts = collections.Counter(run.request_id for run in runs)
        for request_id, count in counts.items():
            if count > 1:
                self.report("at most once", f"{request_id} ran {count} times")
        with self._lock:
            results = [result for result in self._results if result.service == service]
        for result in results:
            if result.status in NOT_RUN_STATUSES and counts[result.request_id]:
                self.report("not run", f"{result} ran")
            if result.status == OK and not counts[result.request_id]:
                self.report("whole answers", f"{result} did not run")
