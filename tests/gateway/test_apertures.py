"""Tests of the subsets of servers that instances use."""

from __future__ import annotations

import collections

import pytest

from goldcresthall.gateway import apertures
from goldcresthall.gateway import server_lists
from tests.gateway import conftest

DOMAINS = ("a", "b", "c")


def list_entries(count: int) -> tuple[server_lists.DirectoryEntry, ...]:
    """Return servers in three failure domains."""
    return tuple(
        server_lists.DirectoryEntry(
            conftest.create_server(f"i-{number * 7919:06x}", failure_domain=DOMAINS[number % 3]),
            0.0,
        )
        for number in range(count)
    )


def find_views(server_count: int, instance_count: int) -> list[apertures.View]:
    """Return the view of each of a number of instances in three failure domains."""
    entries = list_entries(server_count)
    return [
        apertures.Apertures(f"router-{number}", DOMAINS[number % 3]).find(
            "agenda", entries, instance_count
        )
        for number in range(instance_count)
    ]


@pytest.mark.parametrize(
    ("server_count", "instance_count", "size"),
    [(24, 12, 24), (166, 16, 166), (54, 83, 8), (10, 58, 6), (4, 195, 4), (166, 195, 11)],
)
def test_subset_applies_to_many_instances_only(
    server_count: int, instance_count: int, size: int
) -> None:
    for view in find_views(server_count, instance_count):
        assert len(view.subset.entries) == size
        assert (view.subset is view.everything) == (size == server_count)


@pytest.mark.parametrize(("server_count", "instance_count"), [(54, 83), (10, 58), (166, 195)])
def test_subsets_cover_all_servers_about_evenly(server_count: int, instance_count: int) -> None:
    """A server in too few subsets would stay idle while others had queues."""
    counts: collections.Counter[str] = collections.Counter()
    for view in find_views(server_count, instance_count):
        counts.update(entry.server.name for entry in view.subset.entries)
    mean = sum(counts.values()) / server_count
    assert len(counts) == server_count
    assert min(counts.values()) > 0.25 * mean
    assert max(counts.values()) < 1.8 * mean


def test_subset_lies_mostly_in_the_own_failure_domain() -> None:
    for number, view in enumerate(find_views(54, 83)):
        domains = [entry.server.failure_domain for entry in view.subset.entries]
        assert domains.count(DOMAINS[number % 3]) == 6
        assert len(view.subset.local) == 6
        assert len(view.subset.remote) == 2


def test_lost_or_draining_server_is_replaced_by_one_other() -> None:
    entries = list_entries(54)
    own = apertures.Apertures("router-1", "b")
    before = {entry.server.name for entry in own.find("agenda", entries, 83).subset.entries}
    lost = min(before)
    for left in (
        tuple(entry for entry in entries if entry.server.name != lost),
        tuple(
            (
                server_lists.DirectoryEntry(entry.server, 0.0, 1.0)
                if entry.server.name == lost
                else entry
            )
            for entry in entries
        ),
    ):
        after = {entry.server.name for entry in own.find("agenda", left, 83).subset.entries}
        assert len(after) == len(before)
        assert before - after == {lost}


def test_unchanged_servers_are_not_ranked_again() -> None:
    entries = list_entries(54)
    own = apertures.Apertures("router-1", "b")
    assert own.find("agenda", entries, 83) is own.find("agenda", entries, 84)
