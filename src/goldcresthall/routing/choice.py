"""The choice among servers that could all do the work: power of two choices."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.routing import observations
from goldcresthall.routing import targets

if TYPE_CHECKING:
    import random

CHOICES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that could do the work, and what is known of it."""

    found: targets.FoundServer
    observation: observations.ServerObservation


def choose(candidates: tuple[Candidate, ...], generator: random.Random) -> Candidate | None:
    """Return the better of two candidates drawn at random, or none if there are none.

    A server that returns from ejection gets one request, ahead of others, to
    show that it answers. A server in its slow start takes part in only a share of
    the draws.
    """
    for candidate in candidates:
        if candidate.observation.probing:
            return candidate
    fullest = max((item.observation.weight for item in candidates), default=1.0)
    drawn = [item for item in candidates if generator.random() * fullest < item.observation.weight]
    if len(drawn) > CHOICES:
        drawn = generator.sample(drawn, CHOICES)
    return min(drawn, key=lambda item: find_score_s(item.observation), default=None)


def find_score_s(observation: observations.ServerObservation) -> float:
    """Return the expected wait at a server in seconds; own observations weigh in full."""
    load = observation.outstanding + 1 + observation.foreign_load
    return observation.latency_s * load


def is_usable(observation: observations.ServerObservation) -> bool:
    """Return whether a server may get work: one on trial gets no second request."""
    return not observation.ejected and not (observation.probing and observation.outstanding)
