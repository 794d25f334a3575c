"""The catalogue of experiments, for either user's shape."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from bench import steps
from bench import users
from bench import workload

if TYPE_CHECKING:
    from collections.abc import Callable

DIVISOR = 3
ROUTER_COUNT = 3
CONNECTIONS_PER_WORKER = 200
WORKER_COUNT = 2
STRAGGLER_MS = 6_000.0
STRAGGLER_WEIGHT = 2.0
COLD_FACTOR = 20.0
CREST_FACTOR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A stretch of the run, in seconds after its start, that is measured by itself."""

    begin_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment: its system, its load, and what happens meanwhile."""

    name: str
    user: str
    preset_kind: str
    workload: workload.Workload
    steps: tuple[steps.Step, ...]
    window: Window
    divisor: int = DIVISOR
    router_count: int = ROUTER_COUNT
    workers: int = WORKER_COUNT
    connections_per_worker: int = CONNECTIONS_PER_WORKER


def create_experiment(name: str, user: str) -> Experiment:
    """Return an experiment of the catalogue for a user.

    Raises
    ------
    KeyError
        If there is no such experiment or user.
    """
    return CATALOGUE[name](users.USERS[user])


def _ordinary(user: users.User) -> Experiment:
    return _create("ordinary", user, _steady(user, 1.0, 10.0))


def _swing(user: users.User) -> Experiment:
    load = _swinging(user)
    return _create("swing", user, load, window=Window(3.0, 8.0), kind="peak")


def _hot_key(user: users.User) -> Experiment:
    load = dataclasses.replace(_steady(user, 3.0, 10.0), hot_share=0.3)
    return _create("hot-key", user, load)


def _skew(user: users.User) -> Experiment:
    load = dataclasses.replace(_steady(user, 2.0, 60.0), zipf_exponent=1.0)
    return _create("skew", user, load, window=Window(45.0, 60.0))


def _stragglers(user: users.User) -> Experiment:
    load = _steady(user, 1.5, 12.0)
    kinds = tuple(
        (
            dataclasses.replace(kind, work_ms=STRAGGLER_MS, weight=STRAGGLER_WEIGHT)
            if kind.request_class is users.LONG
            else kind
        )
        for kind in load.kinds
    )
    return _create("stragglers", user, dataclasses.replace(load, kinds=kinds))


def _cold_start(user: users.User) -> Experiment:
    server = _first_unkeyed(user)
    happenings = (
        steps.FreezeServer(2.0, server),
        steps.ThawServer(5.0, server),
        steps.SlowServer(5.0, server, COLD_FACTOR),
        steps.SlowServer(8.0, server, 1.0),
    )
    window = Window(5.0, 8.0)
    load = _steady(user, 3.0, 10.0)
    return _create("cold-start", user, load, happenings=happenings, window=window)


def _lying_health(user: users.User) -> Experiment:
    happenings = (steps.FailQuickly(3.0, _first_unkeyed(user)),)
    window = Window(3.0, 10.0)
    load = _steady(user, 3.0, 10.0)
    return _create("lying-health", user, load, happenings=happenings, window=window)


def _frozen_server(user: users.User) -> Experiment:
    keyed = _first_keyed(user)
    unkeyed = _first_unkeyed(user)
    happenings = (
        steps.FreezeServer(3.0, keyed),
        steps.FreezeServer(3.0, unkeyed),
        steps.ThawServer(8.0, keyed),
        steps.ThawServer(8.0, unkeyed),
    )
    window = Window(3.0, 8.0)
    load = _steady(user, 2.0, 12.0)
    return _create("frozen-server", user, load, happenings=happenings, window=window)


def _domain_lost(user: users.User) -> Experiment:
    domain = users.scale_preset(user.name, "peak", DIVISOR).list_domains()[0]
    happenings = (steps.LoseDomain(5.0, domain),)
    load = _swinging(user)
    window = Window(5.0, 8.0)
    return _create("domain-lost", user, load, happenings=happenings, window=window, kind="peak")


CATALOGUE: dict[str, Callable[[users.User], Experiment]] = {
    "ordinary": _ordinary,
    "swing": _swing,
    "hot-key": _hot_key,
    "skew": _skew,
    "stragglers": _stragglers,
    "cold-start": _cold_start,
    "lying-health": _lying_health,
    "frozen-server": _frozen_server,
    "domain-lost": _domain_lost,
}


def _steady(user: users.User, factor: float, duration_s: float) -> workload.Workload:
    phase = workload.Phase(duration_s, user.ordinary_rate_per_s * factor)
    return workload.Workload(kinds=user.kinds, phases=(phase,))


def _swinging(user: users.User) -> workload.Workload:
    ordinary = user.ordinary_rate_per_s
    phases = (
        workload.Phase(3.0, ordinary),
        workload.Phase(5.0, ordinary * CREST_FACTOR),
        workload.Phase(4.0, ordinary),
    )
    return workload.Workload(kinds=user.kinds, phases=phases)


def _create(
    name: str,
    user: users.User,
    load: workload.Workload,
    *,
    happenings: tuple[steps.Step, ...] = (),
    window: Window | None = None,
    kind: str = "ordinary-day",
) -> Experiment:
    whole = Window(0.0, load.duration_s)
    return Experiment(name, user.name, kind, load, happenings, window or whole)


def _first_unkeyed(user: users.User) -> str:
    return _first_server(user, keyed=False)


def _first_keyed(user: users.User) -> str:
    return _first_server(user, keyed=True)


def _first_server(user: users.User, *, keyed: bool) -> str:
    scaled = users.scale_preset(user.name, "ordinary-day", DIVISOR)
    services = [policy for policy in scaled.preset.services if policy.keyed is keyed]
    used = {kind.service: kind.weight for kind in reversed(user.kinds)}
    busiest = max(services, key=lambda policy: used.get(policy.name, 0.0))
    return busiest.servers[0].name
