"""Faults that the soak test injects, each a data class that `inject` dispatches on."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import signal
import threading
import time
from typing import TYPE_CHECKING

from tests.soak import deployment
from tests.soak import proxy

if TYPE_CHECKING:
    from collections.abc import Iterator

SERVER_ENTRY_EXPIRY_S = 2.6
SERVER_DRAIN_S = 3.0
SERVER_REGISTRATION_DELAY_S = 0.9
# Some servers go on serving for many seconds.
EXTRA_SERVING_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault and the time at which it is injected.

    Attributes
    ----------
    at_s
        Seconds after the start of fault injection.
    duration_s
        Seconds until the fault ends; ignored by faults that are instantaneous or have a fixed
        duration.
    index
        Selects the affected instance or server, modulo their number.
    at_lessor
        Whether a fault of an instance affects the lessor instead.
    """

    at_s: float
    duration_s: float
    index: int
    at_lessor: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceKilled(Fault):
    """An instance is killed and restarted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstancePaused(Fault):
    """The process of an instance is paused and resumed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceTerminated(Fault):
    """An instance gets SIGTERM, is killed after its grace period and is restarted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceReloaded(Fault):
    """An instance is told to reload its settings."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreConnectionsDisrupted(Fault):
    """The connections of one instance to the store are disrupted."""

    mode: proxy.Mode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerConnectionsDisrupted(Fault):
    """The connections of all instances to one server are disrupted."""

    mode: proxy.Mode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreUnavailable(Fault):
    """The store rejects all calls."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSlow(Fault):
    """The store responds with a delay."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerCrashed(Fault):
    """A server crashes after a replacement was started; its entry is removed later."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerDrained(Fault):
    """A server drains and shuts down after a replacement was started."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLeft(Fault):
    """A server leaves without reporting that it drains, after a replacement was started."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerRestarted(Fault):
    """A keyed server starts again under its name and registers some time later."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationPublished(Fault):
    """The next version of the configuration is published."""


TERMINATION_GRACE_S = 6.0


@contextlib.contextmanager
def disturb(running: deployment.SoakDeployment, port: int | None = None) -> Iterator[None]:
    """Tell the checker that the block disturbed an instance, by its port for callers, or all."""
    began_at_s = time.monotonic()
    try:
        yield
    finally:
        running.checker.record_disturbance(began_at_s, port)


@functools.singledispatch
def inject(fault: Fault, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    """Inject a fault and return once it has ended; setting `stopped` ends it early."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
def _(fault: InstanceKilled, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    instance = _find_instance(fault, running)
    killed = instance.process
    with disturb(running, instance.caller_port):
        killed.kill()
        stopped.wait(fault.duration_s)
        instance.restart(killed)


@inject.register
def _(fault: InstancePaused, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    instance = _find_instance(fault, running)
    with disturb(running, instance.caller_port):
        instance.send_signal(signal.SIGSTOP)
        stopped.wait(fault.duration_s)
        running.checker.allow_late_grants()
        instance.send_signal(signal.SIGCONT)


@inject.register
def _(
    fault: InstanceTerminated, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    instance = _find_instance(fault, running)
    terminated = instance.process
    with disturb(running, instance.caller_port):
        terminated.terminate()
        stopped.wait(TERMINATION_GRACE_S)
        terminated.kill()
        instance.restart(terminated)


@inject.register
def _(
    fault: InstanceReloaded, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    _find_instance(fault, running).send_signal(signal.SIGHUP)


@inject.register
def _(
    fault: StoreConnectionsDisrupted, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    instance = _find_instance(fault, running)
    with disturb(running, instance.caller_port):
        instance.store_proxy.set_mode(fault.mode)
        stopped.wait(fault.duration_s)
        instance.store_proxy.set_mode(proxy.Mode.FORWARD)


@inject.register
def _(
    fault: ServerConnectionsDisrupted, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    servers = (*running.keyed, *running.unkeyed)
    disrupted_proxy = servers[fault.index % len(servers)].proxy
    disrupted_proxy.set_mode(fault.mode)
    stopped.wait(fault.duration_s)
    running.checker.allow_late_grants()
    disrupted_proxy.set_mode(proxy.Mode.FORWARD)


@inject.register
def _(
    fault: StoreUnavailable, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    with disturb(running):
        running.store.is_down = True
        stopped.wait(fault.duration_s)
        running.store.is_down = False


@inject.register
def _(fault: StoreSlow, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    with disturb(running):
        running.store.delay_s = 0.2
        stopped.wait(fault.duration_s)
        running.store.delay_s = 0.0


@inject.register
def _(fault: ServerCrashed, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    soak_server = _crash_server(fault, running)
    if soak_server is None:
        return
    stopped.wait(SERVER_ENTRY_EXPIRY_S)
    soak_server.server.unregister()


@inject.register
def _(fault: ServerDrained, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    soak_server = _replace_server(fault, running)
    soak_server.server.register("draining", port=soak_server.proxy.port)
    _finish_serving(fault, soak_server, running, stopped)
    soak_server.server.unregister()


@inject.register
def _(fault: ServerLeft, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    soak_server = _replace_server(fault, running)
    soak_server.server.unregister()
    _finish_serving(fault, soak_server, running, stopped)


@inject.register
def _(fault: ServerRestarted, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    # The next incarnation of a leaving server gets work, which is no work for the leaving one.
    keyed = [each for each in running.keyed if running.is_serving(each.server.name)]
    soak_server = keyed[fault.index % len(keyed)]
    soak_server.server.restart()
    stopped.wait(min(fault.duration_s, SERVER_REGISTRATION_DELAY_S))
    if running.is_serving(soak_server.server.name):
        soak_server.server.register(port=soak_server.proxy.port)


@inject.register
def _(
    fault: ConfigurationPublished, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    running.publish()


def _find_instance(fault: Fault, running: deployment.SoakDeployment) -> deployment.SoakInstance:
    lessor = running.find_lessor() if fault.at_lessor else None
    return lessor or running.instances[fault.index % len(running.instances)]


def _replace_server(fault: Fault, running: deployment.SoakDeployment) -> deployment.SoakServer:
    """Start a replacement for a server; return the server."""
    servers = (*running.keyed, *running.unkeyed)
    soak_server = servers[fault.index % len(servers)]
    running.add_server(soak_server.server.name.partition("-")[0])
    return soak_server


def _finish_serving(
    fault: Fault,
    soak_server: deployment.SoakServer,
    running: deployment.SoakDeployment,
    stopped: threading.Event,
) -> None:
    """Let a server that the store knows to be leaving serve for some time; stop it then."""
    running.checker.record_drain(soak_server.server)
    stopped.wait(SERVER_DRAIN_S + EXTRA_SERVING_FACTOR * fault.duration_s)
    with contextlib.suppress(ValueError):
        running.remove_server(soak_server)


def _crash_server(fault: Fault, running: deployment.SoakDeployment) -> deployment.SoakServer | None:
    """Start a replacement for a server and crash the server.

    Returns `None` if another fault has removed the server already.
    """
    soak_server = _replace_server(fault, running)
    try:
        running.remove_server(soak_server)
    except ValueError:
        return None
    return soak_server
