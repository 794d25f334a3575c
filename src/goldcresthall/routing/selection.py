"""The choice among servers that could all do the work: power of two choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.routing import observations
    from goldcresthall.routing import server_stats
    from goldcresthall.routing import targets

SAMPLE_SIZE = 2


def select_server(
    servers: list[targets.CandidateServer],
    observed: observations.Observations,
    generator: random.Random,
) -> targets.CandidateServer | None:
    """Return the better of two servers drawn at random, or none if there are none.

    A server that returns from ejection gets one request, ahead of others, to
    show that it answers. One in its slow start gives way in a part of the draws.
    """
    if len(servers) < SAMPLE_SIZE:
        return servers[0] if servers else None
    half_open = observed.list_half_open()
    if half_open:
        for candidate in servers:
            if candidate.server.name in half_open:
                return candidate
    first, second = generator.sample(servers, SAMPLE_SIZE)
    first_seen = observed.observe(first.server.name)
    second_seen = observed.observe(second.server.name)
    if not _passes_slow_start(first_seen, generator):
        return second
    if not _passes_slow_start(second_seen, generator):
        return first
    return first if find_score_s(first_seen) <= find_score_s(second_seen) else second


def find_score_s(observation: server_stats.ServerObservation) -> float:
    """Return the expected wait at a server in seconds; own observations weigh in full."""
    load = observation.outstanding + 1 + observation.external_load
    return observation.latency_s * load


def _passes_slow_start(
    observation: server_stats.ServerObservation, generator: random.Random
) -> bool:
    return observation.weight >= 1 or generator.random() < observation.weight
