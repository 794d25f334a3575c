"""Tests of the graph of peers: every instance is reached from every other."""

from __future__ import annotations

import collections

import pytest

from goldcresthall.core import identity
from goldcresthall.peers import neighbors

COUNT = 3
HOPS_AT_920 = 12


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
    waiting = collections.deque([start])
    while waiting:
        name = waiting.popleft()
        for neighbor in graph[name]:
            if neighbor not in hops:
                hops[neighbor] = hops[name] + 1
                waiting.append(neighbor)
    return hops


@pytest.mark.parametrize("size", [3, 4, 6, 8, 9, 12, 50, 200, 920])
def test_every_instance_reaches_every_other(size: int) -> None:
    entries = create_entries(size, domains=min(7, size))
    graph = {
        entry.name: tuple(
            chosen.name for chosen in neighbors.choose_neighbors(entry.name, entries, COUNT)
        )
        for entry in entries
    }
    assert all(len(set(chosen)) == min(COUNT, size - 1) for chosen in graph.values())
    assert all(name not in chosen for name, chosen in graph.items())
    for start in list(graph)[:20]:
        hops = measure_hops(graph, start)
        assert len(hops) == size
        assert max(hops.values()) <= HOPS_AT_920


def test_neighbors_are_spread_over_failure_domains() -> None:
    entries = create_entries(12, domains=4)
    domains = {entry.name: entry.failure_domain for entry in entries}
    for entry in entries:
        chosen = neighbors.choose_neighbors(entry.name, entries, COUNT)
        assert len({domains[neighbor.name] for neighbor in chosen}) == COUNT


def test_nobody_is_chosen_where_nobody_else_lives() -> None:
    entries = create_entries(1, domains=1)
    assert neighbors.choose_neighbors("router-0", entries, COUNT) == ()
