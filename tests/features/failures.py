"""Failures of a running system, chosen by a seed, with their injection and their end."""

from __future__ import annotations

import dataclasses
import functools
import random
import signal

from goldcresthall_stand_ins import platform

from tests.features import system as systems


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFrozen:
    """A backend server's process is paused and later resumed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerKilled:
    """A backend server's process is killed and not restarted."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouterFrozen:
    """A router instance's process is paused and later resumed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouterKilled:
    """A router instance's process is killed and later restarted at the same addresses."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaulty:
    """The log service and the instance list are down or slow, or the log loses responses."""

    faults: platform.PlatformFaults


Failure = ServerFrozen | ServerKilled | RouterFrozen | RouterKilled | PlatformFaulty


def choose_pair(system: systems.SystemHarness, seed: int) -> tuple[Failure, Failure]:
    """Return two failures of different types; the same seed gives the same pair."""
    generator = random.Random(seed)
    servers = sorted(system.backends)
    routers = sorted(router.settings.name for router in system.fleet.routers)
    candidates: list[Failure] = [
        ServerFrozen(generator.choice(servers)),
        ServerKilled(generator.choice(servers)),
        RouterFrozen(generator.choice(routers)),
        RouterKilled(generator.choice(routers)),
        PlatformFaulty(platform.PlatformFaults(down=True)),
        PlatformFaulty(platform.PlatformFaults(delay_ms=generator.randrange(50, 400))),
        PlatformFaulty(platform.PlatformFaults(lost_answers=generator.randrange(1, 4))),
    ]
    first = generator.choice(candidates)
    others = [failure for failure in candidates if type(failure) is not type(first)]
    return first, generator.choice(others)


@functools.singledispatch
def inject(failure: Failure, system: systems.SystemHarness) -> None:
    """Inject a failure."""
    raise NotImplementedError(type(failure).__name__)


@inject.register
def _(failure: ServerFrozen, system: systems.SystemHarness) -> None:
    system.signal_backend(failure.name, signal.SIGSTOP)


@inject.register
def _(failure: ServerKilled, system: systems.SystemHarness) -> None:
    system.signal_backend(failure.name, signal.SIGKILL)


@inject.register
def _(failure: RouterFrozen, system: systems.SystemHarness) -> None:
    system.signal_router(failure.name, signal.SIGSTOP)


@inject.register
def _(failure: RouterKilled, system: systems.SystemHarness) -> None:
    system.signal_router(failure.name, signal.SIGKILL)


@inject.register
def _(failure: PlatformFaulty, system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(failure.faults)


@functools.singledispatch
def end(failure: Failure, system: systems.SystemHarness) -> None:
    """End a failure; a killed backend server stays down."""


@end.register
def _(failure: ServerFrozen, system: systems.SystemHarness) -> None:
    if system.backends[failure.name].process.poll() is None:
        system.signal_backend(failure.name, signal.SIGCONT)


@end.register
def _(failure: RouterFrozen, system: systems.SystemHarness) -> None:
    system.signal_router(failure.name, signal.SIGCONT)


@end.register
def _(failure: RouterKilled, system: systems.SystemHarness) -> None:
    system.restart_router(failure.name)


@end.register
def _(failure: PlatformFaulty, system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults())
