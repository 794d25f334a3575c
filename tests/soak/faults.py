"""Faults from outside, each a data class; how one acts varies by its type."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import signal
import threading
from typing import TYPE_CHECKING

from tests.soak import deployment
from tests.soak import proxy

if TYPE_CHECKING:
    import random

LAPSE_S = 2.6
DRAIN_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Something that goes wrong for a while.

    Attributes
    ----------
    at_s
        Seconds after the start of the soak.
    for_s
        Seconds until it ends.
    index
        Which of the things that fit; counted round.
    """

    at_s: float
    for_s: float
    index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceKilled(Fault):
    """An instance is killed and started again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstancePaused(Fault):
    """An instance stands still."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceEnded(Fault):
    """An instance is asked to end, killed after its grace time, and started again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceHungUp(Fault):
    """An instance is told that its settings may have changed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCut(Fault):
    """One instance's way to the store is disturbed."""

    mode: proxy.Mode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerCut(Fault):
    """All instances' way to one server is disturbed."""

    mode: proxy.Mode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreDown(Fault):
    """The store refuses all calls."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSlow(Fault):
    """The store answers late."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerCrashed(Fault):
    """A server crashes; its entry lapses and another one comes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerDrained(Fault):
    """A server drains and leaves, after another one came."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reconfigured(Fault):
    """The operator publishes the next configuration."""


MODES = tuple(mode for mode in proxy.Mode if mode is not proxy.Mode.FORWARD)
GRACE_S = 6.0


def draw_faults(generator: random.Random, length_s: float, rate_per_s: float) -> list[Fault]:
    """Return faults in series that overlap, in the order of their times."""
    plain = (
        InstanceKilled,
        InstancePaused,
        InstanceEnded,
        InstanceHungUp,
        StoreDown,
        StoreSlow,
        ServerCrashed,
        ServerDrained,
        Reconfigured,
    )
    drawn: list[Fault] = []
    at_s = 0.0
    while True:
        at_s += generator.expovariate(rate_per_s)
        if at_s >= length_s:
            return drawn
        for_s = min(generator.uniform(0.2, 5.0), length_s - at_s)
        index = generator.randrange(1_000)
        kind = generator.choice((*plain, StoreCut, ServerCut))
        if kind in {StoreCut, ServerCut}:
            mode = generator.choice(MODES)
            drawn.append(kind(at_s=at_s, for_s=for_s, index=index, mode=mode))
        else:
            drawn.append(kind(at_s=at_s, for_s=for_s, index=index))


@functools.singledispatch
def inject(fault: Fault, target: deployment.SoakWorld, ended: threading.Event) -> None:
    """Let a fault act until its time is over."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
def _(fault: InstanceKilled, target: deployment.SoakWorld, ended: threading.Event) -> None:
    instance = target.instances[fault.index % len(target.instances)]
    killed = instance.process
    killed.kill()
    ended.wait(fault.for_s)
    instance.replace(killed)


@inject.register
def _(fault: InstancePaused, target: deployment.SoakWorld, ended: threading.Event) -> None:
    instance = target.instances[fault.index % len(target.instances)]
    instance.send_signal(signal.SIGSTOP)
    ended.wait(fault.for_s)
    target.seen.excuse_late_grants()
    instance.send_signal(signal.SIGCONT)


@inject.register
def _(fault: InstanceEnded, target: deployment.SoakWorld, ended: threading.Event) -> None:
    instance = target.instances[fault.index % len(target.instances)]
    leaving = instance.process
    leaving.terminate()
    ended.wait(GRACE_S)
    leaving.kill()
    instance.replace(leaving)


@inject.register
def _(fault: InstanceHungUp, target: deployment.SoakWorld, ended: threading.Event) -> None:
    target.instances[fault.index % len(target.instances)].send_signal(signal.SIGHUP)


@inject.register
def _(fault: StoreCut, target: deployment.SoakWorld, ended: threading.Event) -> None:
    way = target.instances[fault.index % len(target.instances)].store
    way.set_mode(fault.mode)
    ended.wait(fault.for_s)
    way.set_mode(proxy.Mode.FORWARD)


@inject.register
def _(fault: ServerCut, target: deployment.SoakWorld, ended: threading.Event) -> None:
    servers = (*target.keyed, *target.plain)
    way = servers[fault.index % len(servers)].proxy
    way.set_mode(fault.mode)
    ended.wait(fault.for_s)
    target.seen.excuse_late_grants()
    way.set_mode(proxy.Mode.FORWARD)


@inject.register
def _(fault: StoreDown, target: deployment.SoakWorld, ended: threading.Event) -> None:
    target.store.is_down = True
    ended.wait(fault.for_s)
    target.store.is_down = False


@inject.register
def _(fault: StoreSlow, target: deployment.SoakWorld, ended: threading.Event) -> None:
    target.store.delay_s = 0.2
    ended.wait(fault.for_s)
    target.store.delay_s = 0.0


@inject.register
def _(fault: ServerCrashed, target: deployment.SoakWorld, ended: threading.Event) -> None:
    item = _take_server(fault, target)
    if item is None:
        return
    ended.wait(LAPSE_S)
    item.server.unregister()


@inject.register
def _(fault: ServerDrained, target: deployment.SoakWorld, ended: threading.Event) -> None:
    servers = (*target.keyed, *target.plain)
    item = servers[fault.index % len(servers)]
    target.add_server(item.server.name.partition("-")[0])
    item.server.register("draining", port=item.proxy.port)
    ended.wait(DRAIN_S)
    with contextlib.suppress(ValueError):
        target.remove_server(item)
    item.server.unregister()


@inject.register
def _(fault: Reconfigured, target: deployment.SoakWorld, ended: threading.Event) -> None:
    target.publish()


def _take_server(fault: Fault, target: deployment.SoakWorld) -> deployment.SoakServer | None:
    """Crash a server, once another one of its service has come."""
    servers = (*target.keyed, *target.plain)
    item = servers[fault.index % len(servers)]
    target.add_server(item.server.name.partition("-")[0])
    try:
        target.remove_server(item)
    except ValueError:
        # Another fault has taken it at the same time.
        return None
    return item
