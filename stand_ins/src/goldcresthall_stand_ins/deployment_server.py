"""A stand-in for a backend server of the platform that checks grants of key ranges."""

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
KEY_LIMIT = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the server ran."""

    request_id: str
    key: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    fence: int
    until_s: float


class DeploymentServer(web.StandIn):
    """Registers itself in a store, takes grants and runs requests.

    Parameters
    ----------
    work_s
        Seconds that each request takes.
    on_grant
        Called with the server and the keys after each grant that it took.
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
        self._holds: dict[int, _Hold] = {}
        self._highest: dict[int, int] = {}
        self._started_ms = int(time.time() * 1_000)
        self.runs: list[Run] = []

    @property
    def name(self) -> str:
        """Name under which it registers."""
        return self._name

    def register(self, state: str = "ready", *, port: int | None = None) -> None:
        """Write its entry into the store, with another port if it is reached by that."""
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

    def unregister(self) -> None:
        """Take its entry out of the store."""
        self._store.put(SERVERS_TOPIC, self._name, None)

    def holds(self, key: int) -> bool:
        """Return whether it holds a key now."""
        with self._lock:
            hold = self._holds.get(key)
            return hold is not None and hold.until_s > time.monotonic()

    def holds_any(self, keys: range) -> bool:
        """Return whether it holds some of the keys now."""
        now_s = time.monotonic()
        with self._lock:
            return any(key in keys and hold.until_s > now_s for key, hold in self._holds.items())

    def answer(self, exchange: web.Exchange) -> web.Reply:
        """Answer an order or a request."""
        expected = exchange.headers.get("goldcresthall-target-instance")
        if expected is not None and expected != self._name:
            return web.Reply(421, b"", (("Goldcresthall-Instance-Id", self._name),))
        if exchange.path == "/api/grant":
            return self._grant(json.loads(exchange.body))
        if exchange.path == "/api/release":
            return self._release(json.loads(exchange.body))
        return self._run(exchange)

    def _grant(self, order: dict[str, int | float]) -> web.Reply:
        keys = range(int(order["from"]), int(order["target"]) + 1)
        fence = int(order["fence"])
        with self._lock:
            if any(self._highest.get(key, -1) > fence for key in keys):
                return web.Reply(409, b"")
            hold = _Hold(fence, time.monotonic() + float(order["hold_s"]))
            self._holds.update(dict.fromkeys(keys, hold))
            self._highest.update(dict.fromkeys(keys, fence))
        if self._on_grant is not None:
            self._on_grant(self, keys)
        return web.Reply(200, b"")

    def _release(self, order: dict[str, int | float]) -> web.Reply:
        with self._lock:
            for key in range(int(order["from"]), int(order["target"]) + 1):
                self._holds.pop(key, None)
        return web.Reply(200, b"", (("Goldcresthall-Lease-Handover", f"of-{self._name}"),))

    def _run(self, exchange: web.Exchange) -> web.Reply:
        request_id = exchange.headers.get("goldcresthall-request-id", "")
        key = exchange.headers.get("goldcresthall-shard-key", "")
        if self._keyed and not self.holds(int(key or KEY_LIMIT)):
            return web.Reply(421, b"", (("Goldcresthall-Not-Executed", "1"),))
        self.runs.append(Run(request_id, key, time.monotonic()))
        if self._work_s:
            time.sleep(self._work_s)
        headers = (
            ("Goldcresthall-Request-Id", request_id),
            ("Goldcresthall-Response-Signature", f"signed-by-{self._name}"),
            ("Goldcresthall-Server-Load", "1,0,4"),
        )
        return web.Reply(200, f"{self._name} ran {request_id}".encode(), headers)
