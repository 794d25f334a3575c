"""Catalogue of experiments, each available for the workload profile of either user."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from bench import steps
from bench import users
from bench import workload

if TYPE_CHECKING:
    from collections.abc import Callable

SERVER_COUNT_DIVISOR = 3
ROUTER_COUNT = 3
CONNECTIONS_PER_WORKER = 200
WORKER_COUNT = 2
STRAGGLER_WORK_MS = 6_000.0
STRAGGLER_WEIGHT = 2.0
COLD_START_WORK_FACTOR = 20.0
PEAK_RATE_FACTOR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Time window of a run that is measured separately, in seconds after its start."""

    begin_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment: the system under test, its workload and the injected faults.

    Attributes
    ----------
    preset_kind
        Name of the example preset of the user, without its suffix.
    divisor
        Number by which the server counts of the example preset are divided.
    workers
        Number of load worker processes.
    """

    name: str
    user: str
    preset_kind: str
    workload: workload.Workload
    steps: tuple[steps.Step, ...]
    window: Window
    divisor: int = SERVER_COUNT_DIVISOR
    router_count: int = ROUTER_COUNT
    workers: int = WORKER_COUNT
    connections_per_worker: int = CONNECTIONS_PER_WORKER


def create_experiment(name: str, user: str) -> Experiment:
    """Return an experiment of the catalogue for a user.

    Raises
    ------
    KeyError
        If the experiment or the user is unknown.
    """
    return CATALOGUE[name](users.USERS[user])


def _create_ordinary(user: users.User) -> Experiment:
    return _create_experiment("ordinary", user, _create_steady_load(user, 1.0, 10.0))


def _create_swing(user: users.User) -> Experiment:
    load = _create_peak_load(user)
    return _create_experiment("swing", user, load, window=Window(3.0, 8.0), kind="peak")


def _create_hot_key(user: users.User) -> Experiment:
    load = dataclasses.replace(_create_steady_load(user, 3.0, 10.0), hot_share=0.3)
    return _create_experiment("hot-key", user, load)


def _create_skew(user: users.User) -> Experiment:
    load = dataclasses.replace(_create_steady_load(user, 2.0, 60.0), zipf_exponent=1.0)
    return _create_experiment("skew", user, load, window=Window(45.0, 60.0))


def _create_stragglers(user: users.User) -> Experiment:
    load = _create_steady_load(user, 1.5, 12.0)
    kinds = tuple(
        (
            dataclasses.replace(kind, work_ms=STRAGGLER_WORK_MS, weight=STRAGGLER_WEIGHT)
            if kind.request_class is users.LONG
            else kind
        )
        for kind in load.kinds
    )
    return _create_experiment("stragglers", user, dataclasses.replace(load, kinds=kinds))


def _create_cold_start(user: users.User) -> Experiment:
    server = _find_unkeyed_server(user)
    fault_steps = (
        steps.PauseServer(2.0, server),
        steps.ResumeServer(5.0, server),
        steps.SlowDownServer(5.0, server, COLD_START_WORK_FACTOR),
        steps.SlowDownServer(8.0, server, 1.0),
    )
    window = Window(5.0, 8.0)
    load = _create_steady_load(user, 3.0, 10.0)
    return _create_experiment("cold-start", user, load, fault_steps=fault_steps, window=window)


def _create_lying_health(user: users.User) -> Experiment:
    fault_steps = (steps.ShedAllRequests(3.0, _find_unkeyed_server(user)),)
    window = Window(3.0, 10.0)
    load = _create_steady_load(user, 3.0, 10.0)
    return _create_experiment("lying-health", user, load, fault_steps=fault_steps, window=window)


def _create_frozen_server(user: users.User) -> Experiment:
    keyed = _find_keyed_server(user)
    unkeyed = _find_unkeyed_server(user)
    fault_steps = (
        steps.PauseServer(3.0, keyed),
        steps.PauseServer(3.0, unkeyed),
        steps.ResumeServer(8.0, keyed),
        steps.ResumeServer(8.0, unkeyed),
    )
    window = Window(3.0, 8.0)
    load = _create_steady_load(user, 2.0, 12.0)
    return _create_experiment("frozen-server", user, load, fault_steps=fault_steps, window=window)


def _create_domain_lost(user: users.User) -> Experiment:
    domain = users.scale_preset(user.name, "peak", SERVER_COUNT_DIVISOR).list_domains()[0]
    fault_steps = (steps.KillDomain(5.0, domain),)
    load = _create_peak_load(user)
    window = Window(5.0, 8.0)
    return _create_experiment(
        "domain-lost", user, load, fault_steps=fault_steps, window=window, kind="peak"
    )


CATALOGUE: dict[str, Callable[[users.User], Experiment]] = {
    "ordinary": _create_ordinary,
    "swing": _create_swing,
    "hot-key": _create_hot_key,
    "skew": _create_skew,
    "stragglers": _create_stragglers,
    "cold-start": _create_cold_start,
    "lying-health": _create_lying_health,
    "frozen-server": _create_frozen_server,
    "domain-lost": _create_domain_lost,
}


def _create_steady_load(user: users.User, factor: float, duration_s: float) -> workload.Workload:
    phase = workload.Phase(duration_s, user.ordinary_rate_per_s * factor)
    return workload.Workload(kinds=user.kinds, phases=(phase,))


def _create_peak_load(user: users.User) -> workload.Workload:
    ordinary = user.ordinary_rate_per_s
    phases = (
        workload.Phase(3.0, ordinary),
        workload.Phase(5.0, ordinary * PEAK_RATE_FACTOR),
        workload.Phase(4.0, ordinary),
    )
    return workload.Workload(kinds=user.kinds, phases=phases)


def _create_experiment(
    name: str,
    user: users.User,
    load: workload.Workload,
    *,
    fault_steps: tuple[steps.Step, ...] = (),
    window: Window | None = None,
    kind: str = "ordinary-day",
) -> Experiment:
    whole = Window(0.0, load.duration_s)
    return Experiment(name, user.name, kind, load, fault_steps, window or whole)


def _find_unkeyed_server(user: users.User) -> str:
    return _find_server(user, keyed=False)


def _find_keyed_server(user: users.User) -> str:
    return _find_server(user, keyed=True)


def _find_server(user: users.User, *, keyed: bool) -> str:
    scaled = users.scale_preset(user.name, "ordinary-day", SERVER_COUNT_DIVISOR)
    services = [policy for policy in scaled.preset.services if policy.keyed is keyed]
    weights = {kind.service: kind.weight for kind in reversed(user.kinds)}
    busiest = max(services, key=lambda policy: weights.get(policy.name, 0.0))
    return busiest.servers[0].name
