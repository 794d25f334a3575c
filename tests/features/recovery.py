"""What the scenarios of lost and returning instances do with a running system."""

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
    """Who owns a key since which decision, and the preset in force."""

    owner: str
    epoch: int
    preset_offset: int


def start_fast_detecting_routers(
    system: systems.SystemHarness, count: int, snapshot_every_records: int = 5_000
) -> None:
    """Start instances that notice an outage, a freeze or a loss soon."""
    system.domains = ("domain-a", "domain-b", "domain-c")
    chosen = []
    for number in range(1, count + 1):
        base = system.fleet.create_settings(
            f"router-{number}", system.domains[(number - 1) % len(system.domains)]
        )
        chosen.append(
            dataclasses.replace(
                base,
                platform=dataclasses.replace(base.platform, **SHORT_PLATFORM_TIMEOUTS_MS),
                snapshots=settings.SnapshotSettings(
                    snapshot_every_records=snapshot_every_records, rank_delay_ms=500
                ),
            )
        )
    addresses = tuple(item.listen.peers for item in chosen)
    for item in chosen:
        peers = dataclasses.replace(item.peers, seeds=addresses, interval_ms=200)
        system.fleet.start_router(dataclasses.replace(item, peers=peers))


def kill_routers(system: systems.SystemHarness, names: list[str]) -> list[settings.Settings]:
    """Kill instances at once and return their settings."""
    lost = [router for router in system.fleet.routers if router.settings.name in names]
    for router in lost:
        system.fleet.kill(router.process, signal.SIGKILL)
    return [router.settings for router in lost]


def restart_routers(system: systems.SystemHarness, names: list[str], **platform: int) -> None:
    """Kill instances at once and start them again at their addresses."""
    for lost in kill_routers(system, names):
        changed = dataclasses.replace(lost.platform, **platform)
        system.fleet.start_router(dataclasses.replace(lost, platform=changed))


def find_router(system: systems.SystemHarness, name: str) -> fleets.RouterProcess:
    """Return a running instance by its name."""
    return next(item for item in system.fleet.routers if item.settings.name == name)


def find_index(system: systems.SystemHarness, name: str) -> int:
    """Return an instance's place among those running."""
    return system.fleet.routers.index(find_router(system, name))


def read_assignment(
    system: systems.SystemHarness, index: int, service: str, key: str
) -> Assignment:
    """Return a key's owner and the preset in force, as one instance says."""
    path = f"/explain?service={service}&key={key}"
    explained = system.admin(index).fetch(path, messages.KeyView)
    shown = system.admin(index).fetch("/preset", messages.PresetView)
    return Assignment(explained.owner, explained.epoch, shown.offset)


def read_status(system: systems.SystemHarness, index: int) -> messages.StatusView:
    """Return an instance's status."""
    return system.admin(index).fetch("/status", messages.StatusView)


def fetch_metrics(system: systems.SystemHarness, index: int) -> str:
    """Return an instance's metrics as text."""
    url = f"{system.fleet.routers[index].admin_url}/metrics"
    pool = urllib3.PoolManager(retries=False)
    return pool.request("GET", url, timeout=systems.EVENT_TIMEOUT_S).data.decode()


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait for an event; `EVENT_TIMEOUT_S` ends only a test whose event never comes."""
    ends_at_s = time.monotonic() + systems.EVENT_TIMEOUT_S
    while time.monotonic() < ends_at_s:
        try:
            if condition():
                return
        except (exceptions.UnreachableError, exceptions.RefusedError):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise systems.StepTimeoutError(f"waited in vain until {description}")


def is_ready(system: systems.SystemHarness, index: int) -> bool:
    """Return whether an instance says that it is ready."""
    url = f"{system.fleet.routers[index].admin_url}/readyz"
    pool = urllib3.PoolManager(retries=False)
    return pool.request("GET", url, timeout=systems.EVENT_TIMEOUT_S).status == 200


def wait_until_ready(system: systems.SystemHarness) -> None:
    """Wait until every running instance is ready."""
    for index in range(len(system.fleet.routers)):
        name = system.fleet.routers[index].settings.name
        wait_until(lambda place=index: is_ready(system, place), f"{name} is ready")
