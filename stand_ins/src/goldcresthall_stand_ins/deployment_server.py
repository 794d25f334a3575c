"""Stand-in for a backend server of a deployment, which checks grants of key ranges."""

from __future__ import annotations

import dataclasses
import json
import threading
import time
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall_stand_ins import deployment_store

SERVERS_TOPIC = "keyed.servers"
MS_PER_S = 1_000
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
class _HeldGrant:
    fence: int
    expires_at_s: float


class DeploymentServer(web.StandIn):
    """Accepts grants, runs requests and writes its own entry into the store on demand.

    Parameters
    ----------
    work_s
        Run time of each request, in seconds.
    on_grant
        Called with the server and the keys after each accepted grant.
    """

    def __init__(
        self,
        store: deployment_store.StoreStandIn,
        name: str,
        service: str,
        *,
        keyed: bool,
        work_s: float = 0.0,
        on_grant: Callable[[DeploymentServer, range], None] | None = None,
    ) -> None:
        super().__init__("127.0.0.1", 0, threads=24)
        self._store = store
        self._name = name
        self._service = service
        self._keyed = keyed
        self._work_s = work_s
        self._on_grant = on_grant
        self._lock = threading.Lock()
        self._held_grants: dict[int, _HeldGrant] = {}
        self._highest_fences: dict[int, int] = {}
        self._started_ms = int(time.time() * MS_PER_S)
        self._release_count = 0
        self.executed_requests: list[ExecutedRequest] = []

    @property
    def name(self) -> str:
        """Name under which the server registers."""
        return self._name

    def register(self, state: str = "ready", *, port: int | None = None) -> None:
        """Write the server's entry into the store; a proxy's port replaces its own."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{port or self.port}",
            "zone": "domain-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmup_left_s": 0,
            "seq": 1,
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
            self._started_ms = max(int(time.time() * MS_PER_S), self._started_ms + 1)

    def unregister(self) -> None:
        """Delete the server's entry from the store."""
        self._store.put(SERVERS_TOPIC, self._name, None)

    def holds(self, key: int) -> bool:
        """Return whether the server holds an unexpired grant of a key."""
        with self._lock:
            held_grant = self._held_grants.get(key)
            return held_grant is not None and held_grant.expires_at_s > time.monotonic()

    def holds_any(self, keys: range) -> bool:
        """Return whether the server holds an unexpired grant of any of the keys."""
        now_s = time.monotonic()
        with self._lock:
            return any(
                key in keys and held_grant.expires_at_s > now_s
                for key, held_grant in self._held_grants.items()
            )

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
        if expected is not None and expected != self._name:
            return web.Response(421, b"", (("Goldcresthall-Instance-Id", self._name),))
        if request.path == "/api/grant":
            return self._grant(json.loads(request.body))
        if request.path == "/api/release":
            return self._release(json.loads(request.body))
        return self._run(request)

    def _grant(self, command: dict[str, int | float]) -> web.Response:
        keys = range(int(command["from"]), int(command["target"]) + 1)
        fence = int(command["fence"])
        with self._lock:
            if any(self._highest_fences.get(key, -1) > fence for key in keys):
                return web.Response(409, b"")
            held_grant = _HeldGrant(fence, time.monotonic() + float(command["hold_s"]))
            self._held_grants.update(dict.fromkeys(keys, held_grant))
            self._highest_fences.update(dict.fromkeys(keys, fence))
        if self._on_grant is not None:
            self._on_grant(self, keys)
        return web.Response(200, b"")

    def _release(self, command: dict[str, int | float]) -> web.Response:
        with self._lock:
            for key in range(int(command["from"]), int(command["target"]) + 1):
                self._held_grants.pop(key, None)
            self._release_count += 1
            handover = f"{self._name}-{self._started_ms}-{self._release_count}"
        return web.Response(200, b"", (("Goldcresthall-Lease-Handover", handover),))

    def _run(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("goldcresthall-request-id", "")
        key = request.headers.get("goldcresthall-shard-key", "")
        if self._keyed and not self.holds(int(key or INVALID_KEY)):
            return web.Response(421, b"", (("Goldcresthall-Not-Executed", "1"),))
        self.executed_requests.append(ExecutedRequest(request_id, key, time.monotonic()))
        if self._work_s:
            time.sleep(self._work_s)
        headers = (
            ("Goldcresthall-Response-Signature", f"signed-by-{self._name}"),
            ("Goldcresthall-Server-Load", "1,0,4"),
        )
        return web.Response(200, f"{self._name} ran {request_id}".encode(), headers)
