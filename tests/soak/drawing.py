"""Draws the faults of a seed."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable
from typing import Final

from goldcresthall_stand_ins import server_faults

from tests.soak import faults
from tests.soak import proxy
from tests.soak import server_fault_kinds
from tests.soak import store_fault_kinds

SIMPLE_KINDS: Final = (
    faults.InstanceKilled,
    faults.InstancePaused,
    faults.InstanceTerminated,
    faults.InstanceReloaded,
    faults.StoreUnavailable,
    faults.StoreSlow,
    faults.ServerCrashed,
    faults.ServerDrained,
    faults.ServerLeft,
    faults.ServerRestarted,
    faults.ConfigurationPublished,
)
PARTITION_MODES: Final = (proxy.Mode.HOLD, proxy.Mode.HOLD_REQUESTS)
DISRUPTIVE_MODES: Final = tuple(
    mode for mode in proxy.Mode if mode not in {proxy.Mode.FORWARD, *PARTITION_MODES}
)
OUTAGE_KINDS: Final = (
    *(store_fault_kinds.StoreLapsed,) * 2,
    *(faults.StoreUnavailable,) * 2,
    *(faults.InstanceKilled,) * 2,
    faults.InstanceTerminated,
    faults.InstancePaused,
    *(faults.ServerDrained,) * 3,
    *(faults.ServerLeft,) * 3,
    faults.ServerCrashed,
    faults.ConfigurationPublished,
)
MAX_DURATION_S = 5.0
COPY_AGE_S = (1.0, 6.0)
# Long enough that a range of the server is given on, and that what was held up arrives after that.
PARTITION_S = (2.0, 8.0)
PARTIAL_FRACTION = 0.3
COMMAND_FAULT_S = (1.0, 6.0)
FOLLOWING_PARTITION_S = (3.0, 6.0)
GRANT_DELAY_S = (2.0, 6.0)
EXTRA_WORK_S = (0.2, 1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """What faults are drawn, how often, and how many of those of instances are at the lessor."""

    draws: tuple[Callable[[faults.Fault, random.Random], faults.Fault], ...]
    rate_per_s: float
    lessor_fraction: float


def draw_faults(
    generator: random.Random, soak_duration_s: float, profile: Profile
) -> list[faults.Fault]:
    """Return random faults that may overlap, ordered by start time."""
    drawn_faults: list[faults.Fault] = []
    at_s = 0.0
    while True:
        at_s += generator.expovariate(profile.rate_per_s)
        if at_s >= soak_duration_s:
            return drawn_faults
        duration_s = min(generator.uniform(0.2, MAX_DURATION_S), soak_duration_s - at_s)
        base = faults.Fault(
            at_s=at_s,
            duration_s=duration_s,
            index=generator.randrange(1_000),
            at_lessor=generator.random() < profile.lessor_fraction,
        )
        drawn_faults.append(generator.choice(profile.draws)(base, generator))


def _draw_simple(
    kind: type[faults.Fault], base: faults.Fault, generator: random.Random
) -> faults.Fault:
    return kind(**dataclasses.asdict(base))


def _draw_disrupted(
    kind: type[faults.StoreConnectionsDisrupted | faults.ServerConnectionsDisrupted],
    base: faults.Fault,
    generator: random.Random,
) -> faults.Fault:
    mode = generator.choice(DISRUPTIVE_MODES)
    return kind(**dataclasses.asdict(base), mode=mode)


def _draw_partition(base: faults.Fault, generator: random.Random) -> faults.Fault:
    return server_fault_kinds.ServerPartitioned(
        at_s=base.at_s,
        duration_s=generator.uniform(*PARTITION_S),
        index=base.index,
        mode=generator.choice(PARTITION_MODES),
        is_partial=generator.random() < PARTIAL_FRACTION,
    )


def _draw_faulty_commands(base: faults.Fault, generator: random.Random) -> faults.Fault:
    is_followed = generator.random() < 0.5
    fault = generator.choice(
        (
            server_faults.RefusalsCopied(is_followed),
            server_faults.RefusalsCopied(is_followed),
            server_faults.SuccessesCopied(is_followed),
            server_faults.GrantsDelayed(generator.uniform(*GRANT_DELAY_S)),
        )
    )
    partition_s = generator.uniform(*FOLLOWING_PARTITION_S)
    return server_fault_kinds.CommandsFaulty(
        at_s=base.at_s,
        duration_s=generator.uniform(*COMMAND_FAULT_S),
        index=base.index,
        fault=fault,
        partition_s=generator.choice((0.0, partition_s, partition_s)),
        resets=not is_followed,
    )


def _draw_slow_work(base: faults.Fault, generator: random.Random) -> faults.Fault:
    return server_fault_kinds.WorkSlow(
        at_s=base.at_s,
        duration_s=base.duration_s,
        index=base.index,
        extra_work_s=generator.uniform(*EXTRA_WORK_S),
    )


def _draw_restored(base: faults.Fault, generator: random.Random) -> faults.Fault:
    return store_fault_kinds.StoreRestored(
        **dataclasses.asdict(base), copy_age_s=generator.uniform(*COPY_AGE_S)
    )


EVERYTHING: Final = Profile(
    (
        *(functools.partial(_draw_simple, kind) for kind in SIMPLE_KINDS),
        functools.partial(_draw_disrupted, faults.StoreConnectionsDisrupted),
        functools.partial(_draw_disrupted, faults.ServerConnectionsDisrupted),
        *(_draw_partition,) * 3,
        *(_draw_faulty_commands,) * 4,
        _draw_slow_work,
        _draw_restored,
    ),
    rate_per_s=0.6,
    lessor_fraction=1 / 3,
)
# The store is away again and again while the lessor changes and servers leave.
OUTAGES: Final = Profile(
    (*(functools.partial(_draw_simple, kind) for kind in OUTAGE_KINDS), _draw_restored),
    rate_per_s=0.8,
    lessor_fraction=0.7,
)
PROFILES: Final = {"everything": EVERYTHING, "outages": OUTAGES}
