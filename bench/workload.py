"""What callers ask for: kinds of request, phases of load and seeded open-loop arrivals."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import random

from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Attributes
    ----------
    path
        Path with ``{key}`` where the key stands.
    weight
        Share of all requests, relative to the other kinds.
    work_ms
        Milliseconds that a backend server works on it.
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
    """A stretch of time with one arrival rate, in requests per second."""

    duration_s: float
    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """All that a seed turns into arrivals.

    Attributes
    ----------
    key_count
        Number of keys in use.
    zipf_exponent
        Skew of the keys; the first is the hottest.
    hot_share
        Share of requests that ask for the hottest key, on top of the skew.
    straggler_share
        Share of requests whose work runs `straggler_factor` times longer, unannounced.
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
        """Seconds from the first phase's start to the last one's end."""
        return sum(phase.duration_s for phase in self.phases)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request and the moment at which it is due.

    Attributes
    ----------
    at_s
        Seconds after the run's start.
    """

    number: int
    at_s: float
    kind: int
    key: int
    work_ms: float


class KeySampler:
    """Draws keys by Zipf's law."""

    def __init__(self, count: int, exponent: float) -> None:
        weights = [1.0 / rank**exponent for rank in range(1, count + 1)]
        self._cumulative = list(itertools.accumulate(weights))

    def draw(self, generator: random.Random) -> int:
        """Return a key's rank, zero for the hottest."""
        point = generator.random() * self._cumulative[-1]
        return bisect.bisect_left(self._cumulative, point)


def draw_arrivals(workload: Workload, seed: int) -> tuple[Arrival, ...]:
    """Return the arrivals of a Poisson process, the same for the same seed."""
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
            work_ms = workload.kinds[kind].work_ms * _draw_factor(workload, generator)
            arrivals.append(Arrival(next(numbers), at_s, kind, key, work_ms))
            at_s += generator.expovariate(phase.rate_per_s)
        phase_start_s = phase_end_s
    return tuple(arrivals)


def _draw_factor(workload: Workload, generator: random.Random) -> float:
    is_straggler = generator.random() < workload.straggler_share
    return workload.straggler_factor if is_straggler else 1.0
