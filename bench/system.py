"""The system under load: a platform, router instances and backend servers as processes."""

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

READY_TIMEOUT_S = 30.0
POLL_S = 0.05
STATUS_OK = 200


class SystemNotReadyError(Exception):
    """A service was not answered by every instance in time."""


class RunningSystem:
    """The processes of one run under one policy."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        scaled: users.Scaled,
        policy: policies.Policy,
        alone: frozenset[str],
    ) -> None:
        self._fleet = fleet
        self._alone = alone
        self._scaled = scaled
        self._policy = policy
        self._domains: dict[str, subprocess.Popen[bytes]] = {}
        self._servers: dict[str, subprocess.Popen[bytes]] = {}
        self._pool = urllib3.PoolManager(retries=False)

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """Base address of each router instance that was started and not lost."""
        return tuple(router.callers_url for router in self._fleet.routers)

    @property
    def router_process_ids(self) -> tuple[int, ...]:
        """Process identifiers of the router instances."""
        return tuple(router.process.pid for router in self._fleet.routers)

    def start(self, router_count: int) -> None:
        """Start everything and wait until each instance answers for each service."""
        self._fleet.start_platform()
        domains = self._scaled.list_domains()
        for domain in domains:
            self._start_domain(domain)
        for number in range(1, router_count + 1):
            domain = domains[(number - 1) % len(domains)]
            self._fleet.start_router(self._fleet.create_settings(f"entry-{number}", domain))
        if policies.needs_publication(self._policy):
            self._publish()
        self._wait_ready()

    def misbehave(self, server: str, misbehavior: backend.BackendFaults) -> None:
        """Tell one backend server to misbehave."""
        self._fleet.inject_backend_faults(self._scaled.find_backend(server), misbehavior)

    def signal_server(self, server: str, number: signal.Signals) -> None:
        """Send a signal to a backend server that has a process of its own."""
        self._fleet.kill(self._servers[server], number)

    def lose_domain(self, domain: str) -> None:
        """Kill a failure domain's backend servers and router instances."""
        self._fleet.kill(self._domains[domain])
        for config in self._scaled.list_in_domain(domain):
            if config.name in self._servers:
                self._fleet.kill(self._servers[config.name])
        for router in self._fleet.routers:
            if router.settings.failure_domain == domain:
                self._fleet.kill(router.process)

    def _start_domain(self, domain: str) -> None:
        configs = self._scaled.list_in_domain(domain)
        together = tuple(config for config in configs if config.name not in self._alone)
        self._domains[domain] = self._fleet.start_backends(together).process
        for config in configs:
            if config.name in self._alone:
                self._servers[config.name] = self._fleet.start_backends((config,)).process

    def _publish(self) -> None:
        address = str(self._fleet.routers[0].settings.listen.admin)
        wish = messages.PublishRequest("bench", "experiment", self._scaled.preset)
        admin_client.AdminClient(address).publish(wish)

    def _wait_ready(self) -> None:
        ends_at_s = time.monotonic() + READY_TIMEOUT_S
        for url in self.caller_urls:
            for policy in self._scaled.preset.services:
                for number in range(4):
                    self._wait_answered(f"{url}{_probe_path(policy, number)}", ends_at_s)

    def _wait_answered(self, url: str, ends_at_s: float) -> None:
        while time.monotonic() < ends_at_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._pool.request("GET", url, timeout=5.0).status == STATUS_OK:
                    return
            time.sleep(POLL_S)
        raise SystemNotReadyError(url)


def _probe_path(policy: preset.ServicePolicy, number: int) -> str:
    route = next(route for route in policy.routes if route.method == "GET")
    path = route.path
    for pattern in ("{key}", "{any}", "*"):
        path = path.replace(pattern, f"probe-{number}")
    return f"/{policy.name}{path}?work_ms=1"


@contextlib.contextmanager
def run_system(
    folder: pathlib.Path,
    scaled: users.Scaled,
    policy: policies.Policy,
    *,
    router_count: int,
    seed: int,
    alone: frozenset[str] = frozenset(),
) -> Iterator[RunningSystem]:
    """Yield a running system whose processes are all ended afterwards."""
    preset_file = folder / "preset.json"
    preset_file.write_text(documents.encode_document(scaled.preset))
    program = policies.create_program(policy, preset_file, seed)
    with fleets.run_fleet(folder, program) as fleet:
        running = RunningSystem(fleet, scaled, policy, alone)
        running.start(router_count)
        yield running
