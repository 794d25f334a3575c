"""Selects the candidates for a server's lessor and ranks them for takeover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.ownership import lookup
    from goldcresthall.replication import state as replicated

MAX_CANDIDATES = 3


def rank_successors(
    keyed: lookup.KeyedServer, live: tuple[identity.InstanceEntry, ...], excluded_name: str
) -> tuple[str, ...]:
    """Return the names of the instances that may become a server's lessor, best first.

    Instances in the server's own failure domain are used only if there are no others.
    """
    live_entries = [entry for entry in live if entry.name != excluded_name]
    outside_domain = [
        entry for entry in live_entries if entry.failure_domain != keyed.server.failure_domain
    ]
    return rendezvous.rank_names(
        keyed.server.name, [entry.name for entry in outside_domain or live_entries]
    )


def find_rank(
    keyed: lookup.KeyedServer,
    state: replicated.State,
    live: tuple[identity.InstanceEntry, ...],
    own_name: str,
) -> int | None:
    """Return the rank of an instance among a server's candidates, or `None`.

    The current lessor is excluded, because candidates act on its failure. An instance
    that restarted under the lessor's name is a candidate.
    """
    server_state = state.servers.get(keyed.server.name)
    excluded_name = (
        server_state.lessor.name
        if server_state is not None and server_state.lessor.name != own_name
        else ""
    )
    ranked = rank_successors(keyed, live, excluded_name)[:MAX_CANDIDATES]
    return ranked.index(own_name) if own_name in ranked else None
