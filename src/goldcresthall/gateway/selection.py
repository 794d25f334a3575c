"""Load balancing among the servers of a service that is not keyed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.gateway import estimates

REMOTE_DOMAIN_PENALTY_FACTOR = 2.0
SLOW_START_PENALTY_FACTOR = 2.0
FAILURE_PENALTY_WEIGHT = 6.0
SCORE_JITTER_FRACTION = 0.15
LOCAL_SAMPLE_SIZE = 4
REMOTE_SAMPLE_SIZE = 2


def select_server(
    candidates: list[directory.DirectoryEntry],
    server_estimates: estimates.Estimates,
    failure_domain: str,
    now_s: float,
    generator: random.Random,
) -> deployment.RegisteredServer | None:
    """Return the server with the lowest expected response time in a random sample.

    Servers that were recently unreachable are used only if there are no others. Servers
    in other failure domains are penalized, so that they get requests mainly when the local
    ones are overloaded.

    Returns
    -------
    RegisteredServer or None
        `None` if there are no candidates.
    """
    usable = [
        entry.server
        for entry in candidates
        if server_estimates.find(entry.server).deprioritized_until_s <= now_s
    ]
    usable = usable or [entry.server for entry in candidates]
    if not usable:
        return None
    local = [server for server in usable if server.failure_domain == failure_domain]
    remote = [server for server in usable if server.failure_domain != failure_domain]
    remote_sample_size = REMOTE_SAMPLE_SIZE if local else LOCAL_SAMPLE_SIZE
    sample = _draw_sample(local, LOCAL_SAMPLE_SIZE, generator) + _draw_sample(
        remote, remote_sample_size, generator
    )
    by_name = {entry.server.name: entry for entry in candidates}
    return min(
        sample,
        key=lambda server: find_score_s(
            by_name[server.name], server_estimates, failure_domain, now_s
        )
        * generator.uniform(1.0 - SCORE_JITTER_FRACTION, 1.0 + SCORE_JITTER_FRACTION),
    )


def _draw_sample(
    servers: list[deployment.RegisteredServer], max_count: int, generator: random.Random
) -> list[deployment.RegisteredServer]:
    return generator.sample(servers, max_count) if len(servers) > max_count else servers


def find_score_s(
    entry: directory.DirectoryEntry,
    server_estimates: estimates.Estimates,
    failure_domain: str,
    now_s: float,
) -> float:
    """Return a server's expected response time in seconds, with penalties applied.

    Penalties are for recent failures, for slow start after a server's registration and
    for another failure domain.
    """
    server = entry.server
    estimate = server_estimates.find(server)
    load = estimate.find_load(now_s)
    queued = max(0.0, load + 1.0 - server.slots) / server.slots
    load_penalty = 0.25 * load / server.slots
    score_s = estimate.service_time_s * (1.0 + queued + load_penalty)
    score_s *= 1.0 + FAILURE_PENALTY_WEIGHT * estimate.failure_rate
    if now_s < entry.first_seen_s + server.slow_start_remaining_s:
        score_s *= SLOW_START_PENALTY_FACTOR
    if server.failure_domain != failure_domain:
        score_s *= REMOTE_DOMAIN_PENALTY_FACTOR
    return score_s
