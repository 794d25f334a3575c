"""Stand-in for a backend server of a deployment, which checks grants of key ranges."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import itertools
import json
import threading
import time
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import server_faults
from goldcresthall_stand_ins import web

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from goldcresthall_stand_ins import deployment_store
    from goldcresthall_stand_ins.rules import server_recorder

SERVERS_TOPIC = "keyed.servers"
MS_PER_S = 1_000
RELEASE_PATH = "/api/release"
LATE_AFTER_S = 0.3  # a grant that is executed later than this after its arrival counts as late
INVALID_KEY = 65_536  # one past the last key, so no server holds it; used if a request has none


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that the server ran.

    Attributes
    ----------
    key
        Value of the shard key header; empty if the request has none.
    at_s
        Reading of the machine's monotonic clock, in seconds, when the request began.
    """

    request_id: str
    key: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedGrant:
    """A grant that a server has accepted.

    Attributes
    ----------
    is_late
        Whether the server executed it some time after its arrival.
    """

    server: DeploymentServer
    keys: range
    fence: int
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldGrant:
    fence: int
    expires_at_s: float


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _RunningWork:
    key: int


class DeploymentServer(web.StandIn):
    """Accepts grants, runs requests and writes its own entry into the store on demand.

    Parameters
    ----------
    work_s
        Run time of each request, in seconds.
    on_grant
        Called after each accepted grant.
    recorder
        Records what the server sees; `None` to record nothing.

    Attributes
    ----------
    fault
        Fault of the responses to commands.
    history
        The responses to commands so far.
    extra_work_s
        Added to the run time of each request, in seconds.
    min_body_bytes
        Responses to requests are filled up to this size.
    """

    def __init__(
        self,
        store: deployment_store.StoreStandIn,
        name: str,
        service: str,
        *,
        keyed: bool,
        work_s: float = 0.0,
        on_grant: Callable[[AcceptedGrant], None] | None = None,
        recorder: server_recorder.ServerRecorder | None = None,
    ) -> None:
        super().__init__("127.0.0.1", 0, threads=24)
        self._store = store
        self._name = name
        self._service = service
        self._keyed = keyed
        self._work_s = work_s
        self._on_grant = on_grant
        self._recorder = recorder
        self._lock = threading.Lock()
        self._work_ended = threading.Condition(self._lock)
        self.history = server_faults.ResponseHistory()
        self.fault = server_faults.ServerFault()
        self.extra_work_s = 0.0
        self.failure_domain = "domain-a"
        self.warm_up_s = 0.0
        self.min_body_bytes = 0
        self._running: set[_RunningWork] = set()
        self._lease_ends_s: dict[int, float] = {}
        self._held_grants: dict[int, _HeldGrant] = {}
        self._highest_fences: dict[int, int] = {}
        self._started_ms = int(time.time() * MS_PER_S)
        self._release_count = 0
        self._refreshes = itertools.count(1)
        self.executed_requests: list[ExecutedRequest] = []

    @property
    def name(self) -> str:
        """Name under which the server registers."""
        return self._name

    def start(self) -> None:
        """Bind the address and serve in a background thread."""
        super().start()
        if self._recorder is not None:
            self._recorder.record_start(f"127.0.0.1:{self.port}")

    def stop(self) -> None:
        """Stop serving and close the listening socket."""
        if self._recorder is not None:
            self._recorder.record_end()
        super().stop()

    def register(self, state: str = "ready", *, port: int | None = None) -> None:
        """Write the server's entry into the store; a proxy's port replaces its own."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{port or self.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmup_left_s": self.warm_up_s,
            "seq": next(self._refreshes),
            "born": self._started_ms,
        }
        self._store.put(SERVERS_TOPIC, self._name, entry)

    def restart(self) -> None:
        """Start again under the same name and address; nothing of the earlier life is left.

        The new incarnation is known to others only once it registers.
        """
        with self._lock:
            self._held_grants.clear()
            self._highest_fences.clear()
            self._running.clear()
            self._lease_ends_s.clear()
            self._work_ended.notify_all()
            self._started_ms = max(int(time.time() * MS_PER_S), self._started_ms + 1)
            self._refreshes = itertools.count(1)
            if self._recorder is not None:
                self._recorder.record_start(f"127.0.0.1:{self.port}")

    def unregister(self) -> None:
        """Delete the server's entry from the store."""
        self._store.put(SERVERS_TOPIC, self._name, None)

    def holds(self, key: int) -> bool:
        """Return whether the server holds an unexpired grant of a key."""
        with self._lock:
            return self._holds(key)

    def holds_any(self, keys: range) -> bool:
        """Return whether the server holds an unexpired grant of any of the keys."""
        now_s = time.monotonic()
        with self._lock:
            return any(
                key in keys and held_grant.expires_at_s > now_s
                for key, held_grant in self._held_grants.items()
            )

    def works_on_any(self, keys: range) -> bool:
        """Return whether work on any of the keys runs whose lease has not run out."""
        now_s = time.monotonic()
        with self._lock:
            return any(
                work.key in keys and self._lease_ends_s.get(work.key, 0.0) > now_s
                for work in self._running
            )

    def stop_new_work(self, keys: range) -> None:
        """Hold the keys no longer; running work goes on."""
        with self._lock:
            for key in keys:
                self._held_grants.pop(key, None)

    @contextlib.contextmanager
    def work_on(self, key: int) -> Iterator[bool]:
        """Run work on a key in the `with` block; yield whether it may begin."""
        work = _RunningWork(key)
        with self._lock:
            may_begin = not self._keyed or self._holds(key)
            if may_begin:
                self._running.add(work)
        try:
            yield may_begin
        finally:
            with self._lock:
                self._running.discard(work)
                self._work_ended.notify_all()

    def handle_request(self, request: web.Request) -> web.Response:
        """Handle a grant, a release or a request of a caller; the response echoes its id."""
        response = self._handle(request)
        request_id = request.headers.get("goldcresthall-request-id")
        if request_id is None:
            return response
        echo = ("Goldcresthall-Request-Id", request_id)
        return dataclasses.replace(response, headers=(*response.headers, echo))

    def _handle(self, request: web.Request) -> web.Response:
        expected = request.headers.get("goldcresthall-target-instance")
        if self._recorder is not None and not request.path.startswith("/api/"):
            self._recorder.record_arrival(request)
        if expected is not None and expected != self._name:
            self._record_refusal(request)
            return web.Response(421, b"", (("Goldcresthall-Instance-Id", self._name),))
        execute = {server_faults.GRANT_PATH: self._grant, RELEASE_PATH: self._release}.get(
            request.path
        )
        if execute is None:
            return self._run(request)
        command = server_faults.Command(
            request,
            functools.partial(execute, json.loads(request.body), self._started_ms),
            time.monotonic(),
        )
        return server_faults.respond(self.fault, command, self.history)

    def _grant(
        self, command: dict[str, int | float], started_ms: int, arrived_at_s: float
    ) -> web.Response:
        keys = range(int(command["from"]), int(command["target"]) + 1)
        fence = int(command["fence"])
        lease_ends_s = arrived_at_s + float(command["hold_s"])
        now_s = time.monotonic()
        with self._lock:
            if any(self._highest_fences.get(key, -1) > fence for key in keys):
                return web.Response(409, b"")
            if lease_ends_s <= now_s or started_ms != self._started_ms:
                return web.Response(503, b"")
            self._held_grants.update(dict.fromkeys(keys, _HeldGrant(fence, lease_ends_s)))
            self._highest_fences.update(dict.fromkeys(keys, fence))
            self._lease_ends_s.update(dict.fromkeys(keys, lease_ends_s))
            if self._recorder is not None:
                lease_s = float(command["hold_s"])
                self._recorder.record_grant(keys, fence, lease_s, arrived_at_s)
        if self._on_grant is not None:
            is_late = now_s - arrived_at_s > LATE_AFTER_S
            self._on_grant(AcceptedGrant(self, keys, fence, is_late))
        return web.Response(200, b"")

    def _release(
        self, command: dict[str, int | float], started_ms: int, arrived_at_s: float
    ) -> web.Response:
        """Stop new work on keys, and return once the work that runs has ended."""
        keys = range(int(command["from"]), int(command["target"]) + 1)
        self.stop_new_work(keys)
        with self._lock:
            running = {work for work in self._running if work.key in keys}
            self._work_ended.wait_for(lambda: self._running.isdisjoint(running))
            if self._recorder is not None:
                self._recorder.record_release(keys)
            self._release_count += 1
            handover = f"{self._name}-{self._started_ms}-{self._release_count}"
        return web.Response(200, b"", (("Goldcresthall-Lease-Handover", handover),))

    def _run(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("goldcresthall-request-id", "")
        key = request.headers.get("goldcresthall-shard-key", "")
        key_number = int(key or INVALID_KEY)
        with self.work_on(key_number) as may_begin:
            if not may_begin:
                self._record_refusal(request)
                return web.Response(421, b"", (("Goldcresthall-Not-Executed", "1"),))
            if self._recorder is not None and request_id:
                self._recorder.record_run(request_id, key_number if key else None)
            self.executed_requests.append(ExecutedRequest(request_id, key, time.monotonic()))
            time.sleep(self._work_s + self.extra_work_s)
        if self._keyed and self._has_lease_ended(key_number):
            self._record_response(request_id, 500, "", b"")
            return web.Response(500, b"")
        headers = (
            ("Goldcresthall-Response-Signature", f"signed-by-{self._name}"),
            ("Goldcresthall-Server-Load", "1,0,4"),
        )
        body = f"{self._name} ran {request_id}".encode().ljust(self.min_body_bytes)
        self._record_response(request_id, 200, f"signed-by-{self._name}", body)
        return web.Response(200, body, headers)

    def _record_response(self, request_id: str, status: int, signature: str, body: bytes) -> None:
        if self._recorder is not None and request_id:
            self._recorder.record_response(request_id, status, signature, body)

    def _record_refusal(self, request: web.Request) -> None:
        if self._recorder is not None:
            request_id = request.headers.get("goldcresthall-request-id", "")
            self._recorder.record_refusal(request_id, 421)

    def _holds(self, key: int) -> bool:
        held_grant = self._held_grants.get(key)
        return held_grant is not None and held_grant.expires_at_s > time.monotonic()

    def _has_lease_ended(self, key: int) -> bool:
        with self._lock:
            return self._lease_ends_s.get(key, 0.0) <= time.monotonic()
