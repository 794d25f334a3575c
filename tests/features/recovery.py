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

POLL_S = 0.02
QUICK_READS = {"request_timeout_ms": 300, "long_poll_ms": 200, "list_interval_ms": 200}


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Who owns a key since which decision, and the preset in force."""

    owner: str
    epoch: int
    preset_offset: int


def start_quick_routers(
    system: systems.RunningSystem, count: int, snapshot_every_records: int = 5_000
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
                platform=dataclasses.replace(base.platform, **QUICK_READS),
                snapshots=settings.SnapshotSettings(
                    snapshot_every_records=snapshot_every_records, rank_delay_ms=500
                ),
            )
        )
    addresses = tuple(item.listen.peers for item in chosen)
    for item in chosen:
        peers = dataclasses.replace(item.peers, seeds=addresses, interval_ms=200)
        system.fleet.start_router(dataclasses.replace(item, peers=peers))


def kill(system: systems.RunningSystem, names: list[str]) -> list[settings.Settings]:
    """Kill instances at once and return their settings."""
    lost = [router for router in system.fleet.routers if router.settings.name in names]
    for router in lost:
        system.fleet.kill(router.process, signal.SIGKILL)
    return [router.settings for router in lost]


def restart(system: systems.RunningSystem, names: list[str], **platform: int) -> None:
    """Kill instances at once and start them again at their addresses."""
    for lost in kill(system, names):
        changed = dataclasses.replace(lost.platform, **platform)
        system.fleet.start_router(dataclasses.replace(lost, platform=changed))


def find_router(system: systems.RunningSystem, name: str) -> fleets.RouterProcess:
    """Return a running instance by its name."""
    return next(item for item in system.fleet.routers if item.settings.name == name)


def find_index(system: systems.RunningSystem, name: str) -> int:
    """Return an instance's place among those running."""
    return system.fleet.routers.index(find_router(system, name))


def read_assignment(
    system: systems.RunningSystem, index: int, service: str, key: str
) -> Assignment:
    """Return a key's owner and the preset in force, as one instance says."""
    path = f"/explain?service={service}&key={key}"
    explained = system.admin(index).fetch(path, messages.KeyView)
    shown = system.admin(index).fetch("/preset", messages.PresetView)
    return Assignment(explained.owner, explained.epoch, shown.offset)


def read_status(system: systems.RunningSystem, index: int) -> messages.StatusView:
    """Return an instance's status."""
    return system.admin(index).fetch("/status", messages.StatusView)


def fetch_metrics(system: systems.RunningSystem, index: int) -> str:
    """Return an instance's metrics as text."""
    url = f"{system.fleet.routers[index].admin_url}/metrics"
    pool = urllib3.PoolManager(retries=False)
    return pool.request("GET", url, timeout=systems.GIVE_UP_S).data.decode()


def wait_until(holds: Callable[[], bool], what: str) -> None:
    """Wait for an event; `GIVE_UP_S` ends only a test whose event never comes."""
    ends_at_s = time.monotonic() + systems.GIVE_UP_S
    while time.monotonic() < ends_at_s:
        try:
            if holds():
                return
        except (exceptions.UnreachableError, exceptions.RefusedError):
            pass
        time.sleep(POLL_S)
    raise systems.SystemError(f"waited in vain until {what}")


def is_ready(system: systems.RunningSystem, index: int) -> bool:
    """Return whether an instance says that it is ready."""
    url = f"{system.fleet.routers[index].admin_url}/readyz"
    pool = urllib3.PoolManager(retries=False)
    return pool.request("GET", url, timeout=systems.GIVE_UP_S).status == 200


def wait_until_ready(system: systems.RunningSystem) -> None:
    """Wait until every running instance is ready."""
    for index in range(len(system.fleet.routers)):
        name = system.fleet.routers[index].settings.name
        wait_until(lambda place=index: is_ready(system, place), f"{name} is ready")
