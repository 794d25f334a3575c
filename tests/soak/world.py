"""A deployment of real processes on loopback whose connections go through proxies."""

from __future__ import annotations

import dataclasses
import http.client
import os
import random
import signal
import subprocess
import sys
import threading
import time
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import deployment_server
from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins import fleet

from tests.features import deployment_system
from tests.soak import callers
from tests.soak import observer
from tests.soak import proxy

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

START_TIMEOUT_S = 60.0
POLL_S = 0.02
WORK_S = 0.02
CALLERS = 8
KEYS = range(0, 65_536, 2_048)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How many of each there are."""

    instances: int = 3
    keyed: int = 4
    plain: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SoakServer:
    """A server and the proxy through which instances reach it."""

    server: deployment_server.DeploymentServer
    proxy: proxy.Proxy


class SoakInstance:
    """A router instance that is started again under the same name and ports."""

    def __init__(self, folder: pathlib.Path, number: int, store: proxy.Proxy) -> None:
        self.store = store
        self.callers, self.readiness, self._peers, self._admin = (
            fleet.reserve_port() for _ in range(4)
        )
        self._settings = folder / f"instance-{number}.toml"
        self._settings.write_text(
            deployment_system.SETTINGS_TEMPLATE.format(
                name=f"instance-{number}",
                callers=self.callers,
                readiness=self.readiness,
                peers=self._peers,
                admin=self._admin,
                store=store.port,
            )
        )
        self._log = folder / f"instance-{number}.log"
        self._lock = threading.Lock()
        self.process = self._start()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def replace(self, ended: subprocess.Popen[bytes]) -> None:
        """Start the process again once it has ended, unless another fault has done so."""
        ended.wait()
        with self._lock:
            if self.process is ended:
                self.process = self._start()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.is_running:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the balancer would send callers to it."""
        connection = http.client.HTTPConnection("127.0.0.1", self.readiness, timeout=1.0)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == observer.OK
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
            str(self._settings),
        )
        search_path = os.pathsep.join(path for path in sys.path if path)
        with self._log.open("ab") as log:
            return subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | {"PYTHONPATH": search_path},
            )


class SoakWorld:
    """Starts, watches and ends everything; faults act on its parts."""

    def __init__(self, folder: pathlib.Path, size: Size, generator: random.Random) -> None:
        self.seen = observer.Observer()
        self.store = deployment_store.StoreStandIn(threads=96)
        self.keyed: list[SoakServer] = []
        self.plain: list[SoakServer] = []
        self.instances: list[SoakInstance] = []
        self._gone: list[SoakServer] = []
        self._folder = folder
        self._size = size
        self._generator = generator
        self._lock = threading.RLock()
        self._version = 1
        self._names = 0
        self._callers: list[callers.Caller] = []

    def start(self) -> None:
        """Start everything and wait until all instances are ready and all keys are held."""
        self.store.start()
        for _ in range(self._size.keyed):
            self.add_server("ledger")
        for _ in range(self._size.plain):
            self.add_server("agenda")
        self.publish()
        for number in range(self._size.instances):
            way = proxy.Proxy(self.store.port)
            self.instances.append(SoakInstance(self._folder, number, way))
        self.await_true(self.is_whole, START_TIMEOUT_S, "whole at the start")
        for _ in range(CALLERS):
            caller = callers.Caller(
                self.list_ports, self.seen, random.Random(self._generator.random())
            )
            caller.start()
            self._callers.append(caller)

    def stop_callers(self) -> None:
        """End the callers and check what the servers ran against what they were told."""
        for caller in self._callers:
            caller.stop()
        for service in ("ledger", "agenda"):
            runs = [
                run for item in self._list_all(service) for run in item.server.executed_requests
            ]
            self.seen.check_runs(service, runs if service == "agenda" else _drop_repeats(runs))

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            instance.process.wait()
            instance.store.stop()
        for item in (*self.keyed, *self.plain):
            item.server.stop()
            item.proxy.stop()
        self.store.stop()

    def list_ports(self) -> tuple[int, ...]:
        """Return the ports at which callers may connect."""
        return tuple(instance.callers for instance in self.instances if instance.is_running)

    def add_server(self, service: str) -> None:
        """Start a server of a service and register it."""
        with self._lock:
            self._names += 1
            name = f"{service}-{self._names}"
        is_keyed = service == "ledger"
        server = deployment_server.DeploymentServer(
            self.store,
            name,
            service,
            keyed=is_keyed,
            work_s=WORK_S,
            on_grant=self.seen.note_grant,
        )
        server.start()
        started = SoakServer(server, proxy.Proxy(server.port))
        self.seen.add_server(server)
        with self._lock:
            (self.keyed if is_keyed else self.plain).append(started)
        server.register(port=started.proxy.port)

    def remove_server(self, item: SoakServer) -> None:
        """End a server at once; its entry stays until it is taken out.

        Raises
        ------
        ValueError
            If another fault has taken the server already.
        """
        self.seen.remove_server(item.server)
        with self._lock:
            for listed in (self.keyed, self.plain):
                if item in listed:
                    listed.remove(item)
            self._gone.append(item)
        item.proxy.stop()
        item.server.stop()

    def publish(self) -> int:
        """Write the next configuration, with a route of its own; return its version."""
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

    def is_whole(self) -> bool:
        """Return whether all instances are ready and each sampled key has one holder."""
        if not all(instance.is_running and instance.is_ready() for instance in self.instances):
            return False
        servers = [item.server for item in self.keyed]
        return all(sum(server.holds(key) for server in servers) == 1 for key in KEYS)

    def serves_latest(self) -> bool:
        """Return whether each instance serves keys and the route of the latest configuration."""
        for instance in self.instances:
            for method, path, key in (
                ("POST", f"/v{self._version}/item", None),
                ("GET", "/ledger/item", self._generator.randrange(65_536)),
            ):
                if self._ask(instance, method, path, key) != observer.OK:
                    return False
        return True

    def await_true(self, condition: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait for a condition; it is a violation if it does not come true in time."""
        ends_at_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > ends_at_s:
                self.seen.report("recovery", f"not {what} within {within_s} s")
                return
            time.sleep(POLL_S)

    def _ask(self, instance: SoakInstance, method: str, path: str, key: int | None) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", instance.callers, timeout=5.0)
        try:
            return deployment_system.send_request(connection, method, path, key).status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _list_all(self, service: str) -> list[SoakServer]:
        with self._lock:
            everything = (*self.keyed, *self.plain, *self._gone)
        return [item for item in everything if item.server.name.startswith(service)]


def _drop_repeats(
    runs: list[deployment_server.ExecutedRequest],
) -> list[deployment_server.ExecutedRequest]:
    """Return one run of each request: idempotent ones may run again."""
    return list({run.request_id: run for run in runs}.values())
