"""Stand-in for keyed and unkeyed backend servers, with fault injection."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import os
import threading
import time

from goldcresthall.backend import protocol
from goldcresthall.core import leases
from goldcresthall.encoding import documents
from goldcresthall_stand_ins import lease_holder
from goldcresthall_stand_ins import web

MS_PER_S = 1_000
# Threads beyond the admitted requests: lease messages, health checks, control requests, refusals.
EXTRA_THREADS = 12
STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
CONTROL_PREFIX = "/control/"
WORK_PARAMETER = "work_ms"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendConfig:
    """Configuration of one backend server.

    Attributes
    ----------
    slots
        Maximum number of requests that run concurrently.
    queue
        Maximum number of requests that wait for a slot; further ones are shed.
    work_ms
        Run time of a request, in milliseconds, unless its query sets another.
    effects_file
        File to which each effect is appended immediately, so that it survives a
        kill of the process; empty to keep effects only in memory.
    """

    name: str
    service: str
    host: str
    port: int
    keyed: bool
    checks_grants: bool = True
    slots: int = 4
    queue: int = 20
    work_ms: float = 1.0
    effects_file: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendFaults:
    """Faults injected into one backend server.

    Attributes
    ----------
    frozen
        Accepts connections but responds only to control requests until the fault is
        cleared.
    extra_work_ms
        Milliseconds added to the run time of each request.
    work_factor
        Factor applied to the run time of each request, as after a cold start.
    truncate
        Sends a shorter body than its Content-Length declares.
    shed
        Sheds every request of a caller.
    draining
        Reports itself as draining, but still runs the requests it receives.
    drip_ms
        Milliseconds between two bytes of a response body.
    wrong_request_id
        Responds with an identifier that is not the request's.
    """

    frozen: bool = False
    extra_work_ms: float = 0.0
    work_factor: float = 1.0
    truncate: bool = False
    shed: bool = False
    wrong_request_id: bool = False
    draining: bool = False
    drip_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """A request that a backend server ran.

    Attributes
    ----------
    partition, epoch
        Grant named in the request's headers; -1 if the request has none.
    at_s
        Reading of the machine's monotonic clock, in seconds, when it took effect.
    """

    server: str
    service: str
    partition: int
    epoch: int
    request_id: str
    idempotency_key: str
    method: str
    path: str
    at_s: float


class BackendStandIn(web.StandIn):
    """One backend server; a process may host several."""

    def __init__(self, config: BackendConfig) -> None:
        super().__init__(config.host, config.port, config.slots + config.queue + EXTRA_THREADS)
        self._config = config
        self._holder = lease_holder.LeaseHolder()
        self._slots = threading.Semaphore(config.slots)
        self._admitted = threading.Semaphore(config.slots + config.queue)
        self._faults_changed = threading.Condition()
        self._faults = BackendFaults()
        self._load_lock = threading.Lock()
        self._load = 0
        self._effects: list[Effect] = []
        self._effects_file = self._open_effects_file()

    @property
    def effects(self) -> tuple[Effect, ...]:
        """Requests that this server ran, in order."""
        return tuple(self._effects)

    def inject_faults(self, faults: BackendFaults) -> None:
        """Replace the injected faults."""
        with self._faults_changed:
            self._faults = faults
            self._faults_changed.notify_all()

    def handle_request(self, request: web.Request) -> web.Response:
        """Handle a request of a caller, a lease message, a health check or a control request."""
        if request.path.startswith(CONTROL_PREFIX):
            return self._handle_control(request)
        with self._faults_changed:
            self._faults_changed.wait_for(lambda: not self._faults.frozen)
        if request.path == protocol.LEASE_PATH:
            return self._handle_lease(request)
        if request.path == protocol.HEALTH_PATH:
            return web.Response(STATUS_OK, b"{}", self._create_load_headers())
        return self._handle_work(request)

    def _create_load_headers(self) -> tuple[tuple[str, str], ...]:
        load = ((protocol.LOAD_HEADER, str(self._load)),)
        return (*load, (protocol.DRAINING_HEADER, "1")) if self._faults.draining else load

    def _handle_control(self, request: web.Request) -> web.Response:
        if request.path == "/control/misbehave":
            self.inject_faults(documents.decode_document(request.body, BackendFaults))
            return web.Response(STATUS_OK, b"{}")
        effects = documents.to_json_value(self.effects)
        return web.Response(STATUS_OK, json.dumps({"effects": effects}).encode())

    def _handle_lease(self, request: web.Request) -> web.Response:
        if request.method == "GET":
            report = self._holder.report()
        else:
            report = self._holder.renew(documents.decode_document(request.body, leases.Renewal))
        return web.Response(STATUS_OK, documents.encode_document(report).encode())

    def _handle_work(self, request: web.Request) -> web.Response:
        if self._faults.shed or not self._admitted.acquire(blocking=False):
            return self._refuse(request, protocol.NOT_RUN_SHED, STATUS_UNAVAILABLE)
        self._change_load(1)
        try:
            with self._slots:
                return self._run(request)
        finally:
            self._change_load(-1)
            self._admitted.release()

    def _change_load(self, delta: int) -> None:
        with self._load_lock:
            self._load += delta

    def _run(self, request: web.Request) -> web.Response:
        partition = int(request.headers.get(protocol.PARTITION_HEADER.lower(), -1))
        epoch = int(request.headers.get(protocol.EPOCH_HEADER.lower(), -1))
        if not (self._config.keyed and self._config.checks_grants):
            self._simulate_work(request)
            return self._take_effect(request, partition, epoch)
        grant = leases.Grant(self._config.service, partition, epoch)
        if not self._holder.begin(grant):
            return self._refuse(request, protocol.NOT_RUN_NOT_OWNER, STATUS_MISDIRECTED)
        try:
            self._simulate_work(request)
            if not self._holder.holds(grant):
                return self._refuse(request, protocol.NOT_RUN_NOT_OWNER, STATUS_MISDIRECTED)
            return self._take_effect(request, partition, epoch)
        finally:
            self._holder.end(grant)

    def _simulate_work(self, request: web.Request) -> None:
        requested_ms = float(request.query.get(WORK_PARAMETER, self._config.work_ms))
        faults = self._faults
        work_ms = requested_ms * faults.work_factor + faults.extra_work_ms
        time.sleep(work_ms / MS_PER_S)

    def _take_effect(self, request: web.Request, partition: int, epoch: int) -> web.Response:
        request_id = request.headers.get(protocol.REQUEST_ID_HEADER.lower(), "")
        self._record(self._create_effect(request, partition, epoch, request_id))
        return self._create_response(request, request_id)

    def _open_effects_file(self) -> int | None:
        if not self._config.effects_file:
            return None
        return os.open(self._config.effects_file, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def _record(self, effect: Effect) -> None:
        self._effects.append(effect)
        if self._effects_file is not None:
            os.write(self._effects_file, documents.encode_document(effect).encode() + b"\n")

    def _create_effect(
        self, request: web.Request, partition: int, epoch: int, request_id: str
    ) -> Effect:
        return Effect(
            server=self._config.name,
            service=self._config.service,
            partition=partition,
            epoch=epoch,
            request_id=request_id,
            idempotency_key=request.headers.get("idempotency-key", ""),
            method=request.method,
            path=request.path,
            at_s=time.monotonic(),
        )

    def _create_response(self, request: web.Request, request_id: str) -> web.Response:
        content = {
            "server": self._config.name,
            "path": request.path,
            "request_id": request_id,
            "body_digest": hashlib.blake2b(request.body, digest_size=8).hexdigest(),
        }
        body = json.dumps(content).encode()
        response_id = "mismatched" if self._faults.wrong_request_id else request_id
        return web.Response(
            STATUS_OK,
            body,
            (
                ("Content-Type", "application/json"),
                (protocol.REQUEST_ID_HEADER, response_id),
                *self._create_load_headers(),
            ),
            declared_length=len(body) + 10 if self._faults.truncate else None,
            drip_ms=self._faults.drip_ms,
        )

    def _refuse(self, request: web.Request, reason: str, status: int) -> web.Response:
        request_id = request.headers.get(protocol.REQUEST_ID_HEADER.lower(), "")
        headers = (
            (protocol.REQUEST_ID_HEADER, request_id),
            (protocol.NOT_RUN_HEADER, reason),
            ("Retry-After", "1"),
        )
        return web.Response(status, b"{}", headers)
