"""Selection among equivalent servers by the power of two random choices."""

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
    """Return the better of two servers sampled at random, or `None` if there are none.

    A half-open server is preferred, so that a single request shows whether it has
    recovered. A server in slow start loses the comparison with a probability that
    falls as its weight rises.
    """
    if len(servers) < SAMPLE_SIZE:
        return servers[0] if servers else None
    half_open = observed.list_half_open()
    if half_open:
        for candidate in servers:
            if candidate.server.name in half_open:
                return candidate
    first, second = generator.sample(servers, SAMPLE_SIZE)
    first_observation = observed.observe(first.server.name)
    second_observation = observed.observe(second.server.name)
    if not _passes_slow_start(first_observation, generator):
        return second
    if not _passes_slow_start(second_observation, generator):
        return first
    return first if find_score_s(first_observation) <= find_score_s(second_observation) else second


def find_score_s(observation: server_stats.ServerObservation) -> float:
    """Return the expected response time of one more request at a server, in seconds.

    The requests of this instance count in full; the load reported by the server is
    discounted by its age.
    """
    load = observation.outstanding + 1 + observation.external_load
    return observation.latency_s * load


def _passes_slow_start(
    observation: server_stats.ServerObservation, generator: random.Random
) -> bool:
    return observation.weight >= 1 or generator.random() < observation.weight
