"""Workloads: kinds of requests, phases of load and seeded open-loop arrivals."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import random

from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that callers send.

    Attributes
    ----------
    path
        Path with ``{key}`` as the placeholder for the key.
    weight
        Relative frequency among all kinds.
    work_ms
        Processing time at a backend server, in milliseconds.
    """

    service: str
    method: str
    path: str
    weight: float
    work_ms: float
    request_class: preset.RequestClass
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A period with a constant mean arrival rate, in requests per second."""

    duration_s: float
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Parameters from which arrivals are generated with a seed.

    Attributes
    ----------
    key_count
        Number of keys in use.
    zipf_exponent
        Skew of the key popularity; key 0 is the hottest.
    hot_share
        Fraction of requests for the hottest key, in addition to the skew.
    straggler_share
        Fraction of requests that take `straggler_factor` times as long; their class and deadline
        stay the same.
    """

    kinds: tuple[RequestKind, ...]
    phases: tuple[Phase, ...]
    key_count: int = 400
    zipf_exponent: float = 0.9
    hot_share: float = 0.0
    straggler_share: float = 0.0
    straggler_factor: float = 50.0

    @property
    def duration_s(self) -> float:
        """Total duration of all phases, in seconds."""
        return sum(phase.duration_s for phase in self.phases)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request and its scheduled send time.

    Attributes
    ----------
    at_s
        Scheduled send time, in seconds after the start of the run.
    kind
        Index of the request kind in the workload.
    key
        Popularity rank of the key; 0 is the hottest.
    """

    number: int
    at_s: float
    kind: int
    key: int
    work_ms: float


class KeySampler:
    """Samples keys from a Zipf distribution."""

    def __init__(self, count: int, exponent: float) -> None:
        weights = [1.0 / rank**exponent for rank in range(1, count + 1)]
        self._cumulative = list(itertools.accumulate(weights))

    def draw(self, generator: random.Random) -> int:
        """Return the rank of a sampled key; 0 is the hottest."""
        point = generator.random() * self._cumulative[-1]
        return bisect.bisect_left(self._cumulative, point)


def draw_arrivals(workload: Workload, seed: int) -> tuple[Arrival, ...]:
    """Return the arrivals of a Poisson process; equal seeds give equal arrivals."""
    generator = random.Random(seed)
    sampler = KeySampler(workload.key_count, workload.zipf_exponent)
    weights = [kind.weight for kind in workload.kinds]
    numbers = itertools.count()
    arrivals = []
    phase_start_s = 0.0
    for phase in workload.phases:
        phase_end_s = phase_start_s + phase.duration_s
        at_s = phase_start_s + generator.expovariate(phase.rate_per_s)
        while at_s < phase_end_s:
            kind = generator.choices(range(len(weights)), weights)[0]
            is_hot = generator.random() < workload.hot_share
            key = 0 if is_hot else sampler.draw(generator)
            work_ms = workload.kinds[kind].work_ms * _draw_work_factor(workload, generator)
            arrivals.append(Arrival(next(numbers), at_s, kind, key, work_ms))
            at_s += generator.expovariate(phase.rate_per_s)
        phase_start_s = phase_end_s
    return tuple(arrivals)


def _draw_work_factor(workload: Workload, generator: random.Random) -> float:
    is_straggler = generator.random() < workload.straggler_share
    return workload.straggler_factor if is_straggler else 1.0
