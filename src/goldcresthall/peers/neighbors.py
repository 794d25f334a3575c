"""Which few peers an instance follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import identity


def choose_neighbors(
    own_name: str, live: tuple[identity.InstanceEntry, ...], count: int
) -> tuple[identity.InstanceEntry, ...]:
    """Return `count` peers, spread over failure domains as far as there are any.

    The first is the next instance on a circle of all instances, ordered by hash:
    whatever the other choices are, every instance can be reached from every
    other along the circle. The others are weighed by rendezvous hashing.
    """
    by_name = {entry.name: entry for entry in live if entry.name != own_name}
    if not by_name or count <= 0:
        return ()
    chosen = [by_name[_find_successor(own_name, tuple(by_name))]]
    ranked = [by_name[name] for name in rendezvous.rank_names(own_name, by_name)]
    ranked.remove(chosen[0])
    while ranked and len(chosen) < count:
        seen = {entry.failure_domain for entry in chosen}
        fresh = [entry for entry in ranked if entry.failure_domain not in seen]
        best = (fresh or ranked)[0]
        chosen.append(best)
        ranked.remove(best)
    return tuple(chosen)


def _find_successor(own_name: str, others: tuple[str, ...]) -> str:
    own_place = (rendezvous.hash_text(own_name), own_name)
    places = sorted((rendezvous.hash_text(name), name) for name in others)
    return next((place for place in places if place > own_place), places[0])[1]
