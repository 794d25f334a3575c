"""The choice among servers that could all do the work: power of two choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.routing import observations
    from goldcresthall.routing import server_tracks
    from goldcresthall.routing import targets

CHOICES = 2


def choose(
    servers: list[targets.FoundServer],
    observed: observations.Observations,
    generator: random.Random,
) -> targets.FoundServer | None:
    """Return the better of two servers drawn at random, or none if there are none.

    A server that returns from ejection gets one request, ahead of others, to
    show that it answers. One in its slow start gives way in a part of the draws.
    """
    if len(servers) < CHOICES:
        return servers[0] if servers else None
    on_trial = observed.list_on_trial()
    if on_trial:
        for found in servers:
            if found.server.name in on_trial:
                return found
    first, second = generator.sample(servers, CHOICES)
    first_seen = observed.observe(first.server.name)
    second_seen = observed.observe(second.server.name)
    if not _takes_part(first_seen, generator):
        return second
    if not _takes_part(second_seen, generator):
        return first
    return first if find_score_s(first_seen) <= find_score_s(second_seen) else second


def find_score_s(observation: server_tracks.ServerObservation) -> float:
    """Return the expected wait at a server in seconds; own observations weigh in full."""
    load = observation.outstanding + 1 + observation.foreign_load
    return observation.latency_s * load


def _takes_part(seen: server_tracks.ServerObservation, generator: random.Random) -> bool:
    return seen.weight >= 1 or generator.random() < seen.weight
