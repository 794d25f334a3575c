"""Helpers for scenarios in which instances are killed and restarted."""

from __future__ import annotations

import dataclasses
import signal
import time
from typing import TYPE_CHECKING

import urllib3

from goldcresthall.admin import messages
from goldcresthall.console import exceptions
from goldcresthall.core import settings
from tests.features import system as systems

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall_stand_ins import fleet as fleets

POLL_INTERVAL_S = 0.02
SHORT_PLATFORM_TIMEOUTS_MS = {
    "request_timeout_ms": 300,
    "long_poll_ms": 200,
    "list_interval_ms": 200,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Owner of a key, the epoch of its ownership, and the offset of the preset in force."""

    owner: str
    epoch: int
    preset_offset: int


def start_fast_detecting_routers(
    system: systems.SystemHarness, count: int, snapshot_every_records: int = 5_000
) -> None:
    """Start instances whose short timeouts detect an outage, a freeze or a loss early."""
    system.domains = ("domain-a", "domain-b", "domain-c")
    all_settings = []
    for number in range(1, count + 1):
        defaults = system.fleet.create_settings(
            f"router-{number}", system.domains[(number - 1) % len(system.domains)]
        )
        all_settings.append(
            dataclasses.replace(
                defaults,
                platform=dataclasses.replace(defaults.platform, **SHORT_PLATFORM_TIMEOUTS_MS),
                snapshots=settings.SnapshotSettings(
                    snapshot_every_records=snapshot_every_records, rank_delay_ms=500
                ),
            )
        )
    addresses = tuple(instance_settings.listen.peers for instance_settings in all_settings)
    for instance_settings in all_settings:
        peers = dataclasses.replace(instance_settings.peers, seeds=addresses, interval_ms=200)
        system.fleet.start_router(dataclasses.replace(instance_settings, peers=peers))


def kill_routers(system: systems.SystemHarness, names: list[str]) -> list[settings.Settings]:
    """Kill instances and return their settings."""
    killed = [router for router in system.fleet.routers if router.settings.name in names]
    for router in killed:
        system.fleet.kill(router.process, signal.SIGKILL)
    return [router.settings for router in killed]


def restart_routers(
    system: systems.SystemHarness, names: list[str], **platform_overrides: int
) -> None:
    """Kill instances, then restart them at their addresses with overridden platform settings."""
    for instance_settings in kill_routers(system, names):
        platform_settings = dataclasses.replace(instance_settings.platform, **platform_overrides)
        system.fleet.start_router(
            dataclasses.replace(instance_settings, platform=platform_settings)
        )


def find_router(system: systems.SystemHarness, name: str) -> fleets.RouterProcess:
    """Return a running instance by its name."""
    return next(router for router in system.fleet.routers if router.settings.name == name)


def find_index(system: systems.SystemHarness, name: str) -> int:
    """Return an instance's index among the running ones."""
    return system.fleet.routers.index(find_router(system, name))


def read_assignment(
    system: systems.SystemHarness, index: int, service: str, key: str
) -> Assignment:
    """Return the assignment of a key as one instance reports it."""
    path = f"/explain?service={service}&key={key}"
    key_view = system.create_admin_client(index).fetch(path, messages.KeyView)
    preset_view = system.create_admin_client(index).fetch("/preset", messages.PresetView)
    return Assignment(key_view.owner, key_view.epoch, preset_view.offset)


def read_status(system: systems.SystemHarness, index: int) -> messages.StatusView:
    """Return an instance's status."""
    return system.create_admin_client(index).fetch("/status", messages.StatusView)


def fetch_metrics(system: systems.SystemHarness, index: int) -> str:
    """Return an instance's metrics as text."""
    url = f"{system.fleet.routers[index].admin_url}/metrics"
    pool = urllib3.PoolManager(retries=False)
    return pool.request("GET", url, timeout=systems.EVENT_TIMEOUT_S).data.decode()


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds; an unreachable or refusing instance does not meet it.

    Raises
    ------
    systems.StepTimeoutError
        If it does not hold within `EVENT_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + systems.EVENT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except (exceptions.UnreachableError, exceptions.RefusedError):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise systems.StepTimeoutError(f"timed out waiting until {description}")


def is_ready(system: systems.SystemHarness, index: int) -> bool:
    """Return whether an instance reports itself ready."""
    url = f"{system.fleet.routers[index].admin_url}/readyz"
    pool = urllib3.PoolManager(retries=False)
    return pool.request("GET", url, timeout=systems.EVENT_TIMEOUT_S).status == 200


def wait_until_ready(system: systems.SystemHarness) -> None:
    """Wait until every running instance is ready."""
    for index in range(len(system.fleet.routers)):
        name = system.fleet.routers[index].settings.name
        wait_until(lambda router_index=index: is_ready(system, router_index), f"{name} is ready")
