"""The choice among the servers of a service that is not divided by key."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.gateway import estimates

FAR_PENALTY = 2.0
WARMUP_PENALTY = 2.0
FAILURE_PENALTY = 6.0
JITTER = 0.15
DRAWN_NEAR = 4
DRAWN_FAR = 2


def choose(
    candidates: list[directory.Listed],
    seen: estimates.Estimates,
    failure_domain: str,
    now_s: float,
    generator: random.Random,
) -> deployment.RegisteredServer | None:
    """Return the server that should answer soonest among some drawn at random.

    Servers that just failed to answer are left out while there are others. Those in
    other failure domains take what is too much for the near ones.
    """
    usable = [
        listed.server for listed in candidates if seen.find(listed.server).shunned_until_s <= now_s
    ]
    usable = usable or [listed.server for listed in candidates]
    if not usable:
        return None
    near = [server for server in usable if server.failure_domain == failure_domain]
    far = [server for server in usable if server.failure_domain != failure_domain]
    drawn_far = DRAWN_FAR if near else DRAWN_NEAR
    drawn = _draw(near, DRAWN_NEAR, generator) + _draw(far, drawn_far, generator)
    by_name = {listed.server.name: listed for listed in candidates}
    return min(
        drawn,
        key=lambda server: find_score_s(by_name[server.name], seen, failure_domain, now_s)
        * generator.uniform(1.0 - JITTER, 1.0 + JITTER),
    )


def _draw(
    servers: list[deployment.RegisteredServer], most: int, generator: random.Random
) -> list[deployment.RegisteredServer]:
    return generator.sample(servers, most) if len(servers) > most else servers


def find_score_s(
    listed: directory.Listed, seen: estimates.Estimates, failure_domain: str, now_s: float
) -> float:
    """Return the seconds after which a server should answer, with penalties."""
    server = listed.server
    known = seen.find(server)
    load = known.find_load(now_s)
    waiting = max(0.0, load + 1.0 - server.slots) / server.slots
    crowding = 0.25 * load / server.slots
    score_s = known.service_s * (1.0 + waiting + crowding)
    score_s *= 1.0 + FAILURE_PENALTY * known.failure_rate
    if now_s < listed.first_seen_s + server.slow_start_remaining_s:
        score_s *= WARMUP_PENALTY
    if server.failure_domain != failure_domain:
        score_s *= FAR_PENALTY
    return score_s
