"""Steps of an experiment: what happens to the system while load arrives."""

from __future__ import annotations

import dataclasses
import functools
import signal

from goldcresthall_stand_ins import backend

from bench import system


@dataclasses.dataclass(frozen=True, slots=True)
class FreezeServer:
    """A backend server's process stops, until thawed; its connections stay open."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ThawServer:
    """A frozen backend server goes on as if nothing had happened."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlowServer:
    """Each request's work at one server takes `factor` times as long."""

    at_s: float
    server: str
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailQuickly:
    """A server refuses all work at once while its health endpoint says it is well."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoseDomain:
    """All backend servers and router instances of a failure domain are killed."""

    at_s: float
    domain: str


Step = FreezeServer | ThawServer | SlowServer | FailQuickly | LoseDomain


def list_frozen(happenings: tuple[Step, ...]) -> frozenset[str]:
    """Return the servers that are frozen, which need processes of their own."""
    return frozenset(step.server for step in happenings if isinstance(step, FreezeServer))


@functools.singledispatch
def perform(step: Step, running: system.RunningSystem) -> None:
    """Do what a step says to the running system."""
    raise NotImplementedError(type(step).__name__)


@perform.register
def _(step: FreezeServer, running: system.RunningSystem) -> None:
    running.signal_server(step.server, signal.SIGSTOP)


@perform.register
def _(step: ThawServer, running: system.RunningSystem) -> None:
    running.signal_server(step.server, signal.SIGCONT)


@perform.register
def _(step: SlowServer, running: system.RunningSystem) -> None:
    running.misbehave(step.server, backend.BackendFaults(work_factor=step.factor))


@perform.register
def _(step: FailQuickly, running: system.RunningSystem) -> None:
    running.misbehave(step.server, backend.BackendFaults(shed=True))


@perform.register
def _(step: LoseDomain, running: system.RunningSystem) -> None:
    running.lose_domain(step.domain)
