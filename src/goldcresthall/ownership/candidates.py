"""Which instances watch a server, and in which order they would take over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.ownership import lookup
    from goldcresthall.replication import state as replicated

CANDIDATE_COUNT = 3


def rank_successors(
    keyed: lookup.KeyedServer, live: tuple[identity.InstanceEntry, ...], without: str
) -> tuple[str, ...]:
    """Return the instances that may become a server's lessor, the first to try first.

    They are in other failure domains than the server, as far as there are any.
    """
    listed = [entry for entry in live if entry.name != without]
    others = [entry for entry in listed if entry.failure_domain != keyed.server.failure_domain]
    return rendezvous.rank_names(keyed.server.name, [entry.name for entry in others or listed])


def find_rank(
    keyed: lookup.KeyedServer,
    state: replicated.State,
    live: tuple[identity.InstanceEntry, ...],
    own_name: str,
) -> int | None:
    """Return the rank of an instance among a server's candidates; none if it is not one.

    The present lessor is left out, as its failure is what the others wait for; an
    instance that came back under the lessor's name is a candidate.
    """
    known = state.servers.get(keyed.server.name)
    failing = known.lessor.name if known is not None and known.lessor.name != own_name else ""
    ranked = rank_successors(keyed, live, failing)[:CANDIDATE_COUNT]
    return ranked.index(own_name) if own_name in ranked else None
