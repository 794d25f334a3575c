"""Runs a system of separate processes, for tests, demonstrations and benchmarks."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import signal
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import urllib3

from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import settings
from goldcresthall.encoding import documents
from goldcresthall_stand_ins import __main__ as stand_in_main
from goldcresthall_stand_ins import backend
from goldcresthall_stand_ins import platform

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
STATUS_OK = 200

_RESERVED_SOCKETS: list[socket.socket] = []


class FleetError(Exception):
    """A URL or port did not respond in time, or a control request was refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterProcess:
    """A running router instance."""

    settings: settings.Settings
    process: subprocess.Popen[bytes]

    @property
    def callers_url(self) -> str:
        """Base URL of the callers' front end."""
        return f"http://{self.settings.listen.callers}"

    @property
    def admin_url(self) -> str:
        """Base URL of the operators' front end."""
        return f"http://{self.settings.listen.admin}"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendProcess:
    """A running process that hosts backend servers."""

    configs: tuple[backend.BackendConfig, ...]
    process: subprocess.Popen[bytes]


def reserve_port() -> int:
    """Return a free port that stays reserved for the life of this process.

    The socket that stays bound to it keeps the kernel from assigning the port to
    another process as the source of a connection. A listener that sets SO_REUSEADDR
    can still bind it, also again after a restart.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    _RESERVED_SOCKETS.append(reservation)
    return int(reservation.getsockname()[1])


class Fleet:
    """The platform, router instances and backend servers, each a separate process.

    Parameters
    ----------
    folder
        Folder for settings, logs and effects files.
    program
        Command that runs the router's command line; by default its module in this interpreter.
    """

    def __init__(self, folder: pathlib.Path, program: tuple[str, ...] = ()) -> None:
        self._folder = folder
        self._program = program or (sys.executable, "-m", "goldcresthall")
        self._pool = urllib3.PoolManager(num_pools=200, maxsize=4, retries=False)
        self._platform_address = identity.Address(HOST, reserve_port())
        self._processes: list[subprocess.Popen[bytes]] = []
        self._routers: dict[str, RouterProcess] = {}

    @property
    def routers(self) -> tuple[RouterProcess, ...]:
        """Router instances that were started and not killed through the fleet."""
        return tuple(self._routers.values())

    def start_platform(self) -> subprocess.Popen[bytes]:
        """Start the platform and wait until it responds."""
        address = self._platform_address
        process = self._start_stand_in("platform", "--port", str(address.port), name="platform")
        self.wait_until_ok(f"http://{address}/instances")
        return process

    def start_backends(self, configs: tuple[backend.BackendConfig, ...]) -> BackendProcess:
        """Start one process that hosts backend servers and wait until they respond."""
        name = f"backends-{configs[0].name}"
        configs = tuple(
            dataclasses.replace(config, effects_file=str(self._get_effects_path(config)))
            for config in configs
        )
        path = self._folder / f"{name}.json"
        path.write_text(documents.encode_document(stand_in_main.BackendFile(configs)))
        process = self._start_stand_in("backends", str(path), name=name)
        for config in configs:
            self.wait_until_ok(f"http://{config.host}:{config.port}/control/effects")
        return BackendProcess(configs, process)

    def create_settings(self, name: str, failure_domain: str) -> settings.Settings:
        """Return default settings of an instance, with reserved ports."""
        return settings.Settings(
            name=name,
            failure_domain=failure_domain,
            listen=settings.ListenSettings(
                callers=identity.Address(HOST, reserve_port()),
                peers=identity.Address(HOST, reserve_port()),
                admin=identity.Address(HOST, reserve_port()),
            ),
            platform=settings.PlatformSettings(
                log=self._platform_address, instance_list=self._platform_address
            ),
        )

    def start_router(self, instance_settings: settings.Settings) -> RouterProcess:
        """Start a router instance, wait until it responds and add it to the instance list."""
        path = self._folder / f"{instance_settings.name}.json"
        path.write_text(documents.encode_document(instance_settings))
        process = self._start((*self._program, "router", str(path)), instance_settings.name)
        router = RouterProcess(instance_settings, process)
        self.wait_until_ok(f"{router.admin_url}/healthz")
        self._wait_until_listening(instance_settings.listen.callers)
        self._routers[instance_settings.name] = router
        self.publish_instance_list()
        return router

    def publish_instance_list(self) -> None:
        """Replace the platform's instance list with the instances in `routers`, all as live."""
        self._control_platform("instances", platform.InstanceListDocument(self._list_entries()))

    def _list_entries(self) -> tuple[identity.InstanceEntry, ...]:
        return tuple(
            identity.InstanceEntry(
                router.settings.name,
                router.settings.failure_domain,
                router.settings.listen.peers,
                identity.InstanceStatus.LIVE,
            )
            for router in self.routers
        )

    def publish_leaving_server(self, config: backend.BackendConfig) -> None:
        """Publish an instance list that marks a backend server as leaving."""
        leaving = identity.InstanceEntry(
            config.name,
            "",
            identity.Address(config.host, config.port),
            identity.InstanceStatus.LEAVING,
            identity.InstanceRole.BACKEND_SERVER,
        )
        document = platform.InstanceListDocument((*self._list_entries(), leaving))
        self._control_platform("instances", document)

    def inject_platform_faults(self, faults: platform.PlatformFaults) -> None:
        """Replace the faults injected into the platform."""
        self._control_platform("misbehave", faults)

    def expire_log(self, before: int) -> None:
        """Expire the log entries below an offset."""
        self._post(f"http://{self._platform_address}/control/expire?before={before}", None)

    def append_raw(self, entry: bytes) -> None:
        """Append unvalidated bytes to the log, as a faulty writer would."""
        url = f"http://{self._platform_address}/control/append"
        response = self._pool.request("POST", url, body=entry, timeout=START_TIMEOUT_S)
        if response.status != STATUS_OK:
            raise FleetError(f"{url}: status {response.status}")

    def inject_backend_faults(
        self, config: backend.BackendConfig, faults: backend.BackendFaults
    ) -> None:
        """Replace the faults injected into one backend server."""
        self._post(f"http://{config.host}:{config.port}/control/misbehave", faults)

    def read_effects(self, config: backend.BackendConfig) -> tuple[backend.Effect, ...]:
        """Return the effects of a backend server, also after its process has ended."""
        path = self._get_effects_path(config)
        lines = path.read_bytes().splitlines() if path.exists() else []
        return tuple(documents.decode_document(line, backend.Effect) for line in lines)

    def kill(self, process: subprocess.Popen[bytes], signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to one of the fleet's processes; after SIGKILL wait for its exit."""
        process.send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            process.wait(STOP_TIMEOUT_S)
        for name, router in list(self._routers.items()):
            if router.process is process and signal_number == signal.SIGKILL:
                del self._routers[name]

    def wait_until_ok(self, url: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a URL returns status 200.

        Raises
        ------
        FleetError
            If it does not within the timeout.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._pool.request("GET", url, timeout=1.0).status == STATUS_OK:
                    return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{url} did not return status 200 within {timeout_s} s")

    def _wait_until_listening(self, address: identity.Address) -> None:
        # The operators' front end responds before the callers' front end listens.
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError):
                socket.create_connection((address.host, address.port), START_TIMEOUT_S).close()
                return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{address} did not listen within {START_TIMEOUT_S} s")

    def stop(self) -> None:
        """Stop every process that was started through the fleet."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in reversed(self._processes):
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(STOP_TIMEOUT_S)

    def _get_effects_path(self, config: backend.BackendConfig) -> pathlib.Path:
        return self._folder / f"{config.name}.effects"

    def _start_stand_in(self, *arguments: str, name: str) -> subprocess.Popen[bytes]:
        command = (sys.executable, "-m", "goldcresthall_stand_ins", *arguments)
        return self._start(command, name)

    def _start(self, command: tuple[str, ...], name: str) -> subprocess.Popen[bytes]:
        search_path = os.pathsep.join(path for path in sys.path if path)
        environment = os.environ | {"PYTHONPATH": search_path}
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(  # noqa: S603
                command, stdout=log, stderr=log, env=environment
            )
        self._processes.append(process)
        return process

    def _control_platform(self, control: str, document: object) -> None:
        self._post(f"http://{self._platform_address}/control/{control}", document)

    def _post(self, url: str, document: object) -> None:
        body = documents.encode_document(document).encode()
        response = self._pool.request("POST", url, body=body, timeout=START_TIMEOUT_S)
        if response.status != STATUS_OK:
            raise FleetError(f"{url}: status {response.status}")


def create_backend_configs(
    service: str, count: int, *, keyed: bool
) -> tuple[backend.BackendConfig, ...]:
    """Return configurations of a service's backend servers, with reserved ports."""
    return tuple(
        backend.BackendConfig(
            name=f"{service}-{number}",
            service=service,
            host=HOST,
            port=reserve_port(),
            keyed=keyed,
        )
        for number in range(1, count + 1)
    )


def create_service_policy(
    configs: tuple[backend.BackendConfig, ...],
    domains: tuple[str, ...],
    routes: tuple[preset.Route, ...] = (),
    partitions: int = 32,
) -> preset.ServicePolicy:
    """Return the policy of a service, its servers spread round robin over failure domains."""
    servers = tuple(
        preset.BackendServer(
            name=config.name,
            address=identity.Address(config.host, config.port),
            failure_domain=domains[index % len(domains)],
        )
        for index, config in enumerate(configs)
    )
    return preset.ServicePolicy(
        name=configs[0].service,
        keyed=configs[0].keyed,
        checks_grants=configs[0].checks_grants,
        servers=servers,
        routes=routes,
        partitions=partitions,
    )


@contextlib.contextmanager
def run_fleet(folder: pathlib.Path, program: tuple[str, ...] = ()) -> Iterator[Fleet]:
    """Yield a fleet and stop all its processes afterwards."""
    fleet = Fleet(folder, program)
    try:
        yield fleet
    finally:
        fleet.stop()
