"""Starts a whole system as separate processes, for tests, demonstrations and trials."""

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

_RESERVATIONS: list[socket.socket] = []


class FleetError(Exception):
    """A process did not come up, or a control was refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterProcess:
    """A running router instance."""

    settings: settings.Settings
    process: subprocess.Popen[bytes]

    @property
    def callers_url(self) -> str:
        """Base address for callers."""
        return f"http://{self.settings.listen.callers}"

    @property
    def admin_url(self) -> str:
        """Base address for operators."""
        return f"http://{self.settings.listen.admin}"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendProcess:
    """A running process that hosts backend servers."""

    configs: tuple[backend.BackendConfig, ...]
    process: subprocess.Popen[bytes]


def reserve_port() -> int:
    """Return a port that the kernel says is free.

    It stays reserved while this process lives: the kernel gives it to no other
    process as the source of a connection, yet a listener that reuses addresses
    may take it, also again after a restart.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    _RESERVATIONS.append(reservation)
    return int(reservation.getsockname()[1])


class Fleet:
    """A platform, router instances and backend servers, each its own process.

    Parameters
    ----------
    folder
        Where settings and logs are written.
    program
        Command that runs the router's command line; the source tree's by default.
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
        """Router instances started and not ended through the fleet."""
        return tuple(self._routers.values())

    def start_platform(self) -> subprocess.Popen[bytes]:
        """Start the platform and wait until it answers."""
        address = self._platform_address
        process = self._start_stand_in("platform", "--port", str(address.port), name="platform")
        self.wait_until_ok(f"http://{address}/instances")
        return process

    def start_backends(self, configs: tuple[backend.BackendConfig, ...]) -> BackendProcess:
        """Start one process that hosts backend servers and wait until they answer."""
        name = f"backends-{configs[0].name}"
        configs = tuple(
            dataclasses.replace(config, effects_file=str(self._find_effects_file(config)))
            for config in configs
        )
        path = self._folder / f"{name}.json"
        path.write_text(documents.encode_document(stand_in_main.BackendFile(configs)))
        process = self._start_stand_in("backends", str(path), name=name)
        for config in configs:
            self.wait_until_ok(f"http://{config.host}:{config.port}/control/effects")
        return BackendProcess(configs, process)

    def create_settings(self, name: str, failure_domain: str) -> settings.Settings:
        """Return settings of an instance with free ports and all defaults."""
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
        """Start a router instance, wait until it answers and list it with the platform."""
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
        """Tell the platform's list which instances there are."""
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
        """Tell the platform's list that a backend server is leaving."""
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
        """Tell the platform to misbehave."""
        self._control_platform("misbehave", faults)

    def expire_log(self, before: int) -> None:
        """Let the log forget its entries below an offset."""
        self._post(f"http://{self._platform_address}/control/expire?before={before}", None)

    def append_raw(self, entry: bytes) -> None:
        """Append an entry to the log as a faulty writer would."""
        url = f"http://{self._platform_address}/control/append"
        response = self._pool.request("POST", url, body=entry, timeout=START_TIMEOUT_S)
        if response.status != STATUS_OK:
            raise FleetError(f"{url}: status {response.status}")

    def inject_backend_faults(
        self, config: backend.BackendConfig, faults: backend.BackendFaults
    ) -> None:
        """Tell one backend server to misbehave."""
        self._post(f"http://{config.host}:{config.port}/control/misbehave", faults)

    def read_effects(self, config: backend.BackendConfig) -> tuple[backend.Effect, ...]:
        """Return the work that a backend server ran, also if it runs no more."""
        path = self._find_effects_file(config)
        lines = path.read_bytes().splitlines() if path.exists() else []
        return tuple(documents.decode_document(line, backend.Effect) for line in lines)

    def kill(self, process: subprocess.Popen[bytes], number: int = signal.SIGKILL) -> None:
        """Send a signal to one of the fleet's processes; SIGKILL is awaited."""
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait(STOP_TIMEOUT_S)
        for name, router in list(self._routers.items()):
            if router.process is process and number == signal.SIGKILL:
                del self._routers[name]

    def wait_until_ok(self, url: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until an address answers with status 200.

        Raises
        ------
        FleetError
            If it does not in time.
        """
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._pool.request("GET", url, timeout=1.0).status == STATUS_OK:
                    return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{url} did not answer in {timeout_s} s")

    def _wait_until_listening(self, address: identity.Address) -> None:
        # The operators' front end answers a moment before the callers' one listens.
        ends_at_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at_s:
            with contextlib.suppress(OSError):
                socket.create_connection((address.host, address.port), START_TIMEOUT_S).close()
                return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{address} did not listen in {START_TIMEOUT_S} s")

    def stop(self) -> None:
        """End every process that was started here."""
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

    def _find_effects_file(self, config: backend.BackendConfig) -> pathlib.Path:
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
    """Return backend servers of one service on free ports."""
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
    """Return the policy of a service, its servers dealt out over failure domains."""
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
    """Yield a fleet whose processes are all ended afterwards."""
    fleet = Fleet(folder, program)
    try:
        yield fleet
    finally:
        fleet.stop()
