"""Harness for a deployment on loopback: stand-ins in this process, instances as processes."""

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
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
address = "127.0.0.1:{store}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Response that a caller received.

    Attributes
    ----------
    closes_connection
        Whether the response carried `Connection: close`.
    """

    request_id: str
    status: int
    body: str
    closes_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceProcess:
    """A running router instance and its ports."""

    process: subprocess.Popen[bytes]
    callers: int
    readiness: int
    peers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the machine of each instance, and those that the operator sets for callers."""

    memory_mb: int = 300
    max_fds: int = 4_100
    max_body_bytes: int = 67_108_864


class DeploymentHarness:
    """Starts a deployment, injects faults into it and observes it."""

    def __init__(self, folder: pathlib.Path, limits: Limits | None = None) -> None:
        self._folder = folder
        self._limits = limits or Limits()
        self.store = deployment_store.StoreStandIn()
        self.keyed: list[deployment_server.DeploymentServer] = []
        self.unkeyed: list[deployment_server.DeploymentServer] = []
        self.instances: list[InstanceProcess] = []
        self.service_fields: dict[str, object] = {}
        self._version = 1

    def start(self, instances: int, keyed: int, unkeyed: int) -> None:
        """Start the stand-ins and the instances, and wait until every instance is ready."""
        self.store.start()
        for number in range(keyed):
            self.keyed.append(self._start_server(f"ledger-{number}", "ledger", keyed=True))
        for number in range(unkeyed):
            self.unkeyed.append(self._start_server(f"agenda-{number}", "agenda", keyed=False))
        self.publish()
        for number in range(instances):
            self.instances.append(self._start_instance(number))
        for number in range(instances):
            self.wait_until(lambda index=number: self.read_readiness(index) == 200, START_TIMEOUT_S)

    def stop(self) -> None:
        """Kill the instances, after a delay in which they write their logs; stop the stand-ins."""
        time.sleep(LOG_FLUSH_DELAY_S)
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        for server in (*self.keyed, *self.unkeyed):
            server.stop()
        self.store.stop()

    def publish(self, extra_paths: tuple[str, ...] = ()) -> None:
        """Write a newer version of the configuration to the store."""
        self._version += 3
        routes = [
            create_route("ledger", "/ledger/", "ledger", "safe"),
            create_route("agenda", "/agenda/", "agenda", "unsafe"),
            *(create_route(f"extra{path}", path, "agenda", "unsafe") for path in extra_paths),
        ]
        services = [create_service("ledger", sharded=True), create_service("agenda")]
        for service in services:
            service.update(self.service_fields)
        document = {
            "version": f"{self._version:08x}",
            "routes": routes,
            "services": services,
            "limits": {"idle_timeout_s": 15, "max_body_bytes": self._limits.max_body_bytes},
        }
        self.store.put("keyed.op", "config", document)

    def send(self, index: int, method: str, path: str, key: int | None = None) -> Answer:
        """Send one request to a running instance over a new connection."""
        running_instances = [
            instance for instance in self.instances if instance.process.poll() is None
        ]
        connection = self.connect(running_instances[index % len(running_instances)])
        try:
            return send_request(connection, method, path, key)
        finally:
            connection.close()

    def connect(self, instance: InstanceProcess) -> http.client.HTTPConnection:
        """Return a new caller connection to an instance."""
        return http.client.HTTPConnection("127.0.0.1", instance.callers, timeout=10)

    def wait_until_status(
        self,
        index: int,
        method: str,
        path: str,
        status: int,
        *,
        timeout_s: float,
        key: int | None = None,
    ) -> None:
        """Repeat a request until it returns a status."""
        self.wait_until(lambda: self.send(index, method, path, key).status == status, timeout_s)

    def read_readiness(self, index: int) -> int:
        """Return the status of the readiness endpoint; 0 without a response."""
        instance = self.instances[index]
        connection = http.client.HTTPConnection("127.0.0.1", instance.readiness, timeout=2)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status
        return 0

    def find_lessor(self) -> InstanceProcess:
        """Return the instance that the stored ownership table names as lessor."""
        table = json.loads(self.store.read(ownership_tables.TOPIC, ownership_tables.KEY))
        port = table["lessor"]["address"]["port"]
        return next(instance for instance in self.instances if instance.peers == port)

    def kill(self, instance: InstanceProcess) -> None:
        """Kill an instance and wait for its exit."""
        instance.process.kill()
        instance.process.wait()

    def crash_server(self, server: deployment_server.DeploymentServer) -> None:
        """Stop a server of the keyed service and leave its entry in the store."""
        self.keyed.remove(server)
        server.stop()

    def list_executed_requests(self, service: str) -> list[deployment_server.ExecutedRequest]:
        """Return the requests that the servers of a service ran, crashed servers left out."""
        servers = {"ledger": self.keyed, "agenda": self.unkeyed}[service]
        return [executed for server in servers for executed in server.executed_requests]

    def wait_until_held(
        self, timeout_s: float, excluded: deployment_server.DeploymentServer | None = None
    ) -> None:
        """Wait until each sampled key has one holder and the excluded server holds none."""
        holders = [server for server in self.keyed if server is not excluded]

        def is_held() -> bool:
            if excluded is not None and any(excluded.holds(key) for key in SAMPLED_KEYS):
                return False
            return all(self._count_holders(key, holders) == 1 for key in SAMPLED_KEYS)

        self.wait_until(is_held, timeout_s)

    def check_single_holder(self, duration_s: float) -> None:
        """Check throughout a period that each sampled key has exactly one holder."""
        deadline_s = time.monotonic() + duration_s
        while time.monotonic() < deadline_s:
            for key in SAMPLED_KEYS:
                assert self._count_holders(key, self.keyed) == 1
            time.sleep(POLL_INTERVAL_S)

    def _count_holders(self, key: int, servers: list[deployment_server.DeploymentServer]) -> int:
        return sum(server.holds(key) for server in servers)

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline_s, f"condition not met within {timeout_s} s"
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
            memory_mb=self._limits.memory_mb,
            max_fds=self._limits.max_fds,
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
    """Orders on persistent connections to an instance that shuts down.

    Attributes
    ----------
    answered
        Number of orders that got a response.
    failures
        Descriptions of orders that were interrupted, failed, or ran without a response.
    return_code
        Exit status of the instance.
    """

    def __init__(self, deployment: DeploymentHarness, instance: InstanceProcess) -> None:
        self._deployment = deployment
        self._instance = instance
        self.answered = 0
        self.failures: list[str] = []
        self._unread_ids: list[str] = []
        self.return_code: int | None = None

    def run_until_shutdown(self) -> None:
        """Send orders, and SIGTERM after the first 20, until the instance has exited."""
        connections = [self._deployment.connect(self._instance) for _ in range(4)]
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
        run_ids = {
            executed.request_id for executed in self._deployment.list_executed_requests("agenda")
        }
        self.failures.extend(
            f"{request_id} ran" for request_id in self._unread_ids if request_id in run_ids
        )

    def _send(self, connection: http.client.HTTPConnection) -> http.client.HTTPConnection | None:
        """Send one order; return the connection if the instance keeps it open."""
        request_id = uuid.uuid4().hex[:16]
        try:
            answer = send_request(connection, "POST", "/agenda/visit", None, request_id)
        except (ConnectionRefusedError, http.client.RemoteDisconnected, ConnectionResetError):
            # The instance may have closed the connection before it read the order; then no
            # server may run it.
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
    """Send one request on a connection and return its response."""
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


def create_route(name: str, prefix: str, service: str, route_type: str) -> dict[str, object]:
    """Return a route in the form that the operator writes."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "type": route_type,
        "timeout_s": 3.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


def create_service(name: str, *, sharded: bool = False) -> dict[str, object]:
    """Return a service in the form that the operator writes."""
    service: dict[str, object] = {"name": name, "health_check": "/healthz", "max_conns": 100}
    if sharded:
        service["sharded"] = True
    return service
