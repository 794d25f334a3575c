"""Choice of an instance's neighbors among its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import identity


def choose_neighbors(
    own_name: str, live: tuple[identity.InstanceEntry, ...], count: int
) -> tuple[identity.InstanceEntry, ...]:
    """Return up to `count` peers, in distinct failure domains as far as possible.

    The first is the successor on a ring of all instances ordered by hash, which makes
    every instance reachable from every other whatever the other choices are. The others
    are ranked by rendezvous hashing.
    """
    by_name = {entry.name: entry for entry in live if entry.name != own_name}
    if not by_name or count <= 0:
        return ()
    chosen = [by_name[_find_successor(own_name, tuple(by_name))]]
    ranked = [by_name[name] for name in rendezvous.rank_names(own_name, by_name)]
    ranked.remove(chosen[0])
    while ranked and len(chosen) < count:
        used_domains = {entry.failure_domain for entry in chosen}
        in_unused_domains = [entry for entry in ranked if entry.failure_domain not in used_domains]
        best = (in_unused_domains or ranked)[0]
        chosen.append(best)
        ranked.remove(best)
    return tuple(chosen)


def _find_successor(own_name: str, others: tuple[str, ...]) -> str:
    own_position = (rendezvous.hash_text(own_name), own_name)
    positions = sorted((rendezvous.hash_text(name), name) for name in others)
    return next((position for position in positions if position > own_position), positions[0])[1]
