"""Tests of the peer graph: every instance is reachable from every other."""

from __future__ import annotations

import collections

import pytest

from goldcresthall.core import identity
from goldcresthall.peers import neighbors

NEIGHBOR_COUNT = 3
MAX_HOPS_AT_920_INSTANCES = 12


def create_entries(size: int, domains: int) -> tuple[identity.InstanceEntry, ...]:
    return tuple(
        identity.InstanceEntry(
            name=f"router-{number}",
            failure_domain=f"domain-{number % domains}",
            peer_address=identity.Address("127.0.0.1", 10_000 + number),
            status=identity.InstanceStatus.LIVE,
        )
        for number in range(size)
    )


def measure_hops(graph: dict[str, tuple[str, ...]], start: str) -> dict[str, int]:
    hops = {start: 0}
    queue = collections.deque([start])
    while queue:
        name = queue.popleft()
        for neighbor in graph[name]:
            if neighbor not in hops:
                hops[neighbor] = hops[name] + 1
                queue.append(neighbor)
    return hops


@pytest.mark.parametrize("size", [3, 4, 6, 8, 9, 12, 50, 200, 920])
def test_every_instance_is_reachable_within_the_hop_limit(size: int) -> None:
    entries = create_entries(size, domains=min(7, size))
    graph = {
        entry.name: tuple(
            chosen.name
            for chosen in neighbors.choose_neighbors(entry.name, entries, NEIGHBOR_COUNT)
        )
        for entry in entries
    }
    assert all(len(set(chosen)) == min(NEIGHBOR_COUNT, size - 1) for chosen in graph.values())
    assert all(name not in chosen for name, chosen in graph.items())
    for start in list(graph)[:20]:
        hops = measure_hops(graph, start)
        assert len(hops) == size
        assert max(hops.values()) <= MAX_HOPS_AT_920_INSTANCES


def test_neighbors_are_in_distinct_failure_domains() -> None:
    entries = create_entries(12, domains=4)
    domains = {entry.name: entry.failure_domain for entry in entries}
    for entry in entries:
        chosen = neighbors.choose_neighbors(entry.name, entries, NEIGHBOR_COUNT)
        assert len({domains[neighbor.name] for neighbor in chosen}) == NEIGHBOR_COUNT


def test_single_instance_has_no_neighbors() -> None:
    entries = create_entries(1, domains=1)
    assert neighbors.choose_neighbors("router-0", entries, NEIGHBOR_COUNT) == ()
