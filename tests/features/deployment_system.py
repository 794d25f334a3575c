"""A deployment on loopback: stand-ins in this process, instances as processes."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import json
import os
import signal
import subprocess
import sys
import time
import uuid
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import deployment_server
from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins import fleet

from goldcresthall.ranges import ownership_tables

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

HOST = "shop.example"
SAMPLED_KEYS = range(0, 65_536, 4_096)
POLL_INTERVAL_S = 0.02
LOG_FLUSH_DELAY_S = 0.4
START_TIMEOUT_S = 30.0

SETTINGS_TEMPLATE = """
node_name = "{name}"
zone = "domain-a"
ip = "127.0.0.1"
port_range = [{peers}, {peers}]
heartbeat_s = 0.87
bounds = ["max_hold_s=10", "drain_s=2", "grace_s=6"]
[listen]
http = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
admin = "127.0.0.1:{admin}"
[limits]
memory_mb = 300
[platform]
address = "127.0.0.1:{store}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got."""

    request_id: str
    status: int
    body: str
    closes_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceProcess:
    """A running instance and its ports."""

    process: subprocess.Popen[bytes]
    callers: int
    readiness: int
    peers: int


class DeploymentHarness:
    """Starts, disturbs and watches a deployment."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.store = deployment_store.StoreStandIn()
        self.keyed: list[deployment_server.DeploymentServer] = []
        self.unkeyed: list[deployment_server.DeploymentServer] = []
        self.instances: list[InstanceProcess] = []
        self._version = 1

    def start(self, instances: int, keyed: int, unkeyed: int) -> None:
        """Start everything and wait until all instances are ready."""
        self.store.start()
        for number in range(keyed):
            self.keyed.append(self._start_server(f"ledger-{number}", "ledger", keyed=True))
        for number in range(unkeyed):
            self.unkeyed.append(self._start_server(f"agenda-{number}", "agenda", keyed=False))
        self.publish()
        for number in range(instances):
            self.instances.append(self._start_instance(number))
        for number in range(instances):
            self._wait_until(
                lambda index=number: self.read_readiness(index) == 200, START_TIMEOUT_S
            )

    def stop(self) -> None:
        """End all that was started, once the instances' logs are written."""
        time.sleep(LOG_FLUSH_DELAY_S)
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        for server in (*self.keyed, *self.unkeyed):
            server.stop()
        self.store.stop()

    def publish(self, extra_paths: tuple[str, ...] = ()) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        routes = [
            create_route("ledger", "/ledger/", "ledger", "safe"),
            create_route("agenda", "/agenda/", "agenda", "unsafe"),
            *(create_route(f"extra{path}", path, "agenda", "unsafe") for path in extra_paths),
        ]
        services = [create_service("ledger", sharded=True), create_service("agenda")]
        document = {
            "version": f"{self._version:08x}",
            "routes": routes,
            "services": services,
            "limits": {"idle_timeout_s": 15},
        }
        self.store.put("keyed.op", "config", document)

    def send(self, number: int, method: str, path: str, key: int | None = None) -> Answer:
        """Send one request to a live instance over a connection of its own."""
        live = [item for item in self.instances if item.process.poll() is None]
        connection = self.connect(live[number % len(live)])
        try:
            return send_request(connection, method, path, key)
        finally:
            connection.close()

    def connect(self, instance: InstanceProcess) -> http.client.HTTPConnection:
        """Return a connection of a caller."""
        return http.client.HTTPConnection("127.0.0.1", instance.callers, timeout=10)

    def wait_until_status(
        self,
        number: int,
        method: str,
        path: str,
        status: int,
        *,
        timeout_s: float,
        key: int | None = None,
    ) -> None:
        """Wait until a request is answered with a status."""
        self._wait_until(lambda: self.send(number, method, path, key).status == status, timeout_s)

    def read_readiness(self, number: int) -> int:
        """Return the status that the balancer would get; 0 without an answer."""
        instance = self.instances[number]
        connection = http.client.HTTPConnection("127.0.0.1", instance.readiness, timeout=2)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        return 0

    def find_lessor(self) -> InstanceProcess:
        """Return the instance that the table names as the lessor."""
        table = json.loads(self.store.read(ownership_tables.TOPIC, ownership_tables.KEY))
        port = table["lessor"]["address"]["port"]
        return next(item for item in self.instances if item.peers == port)

    def kill(self, instance: InstanceProcess) -> None:
        """Kill an instance."""
        instance.process.kill()
        instance.process.wait()

    def crash_server(self, server: deployment_server.DeploymentServer) -> None:
        """Crash a server; its entry lapses later."""
        self.keyed.remove(server)
        server.stop()

    def list_executed_requests(self, service: str) -> list[deployment_server.ExecutedRequest]:
        """Return what the servers of a service ran."""
        servers = {"ledger": self.keyed, "agenda": self.unkeyed}[service]
        return [run for server in servers for run in server.executed_requests]

    def wait_until_held(
        self, timeout_s: float, excluded: deployment_server.DeploymentServer | None = None
    ) -> None:
        """Wait until each sampled key has a holder, other than one server."""
        holders = [server for server in self.keyed if server is not excluded]

        def is_held() -> bool:
            if excluded is not None and any(excluded.holds(key) for key in SAMPLED_KEYS):
                return False
            return all(self._count_holders(key, holders) == 1 for key in SAMPLED_KEYS)

        self._wait_until(is_held, timeout_s)

    def check_single_holder(self, seconds: float) -> None:
        """Check that each sampled key has one holder all the time."""
        ends_at_s = time.monotonic() + seconds
        while time.monotonic() < ends_at_s:
            for key in SAMPLED_KEYS:
                assert self._count_holders(key, self.keyed) == 1
            time.sleep(POLL_INTERVAL_S)

    def _count_holders(self, key: int, servers: list[deployment_server.DeploymentServer]) -> int:
        return sum(server.holds(key) for server in servers)

    def _wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        ends_at_s = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < ends_at_s, f"not within {timeout_s} s"
            time.sleep(POLL_INTERVAL_S)

    def _start_server(
        self, name: str, service: str, *, keyed: bool
    ) -> deployment_server.DeploymentServer:
        server = deployment_server.DeploymentServer(
            self.store, name, service, keyed=keyed, work_s=0.02
        )
        server.start()
        server.register()
        return server

    def _start_instance(self, number: int) -> InstanceProcess:
        callers, readiness, peers, admin = (fleet.reserve_port() for _ in range(4))
        text = SETTINGS_TEMPLATE.format(
            name=f"instance-{number}",
            callers=callers,
            readiness=readiness,
            peers=peers,
            admin=admin,
            store=self.store.port,
        )
        path = self._folder / f"instance-{number}.toml"
        path.write_text(text)
        command = (sys.executable, "-m", "goldcresthall", "router", "--deployment", str(path))
        search_path = os.pathsep.join(path for path in sys.path if path)
        environment = os.environ | {"PYTHONPATH": search_path}
        with (self._folder / f"instance-{number}.log").open("wb") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT, env=environment
            )
        return InstanceProcess(process, callers, readiness, peers)


class ShutdownLoad:
    """Orders on connections that stay open while an instance ends."""

    def __init__(self, deployment: DeploymentHarness, instance: InstanceProcess) -> None:
        self._running = deployment
        self._instance = instance
        self.answered = 0
        self.failures: list[str] = []
        self._unread_ids: list[str] = []
        self.return_code: int | None = None

    def run_until_shutdown(self) -> None:
        """Send orders one after the other; ask the instance to end after some."""
        connections = [self._running.connect(self._instance) for _ in range(4)]
        for number in range(10_000):
            if number == 20:
                self._instance.process.send_signal(signal.SIGTERM)
            connection = connections[number % len(connections)]
            if connection is None:
                continue
            connections[number % len(connections)] = self._send(connection)
            if not any(connections):
                break
        self.return_code = self._instance.process.wait(timeout=20)
        run = {item.request_id for item in self._running.list_executed_requests("agenda")}
        self.failures.extend(f"{item} ran" for item in self._unread_ids if item in run)

    def _send(self, connection: http.client.HTTPConnection) -> http.client.HTTPConnection | None:
        """Send one order; return the connection if it stays open."""
        request_id = uuid.uuid4().hex[:16]
        try:
            answer = send_request(connection, "POST", "/agenda/visit", None, request_id)
        except (ConnectionRefusedError, http.client.RemoteDisconnected, ConnectionResetError):
            # The close may have crossed the order; then no server may run it.
            self._unread_ids.append(request_id)
            return None
        except (OSError, http.client.HTTPException) as error:
            self.failures.append(repr(error))
            return None
        self.answered += 1
        if answer.status != 200:
            self.failures.append(f"status {answer.status}")
        return None if answer.closes_connection else connection


def send_request(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    key: int | None,
    request_id: str = "",
) -> Answer:
    """Send one request on an open connection and return its answer."""
    request_id = request_id or uuid.uuid4().hex[:16]
    headers = {
        "Host": HOST,
        "Goldcresthall-Request-Id": request_id,
        "Goldcresthall-Request-Deadline": "4000",
    }
    if key is not None:
        headers["Goldcresthall-Shard-Key"] = str(key)
    connection.request(method, path, headers=headers)
    response = connection.getresponse()
    body = response.read().decode()
    closes_connection = (response.getheader("Connection") or "").lower() == "close"
    return Answer(request_id, response.status, body, closes_connection)


def create_route(name: str, prefix: str, service: str, kind: str) -> dict[str, object]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_s": 3.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


def create_service(name: str, *, sharded: bool = False) -> dict[str, object]:
    """Return a service as the operator writes it."""
    service: dict[str, object] = {"name": name, "health_check": "/healthz", "max_conns": 100}
    if sharded:
        service["sharded"] = True
    return service
