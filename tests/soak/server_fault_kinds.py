"""Faults of keyed servers: partitions, and faulty responses to commands."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall_stand_ins import server_faults

from tests.soak import deployment
from tests.soak import faults
from tests.soak import proxy

if TYPE_CHECKING:
    import threading

MAX_COPY_WAIT_S = 1.5  # longer than the time between two renewals
COPY_DELIVERY_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerPartitioned(faults.Fault):
    """A keyed server is cut off from instances; what was held up is delivered later.

    Attributes
    ----------
    is_partial
        Whether only some instances are affected, by the binary digits of `index`.
    """

    mode: proxy.Mode
    is_partial: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommandsFaulty(faults.Fault):
    """A keyed server responds to commands with a fault, and is cut off after a copied response.

    Attributes
    ----------
    partition_s
        Seconds for which it is cut off; zero if it is not.
    resets
        Whether its connections are reset just before.
    """

    fault: server_faults.ServerFault
    partition_s: float
    resets: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkSlow(faults.Fault):
    """Each request takes a keyed server longer by some time, in seconds."""

    extra_work_s: float


@faults.inject.register(ServerPartitioned)
def _(
    fault: ServerPartitioned, running: deployment.SoakDeployment, stopped: threading.Event
) -> None:
    partitioned = None
    if fault.is_partial:
        partitioned = frozenset(
            instance.process.pid
            for number, instance in enumerate(running.instances)
            if fault.index >> number & 1
        )
    cut = _Cut(fault.mode, fault.duration_s, partitioned)
    _partition(_find_server(fault, running), cut, running, stopped)


@faults.inject.register(CommandsFaulty)
def _(fault: CommandsFaulty, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    soak_server = _find_server(fault, running)
    soak_server.server.fault = fault.fault
    stopped.wait(fault.duration_s)
    if fault.partition_s:
        soak_server.server.history.copied.clear()
        if soak_server.server.history.copied.wait(MAX_COPY_WAIT_S):
            stopped.wait(COPY_DELIVERY_S)
        if fault.resets:
            soak_server.proxy.set_mode(proxy.Mode.RESET)
        _partition(soak_server, _Cut(proxy.Mode.HOLD, fault.partition_s), running, stopped)
    soak_server.server.fault = server_faults.ServerFault()


@faults.inject.register(WorkSlow)
def _(fault: WorkSlow, running: deployment.SoakDeployment, stopped: threading.Event) -> None:
    server = _find_server(fault, running).server
    server.extra_work_s = fault.extra_work_s
    stopped.wait(fault.duration_s)
    server.extra_work_s = 0.0


def _find_server(fault: faults.Fault, running: deployment.SoakDeployment) -> deployment.SoakServer:
    keyed = tuple(running.keyed)
    return keyed[fault.index % len(keyed)]


@dataclasses.dataclass(frozen=True, slots=True)
class _Cut:
    mode: proxy.Mode
    duration_s: float
    process_ids: frozenset[int] | None = None


def _partition(
    soak_server: deployment.SoakServer,
    cut: _Cut,
    running: deployment.SoakDeployment,
    stopped: threading.Event,
) -> None:
    soak_server.proxy.set_mode(cut.mode, partitioned=cut.process_ids)
    stopped.wait(cut.duration_s)
    running.checker.allow_late_grants()
    soak_server.proxy.set_mode(proxy.Mode.FORWARD)
