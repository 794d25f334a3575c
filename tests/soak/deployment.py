"""A deployment of real processes on loopback, connected through fault-injecting proxies."""

from __future__ import annotations

import dataclasses
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import deployment_server
from goldcresthall_stand_ins import fleet
from goldcresthall_stand_ins import restorable_store

from goldcresthall.ranges import ownership_tables
from tests.features import deployment_system
from tests.soak import callers
from tests.soak import invariants
from tests.soak import proxy

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
REQUEST_WORK_S = 0.02
CALLER_COUNT = 8
# Each instance holds some connections with long polls.
STORE_THREADS = 256
SAMPLED_KEYS = range(0, 65_536, 2_048)

LIMITS = deployment_system.Limits()
FIRST_START = "bootstrap = true\n"


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Numbers of instances, keyed servers and unkeyed servers."""

    instances: int = 3
    keyed: int = 4
    unkeyed: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SoakServer:
    """A server and the proxy through which instances connect to it."""

    server: deployment_server.DeploymentServer
    proxy: proxy.Proxy


class SoakInstance:
    """A router instance that can be restarted with the same name and ports."""

    def __init__(self, folder: pathlib.Path, number: int, store_proxy: proxy.Proxy) -> None:
        self.store_proxy = store_proxy
        self.caller_port, self.readiness_port, self.peer_port, self._admin_port = (
            fleet.reserve_port() for _ in range(4)
        )
        self._settings_file = folder / f"instance-{number}.toml"
        self._settings = deployment_system.SETTINGS_TEMPLATE.format(
            name=f"instance-{number}",
            callers=self.caller_port,
            readiness=self.readiness_port,
            peers=self.peer_port,
            admin=self._admin_port,
            store=store_proxy.port,
            memory_mb=LIMITS.memory_mb,
            max_fds=LIMITS.max_fds,
        )
        self._settings_file.write_text(f"{FIRST_START}{self._settings}")
        self._log_file = folder / f"instance-{number}.log"
        self._lock = threading.Lock()
        self.process = self._start()

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process.poll() is None

    def restart(self, previous: subprocess.Popen[bytes]) -> None:
        """Wait until `previous` has exited; start a new process unless another fault did so."""
        previous.wait()
        with self._lock:
            if self.process is previous:
                self._settings_file.write_text(self._settings)
                self.process = self._start()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(signal_number)

    def is_ready(self) -> bool:
        """Return whether the readiness check of a load balancer would succeed."""
        connection = http.client.HTTPConnection("127.0.0.1", self.readiness_port, timeout=1.0)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == invariants.STATUS_OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _start(self) -> subprocess.Popen[bytes]:
        command = (
            sys.executable,
            "-m",
            "goldcresthall",
            "router",
            "--deployment",
            str(self._settings_file),
        )
        search_path = os.pathsep.join(path for path in sys.path if path)
        with self._log_file.open("ab") as log:
            return subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | {"PYTHONPATH": search_path},
            )


class SoakDeployment:
    """Runs the store, servers, instances and callers of one soak run."""

    def __init__(
        self, folder: pathlib.Path, size: DeploymentSize, generator: random.Random
    ) -> None:
        self.checker = invariants.InvariantChecker()
        self.store = restorable_store.RestorableStore(threads=STORE_THREADS)
        self.keyed: list[SoakServer] = []
        self.unkeyed: list[SoakServer] = []
        self.instances: list[SoakInstance] = []
        self._removed: list[SoakServer] = []
        self._folder = folder
        self._size = size
        self._generator = generator
        self._lock = threading.RLock()
        self._version = 1
        self._server_count = 0
        self._callers: list[callers.Caller] = []

    def start(self) -> None:
        """Start all processes and callers; wait until instances are ready and keys have owners."""
        self.store.start()
        for _ in range(self._size.keyed):
            self.add_server("ledger")
        for _ in range(self._size.unkeyed):
            self.add_server("agenda")
        self.publish()
        for number in range(self._size.instances):
            store_proxy = proxy.Proxy(self.store.port)
            self.instances.append(SoakInstance(self._folder, number, store_proxy))
        self.wait_until(self.has_converged, START_TIMEOUT_S, "converged at the start")
        for _ in range(CALLER_COUNT):
            caller = callers.Caller(
                self.list_ports, self.checker, random.Random(self._generator.random())
            )
            caller.start()
            self._callers.append(caller)

    def stop_callers(self) -> None:
        """Stop the callers and check their results against the requests that the servers ran."""
        for caller in self._callers:
            caller.stop()
        for service in ("ledger", "agenda"):
            runs = [
                run
                for soak_server in self._list_servers(service)
                for run in soak_server.server.executed_requests
            ]
            self.checker.check_executions(
                service, runs if service == "agenda" else _drop_repeated_runs(runs)
            )

    def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            instance.process.wait()
            instance.store_proxy.stop()
        for soak_server in (*self.keyed, *self.unkeyed):
            soak_server.server.stop()
            soak_server.proxy.stop()
        self.store.stop()

    def is_serving(self, name: str) -> bool:
        """Return whether a server runs and has not left."""
        return any(
            soak_server.server.name == name and not self.checker.is_leaving(soak_server.server)
            for soak_server in (*self.keyed, *self.unkeyed)
        )

    def list_ports(self) -> tuple[int, ...]:
        """Return the caller ports of the running instances."""
        return tuple(instance.caller_port for instance in self.instances if instance.is_running)

    def add_server(self, service: str) -> None:
        """Start a server of a service and register it."""
        with self._lock:
            self._server_count += 1
            name = f"{service}-{self._server_count}"
        is_keyed = service == "ledger"
        server = deployment_server.DeploymentServer(
            self.store,
            name,
            service,
            keyed=is_keyed,
            work_s=REQUEST_WORK_S,
            on_grant=self.checker.record_grant,
        )
        server.start()
        soak_server = SoakServer(server, proxy.Proxy(server.port))
        self.checker.add_server(server)
        with self._lock:
            (self.keyed if is_keyed else self.unkeyed).append(soak_server)
        server.register(port=soak_server.proxy.port)

    def remove_server(self, soak_server: SoakServer) -> None:
        """Stop a server immediately; its entry in the store stays until it is unregistered.

        Raises
        ------
        ValueError
            If another fault has removed the server already.
        """
        self.checker.remove_server(soak_server.server)
        with self._lock:
            for pool in (self.keyed, self.unkeyed):
                if soak_server in pool:
                    pool.remove(soak_server)
            self._removed.append(soak_server)
        soak_server.proxy.stop()
        soak_server.server.stop()

    def find_lessor(self) -> SoakInstance | None:
        """Return the instance that the stored ownership table names as lessor, if there is one."""
        stored = self.store.read(ownership_tables.TOPIC, ownership_tables.KEY)
        lessor = json.loads(stored)["lessor"] if stored else None
        port = None if lessor is None else lessor["address"]["port"]
        return next((found for found in self.instances if found.peer_port == port), None)

    def publish(self) -> int:
        """Write the next configuration, with a route that names its version; return the version."""
        with self._lock:
            self._version += 3
            version = self._version
        routes = [
            deployment_system.create_route("ledger", "/ledger/", "ledger", "safe"),
            deployment_system.create_route("agenda", "/agenda/", "agenda", "unsafe"),
            deployment_system.create_route("latest", f"/v{version}/", "agenda", "unsafe"),
        ]
        services = [
            deployment_system.create_service("ledger", sharded=True),
            deployment_system.create_service("agenda"),
        ]
        document = {
            "version": f"{version:08x}",
            "routes": routes,
            "services": services,
            "limits": {"idle_timeout_s": 15},
        }
        self.store.put("keyed.op", "config", document)
        return version

    def has_converged(self) -> bool:
        """Return whether all instances are ready and each sampled key has exactly one owner."""
        if not all(instance.is_running and instance.is_ready() for instance in self.instances):
            return False
        servers = [soak_server.server for soak_server in self.keyed]
        return all(sum(server.holds(key) for server in servers) == 1 for key in SAMPLED_KEYS)

    def serves_latest_configuration(self) -> bool:
        """Return whether each instance serves keys and the newest route of the configuration."""
        for instance in self.instances:
            for method, path, key in (
                ("POST", f"/v{self._version}/item", None),
                ("GET", "/ledger/item", self._generator.randrange(65_536)),
            ):
                if self._request_status(instance, method, path, key) != invariants.STATUS_OK:
                    return False
        return True

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float, expected_state: str
    ) -> None:
        """Wait until a condition holds; record a violation if it does not within the timeout."""
        ends_at_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends_at_s:
                self.checker.record_violation(
                    "recovery", f"not {expected_state} within {timeout_s} s"
                )
                return
            time.sleep(POLL_INTERVAL_S)

    def _request_status(
        self, instance: SoakInstance, method: str, path: str, key: int | None
    ) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", instance.caller_port, timeout=5.0)
        try:
            return deployment_system.send_request(connection, method, path, key).status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _list_servers(self, service: str) -> list[SoakServer]:
        with self._lock:
            servers = (*self.keyed, *self.unkeyed, *self._removed)
        return [
            soak_server for soak_server in servers if soak_server.server.name.startswith(service)
        ]


def _drop_repeated_runs(
    runs: list[deployment_server.ExecutedRequest],
) -> list[deployment_server.ExecutedRequest]:
    """Return one run of each request, because idempotent requests may run again."""
    return list({run.request_id: run for run in runs}.values())
