"""Checks what servers and callers observe against the invariants of the system."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time

from goldcresthall_stand_ins import deployment_server

from tests.soak import owners

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
LATE_GRANT_WINDOW_S = 0.3
STATUS_OK = 200
DRAIN_S = 2.0
# Rules with a time bound hold for instances that were undisturbed for this long.
STABLE_WINDOW_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A span of time in which an instance, its way to the store or the store was disturbed.

    Attributes
    ----------
    port
        Port for callers of the instance; `None` for a disturbance of all instances.
    """

    began_at_s: float
    ended_at_s: float
    port: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A server and the time at which the store accepted that it is draining."""

    server: deployment_server.DeploymentServer
    accepted_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant and the time of its detection (monotonic clock, seconds)."""

    invariant: str
    detail: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """Result of one request at its caller; status 0 if there was no response.

    Attributes
    ----------
    port
        Port of the instance to which it was sent.
    """

    request_id: str
    service: str
    status: int
    body: str
    port: int | None = None


class InvariantChecker:
    """Collects observations and checks the invariants; all methods are thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._violations: list[Violation] = []
        self._results: list[CallerResult] = []
        self._servers: list[deployment_server.DeploymentServer] = []
        self._late_grants_until_s = 0.0
        self._owner_check = owners.OwnerCheck()
        self._drains: list[Drain] = []
        self._disturbances: list[Disturbance] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """The violations so far."""
        with self._lock:
            return tuple(self._violations)

    def count_results(self) -> collections.Counter[int]:
        """Return the number of requests by status."""
        with self._lock:
            return collections.Counter(result.status for result in self._results)

    def add_server(self, server: deployment_server.DeploymentServer) -> None:
        """Include a server in the check for duplicate owners."""
        with self._lock:
            self._servers.append(server)

    def remove_server(self, server: deployment_server.DeploymentServer) -> None:
        """Exclude a server that is about to be stopped, since a stopped server holds no keys."""
        with self._lock:
            self._servers.remove(server)

    def allow_late_grants(self) -> None:
        """Tolerate duplicate owners briefly after a paused sender or connection was resumed.

        Grants whose sending began before the pause may still arrive.
        """
        with self._lock:
            self._late_grants_until_s = time.monotonic() + LATE_GRANT_WINDOW_S

    def record_grant(self, grant: deployment_server.AcceptedGrant) -> None:
        """Check a grant that a running server has accepted.

        Late grants are tolerated while `allow_late_grants` is in effect.
        """
        now_s = time.monotonic()
        with self._lock:
            if grant.server not in self._servers:
                return
            others = [other for other in self._servers if other is not grant.server]
            may_be_late = now_s < self._late_grants_until_s
        for finding in self._owner_check.judge(grant, others, may_be_late=may_be_late):
            self.record_violation(finding.invariant, finding.detail)

    def record_drain(self, server: deployment_server.DeploymentServer) -> None:
        """Record that the store has accepted a server's draining state."""
        with self._lock:
            self._drains.append(Drain(server, time.monotonic()))

    def is_leaving(self, server: deployment_server.DeploymentServer) -> bool:
        """Return whether the store has accepted that a server drains or left."""
        with self._lock:
            return any(drain.server is server for drain in self._drains)

    def record_disturbance(self, began_at_s: float, port: int | None = None) -> None:
        """Record a disturbance that ends now, of one instance or of all."""
        with self._lock:
            self._disturbances.append(Disturbance(began_at_s, time.monotonic(), port))

    def check_drains(self) -> None:
        """Check that no request began at a draining server later than `DRAIN_S`.

        A request is not judged if a disturbance of its instance, or of all, ended less than
        `STABLE_WINDOW_S` before it, or one of all less than that before the server drained.
        """
        ports = {result.request_id: result.port for result in self._results}
        for drain in self._drains:
            if self._is_excused(None, drain.accepted_at_s, drain.accepted_at_s):
                continue
            bound_s = drain.accepted_at_s + DRAIN_S
            for run in drain.server.executed_requests:
                port = ports.get(run.request_id)
                if run.at_s > bound_s and not self._is_excused(port, run.at_s, run.at_s):
                    late_s = run.at_s - drain.accepted_at_s
                    self.record_violation(
                        "draining servers get no new work",
                        f"{drain.server.name} ran {run.request_id} {late_s:.3f} s after its drain",
                    )

    def _is_excused(self, port: int | None, from_s: float, until_s: float) -> bool:
        return any(
            disturbance.port in {None, port}
            and disturbance.began_at_s < until_s
            and disturbance.ended_at_s > from_s - STABLE_WINDOW_S
            for disturbance in self._disturbances
        )

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record a violated invariant."""
        with self._lock:
            self._violations.append(Violation(invariant, detail, time.monotonic()))

    def record_result(self, result: CallerResult) -> None:
        """Record the result of a request; check its status and that its response belongs to it."""
        with self._lock:
            self._results.append(result)
        if result.status == STATUS_OK and not result.body.endswith(result.request_id):
            self.record_violation("correct responses", f"{result.request_id} got {result.body!r}")
        if result.status not in {0, STATUS_OK, 429, 500, 502, 503, 504}:
            self.record_violation("valid requests are not rejected", f"{result}")

    def check_executions(self, service: str, runs: list[deployment_server.ExecutedRequest]) -> None:
        """Check responses against the requests that the servers of a service executed.

        No request runs more than once, refused requests do not run, and answered requests ran.
        """
        counts = collections.Counter(run.request_id for run in runs)
        for request_id, count in counts.items():
            if count > 1:
                self.record_violation("at most once", f"{request_id} ran {count} times")
        with self._lock:
            results = [result for result in self._results if result.service == service]
        for result in results:
            if result.status in NOT_RUN_STATUSES and counts[result.request_id]:
                self.record_violation("refused requests do not run", f"{result} ran")
            if result.status == STATUS_OK and not counts[result.request_id]:
                self.record_violation("answered requests ran", f"{result} did not run")
