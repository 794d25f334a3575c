"""Whether another server than a suspected one can run a request, by the kind of target."""

from __future__ import annotations

import functools

from goldcresthall.core import deployment
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import targets


@functools.singledispatch
def has_alternative(
    target: targets.Target,
    finder: server_finder.ServerFinder,
    server: deployment.RegisteredServer,
    tried: frozenset[str],
) -> bool:
    """Return whether a server other than a suspected one can run a request now."""
    raise NotImplementedError(type(target).__name__)


@has_alternative.register
def _(
    target: targets.PoolTarget,
    finder: server_finder.ServerFinder,
    server: deployment.RegisteredServer,
    tried: frozenset[str],
) -> bool:
    excluded = tried | {server.name}
    return any(
        finder.is_listed_candidate(entry, excluded)
        and finder.find_pause_s(entry.server) <= 0
        and finder.restrictions.allows(entry.server)
        and finder.find_circuit(entry.server) is None
        and finder.has_capacity(entry.server, 0.0)
        for entry in finder.find_view(target.service).everything.entries
    )


@has_alternative.register
def _(
    target: targets.KeyTarget,
    finder: server_finder.ServerFinder,
    server: deployment.RegisteredServer,
    tried: frozenset[str],
) -> bool:
    # Only the owner may run the request, so a retry helps only once the key has another one.
    range_owner = finder.owners.find(target.service, target.key)
    if range_owner is None or not range_owner.ready or range_owner.owner == server.incarnation:
        return False
    entry = finder.directory.servers.find(range_owner.owner)
    return entry is not None and finder.find_circuit(entry.server) is None
