"""Which few peers an instance follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import identity


def choose_neighbors(
    own_name: str, live: tuple[identity.InstanceEntry, ...], count: int
) -> tuple[identity.InstanceEntry, ...]:
    """Return `count` peers, spread over failure domains as far as there are any."""
    by_name = {entry.name: entry for entry in live if entry.name != own_name}
    ranked = [by_name[name] for name in rendezvous.rank_names(own_name, by_name)]
    chosen: list[identity.InstanceEntry] = []
    while ranked and len(chosen) < count:
        seen = {entry.failure_domain for entry in chosen}
        fresh = [entry for entry in ranked if entry.failure_domain not in seen]
        best = (fresh or ranked)[0]
        chosen.append(best)
        ranked.remove(best)
    return tuple(chosen)
