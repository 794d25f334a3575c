"""Fault injection steps of an experiment, performed while requests arrive."""

from __future__ import annotations

import dataclasses
import functools
import signal

from goldcresthall_stand_ins import backend

from bench import system


@dataclasses.dataclass(frozen=True, slots=True)
class PauseServer:
    """Pause the process of a backend server; its connections stay open."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeServer:
    """Resume the paused process of a backend server."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlowDownServer:
    """Multiply the processing time of each request at one server by `factor`."""

    at_s: float
    server: str
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShedAllRequests:
    """Let a server shed all requests while its health endpoint reports success."""

    at_s: float
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class KillDomain:
    """Kill all backend servers and router instances of a failure domain."""

    at_s: float
    domain: str


Step = PauseServer | ResumeServer | SlowDownServer | ShedAllRequests | KillDomain


def list_paused_servers(fault_steps: tuple[Step, ...]) -> frozenset[str]:
    """Return the servers that are paused; each needs a process of its own."""
    return frozenset(step.server for step in fault_steps if isinstance(step, PauseServer))


@functools.singledispatch
def perform_step(step: Step, running: system.RunningSystem) -> None:
    """Apply a step to the running system."""
    raise NotImplementedError(type(step).__name__)


@perform_step.register
def _(step: PauseServer, running: system.RunningSystem) -> None:
    running.signal_server(step.server, signal.SIGSTOP)


@perform_step.register
def _(step: ResumeServer, running: system.RunningSystem) -> None:
    running.signal_server(step.server, signal.SIGCONT)


@perform_step.register
def _(step: SlowDownServer, running: system.RunningSystem) -> None:
    running.misbehave(step.server, backend.BackendFaults(work_factor=step.factor))


@perform_step.register
def _(step: ShedAllRequests, running: system.RunningSystem) -> None:
    running.misbehave(step.server, backend.BackendFaults(shed=True))


@perform_step.register
def _(step: KillDomain, running: system.RunningSystem) -> None:
    running.kill_domain(step.domain)
