"""The system under test: a platform, router instances and backend servers as processes."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

import urllib3
from goldcresthall_stand_ins import fleet as fleets

from bench import policies
from bench import users
from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.encoding import documents

if TYPE_CHECKING:
    import pathlib
    import signal
    import subprocess
    from collections.abc import Iterator

    from goldcresthall_stand_ins import backend

    from goldcresthall.core import preset

READINESS_TIMEOUT_S = 30.0
READINESS_POLL_INTERVAL_S = 0.05
STATUS_OK = 200


class SystemNotReadyError(Exception):
    """Not every instance answered requests of every service in time."""


class RunningSystem:
    """The processes of one run under one policy.

    Servers in `isolated_servers` get a process of their own; all others of a failure domain
    share one.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        scaled: users.ScaledPreset,
        policy: policies.Policy,
        isolated_servers: frozenset[str],
    ) -> None:
        self._fleet = fleet
        self._isolated_servers = isolated_servers
        self._scaled = scaled
        self._policy = policy
        self._domain_processes: dict[str, subprocess.Popen[bytes]] = {}
        self._server_processes: dict[str, subprocess.Popen[bytes]] = {}
        self._pool = urllib3.PoolManager(retries=False)

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """Base URL of each running router instance."""
        return tuple(router.callers_url for router in self._fleet.routers)

    @property
    def router_process_ids(self) -> tuple[int, ...]:
        """Process IDs of the running router instances."""
        return tuple(router.process.pid for router in self._fleet.routers)

    def start(self, router_count: int) -> None:
        """Start all processes and wait until each instance answers requests of each service."""
        self._fleet.start_platform()
        domains = self._scaled.list_domains()
        for domain in domains:
            self._start_domain(domain)
        for number in range(1, router_count + 1):
            domain = domains[(number - 1) % len(domains)]
            self._fleet.start_router(self._fleet.create_settings(f"entry-{number}", domain))
        if policies.uses_published_preset(self._policy):
            self._publish()
        self._wait_until_ready()

    def misbehave(self, server: str, backend_faults: backend.BackendFaults) -> None:
        """Replace the injected faults of one backend server."""
        self._fleet.inject_backend_faults(self._scaled.find_backend(server), backend_faults)

    def signal_server(self, server: str, signal_number: signal.Signals) -> None:
        """Send a signal to a backend server that runs in a process of its own."""
        self._fleet.kill(self._server_processes[server], signal_number)

    def kill_domain(self, domain: str) -> None:
        """Kill the backend servers and router instances of a failure domain."""
        self._fleet.kill(self._domain_processes[domain])
        for config in self._scaled.list_backends_in(domain):
            if config.name in self._server_processes:
                self._fleet.kill(self._server_processes[config.name])
        for router in self._fleet.routers:
            if router.settings.failure_domain == domain:
                self._fleet.kill(router.process)

    def _start_domain(self, domain: str) -> None:
        configs = self._scaled.list_backends_in(domain)
        grouped = tuple(config for config in configs if config.name not in self._isolated_servers)
        self._domain_processes[domain] = self._fleet.start_backends(grouped).process
        for config in configs:
            if config.name in self._isolated_servers:
                self._server_processes[config.name] = self._fleet.start_backends((config,)).process

    def _publish(self) -> None:
        address = str(self._fleet.routers[0].settings.listen.admin)
        request = messages.PublishRequest("bench", "experiment", self._scaled.preset)
        admin_client.AdminClient(address).publish(request)

    def _wait_until_ready(self) -> None:
        ends_at_s = time.monotonic() + READINESS_TIMEOUT_S
        for url in self.caller_urls:
            for policy in self._scaled.preset.services:
                for number in range(4):
                    self._wait_until_answered(
                        f"{url}{_create_probe_path(policy, number)}", ends_at_s
                    )

    def _wait_until_answered(self, url: str, ends_at_s: float) -> None:
        while time.monotonic() < ends_at_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._pool.request("GET", url, timeout=5.0).status == STATUS_OK:
                    return
            time.sleep(READINESS_POLL_INTERVAL_S)
        raise SystemNotReadyError(url)


def _create_probe_path(policy: preset.ServicePolicy, number: int) -> str:
    route = next(route for route in policy.routes if route.method == "GET")
    path = route.path
    for pattern in ("{key}", "{any}", "*"):
        path = path.replace(pattern, f"probe-{number}")
    return f"/{policy.name}{path}?work_ms=1"


@contextlib.contextmanager
def run_system(
    folder: pathlib.Path,
    scaled: users.ScaledPreset,
    policy: policies.Policy,
    *,
    router_count: int,
    seed: int,
    isolated_servers: frozenset[str] = frozenset(),
) -> Iterator[RunningSystem]:
    """Yield a running system and terminate all its processes afterwards."""
    preset_file = folder / "preset.json"
    preset_file.write_text(documents.encode_document(scaled.preset))
    program = policies.create_router_command(policy, preset_file, seed)
    with fleets.run_fleet(folder, program) as fleet:
        running = RunningSystem(fleet, scaled, policy, isolated_servers)
        running.start(router_count)
        yield running
