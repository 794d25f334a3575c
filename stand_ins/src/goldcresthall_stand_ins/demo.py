"""Demonstration: requests through a system of separate processes, and a failover."""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import click
import urllib3

from goldcresthall.admin import messages
from goldcresthall.console import admin_client
from goldcresthall.core import preset
from goldcresthall_stand_ins import fleet as fleets

if TYPE_CHECKING:
    from goldcresthall_stand_ins import backend

DOMAINS = ("domain-a", "domain-b", "domain-c")
KEYED_SERVER_COUNT = 3
UNKEYED_SERVER_COUNT = 3
REQUEST_TIMEOUT_S = 10.0
OK_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
STATUS_OK = 200
MS_PER_S = 1_000
RECORDING_ROUTE = preset.Route(method="GET", path="/recordings/{key}", idempotent=True)


class Demonstration:
    """Starts a system of separate processes and prints the responses to its requests."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._pool = urllib3.PoolManager(retries=False)

    def run(self) -> None:
        """Show responses of both services, then the failover after a key's owner is killed."""
        self._fleet.start_platform()
        archive = fleets.create_backend_configs("archive", KEYED_SERVER_COUNT, keyed=True)
        program = fleets.create_backend_configs("program", UNKEYED_SERVER_COUNT, keyed=False)
        archive_processes = [self._fleet.start_backends((config,)) for config in archive]
        self._fleet.start_backends(program)
        for number, domain in enumerate(DOMAINS, start=1):
            self._fleet.start_router(self._fleet.create_settings(f"router-{number}", domain))
        self._publish(archive, program)
        self._show_requests()
        self._show_failover(archive_processes)

    def _publish(
        self,
        archive: tuple[backend.BackendConfig, ...],
        program: tuple[backend.BackendConfig, ...],
    ) -> None:
        published = preset.Preset(
            name="demonstration",
            services=(
                fleets.create_service_policy(archive, DOMAINS, (RECORDING_ROUTE,)),
                fleets.create_service_policy(program, DOMAINS),
            ),
        )
        address = str(self._fleet.routers[0].settings.listen.admin)
        publish_request = messages.PublishRequest("demonstration", "first preset", published)
        result = admin_client.AdminClient(address).publish(publish_request)
        click.echo(f"preset {published.name}: {result.outcome} at offset {result.offset}")

    def _show_requests(self) -> None:
        for number, router in enumerate(self._fleet.routers):
            self._wait_until_ok(router, f"/archive/recordings/molde-{number}")
            self._wait_until_ok(router, "/program/today")
            self._show_response(router, f"/archive/recordings/molde-{number}")
            self._show_response(router, "/program/today")

    def _show_failover(self, archive_processes: list[fleets.BackendProcess]) -> None:
        router = self._fleet.routers[0]
        path = "/archive/recordings/molde-1"
        owner = self._show_response(router, path)
        killed = next(process for process in archive_processes if process.configs[0].name == owner)
        killed_at_s = time.monotonic()
        self._fleet.kill(killed.process)
        click.echo(f"killed {owner}, the owner of molde-1")
        self._wait_until_ok(router, path)
        failover_ms = (time.monotonic() - killed_at_s) * MS_PER_S
        successor = self._show_response(router, path)
        click.echo(f"molde-1 served again by {successor} after {failover_ms:.0f} ms")

    def _wait_until_ok(self, router: fleets.RouterProcess, path: str) -> None:
        deadline_s = time.monotonic() + OK_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self._request(router, path).status == STATUS_OK:
                return
            time.sleep(POLL_INTERVAL_S)
        raise fleets.FleetError(f"{path} did not return status 200 within {OK_TIMEOUT_S} s")

    def _show_response(self, router: fleets.RouterProcess, path: str) -> str:
        response = self._request(router, path)
        headers = response.headers
        server = headers.get("Goldcresthall-Server", "")
        click.echo(
            f"{path}: status {response.status} from {server or '-'}"
            f" through {headers['Goldcresthall-Instance']}"
            f" in {headers['Goldcresthall-Tries']} tries, {len(response.data)} bytes"
        )
        return server

    def _request(self, router: fleets.RouterProcess, path: str) -> urllib3.BaseHTTPResponse:
        return self._pool.request("GET", router.callers_url + path, timeout=REQUEST_TIMEOUT_S)


@click.command()
@click.option("--binary", type=click.Path(exists=True), help="Run the router from this built file.")
def main(binary: str | None) -> None:
    """Run the demonstration, then stop every process it started."""
    program = (sys.executable, str(pathlib.Path(binary).resolve())) if binary else ()
    with (
        tempfile.TemporaryDirectory() as folder,
        fleets.run_fleet(pathlib.Path(folder), program) as fleet,
    ):
        Demonstration(fleet).run()


if __name__ == "__main__":
    main()
