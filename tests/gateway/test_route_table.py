"""Tests of route matching by host and prefix, and of weighted traffic splits."""

from __future__ import annotations

import collections
import random

from goldcresthall.core import deployment
from goldcresthall.gateway import route_table
from tests.gateway import conftest


def test_longest_prefix_of_the_host_matches() -> None:
    table = route_table.RouteTable(
        (conftest.create_route("short", "/a/"), conftest.create_route("long", "/a/b/"))
    )
    matches = [table.match("A.example:8080", path) for path in ("/a/b/c", "/a/c", "/b/")]
    assert [route.name if route else "" for route in matches] == ["long", "short", ""]
    assert table.match("b.example", "/a/") is None


def test_split_keeps_its_weights_in_every_block_of_requests() -> None:
    weighted_services = (
        deployment.WeightedService("one", 90),
        deployment.WeightedService("two", 10),
    )
    round_robins = route_table.WeightedRoundRobins(random.Random(1))
    route = conftest.create_route("split", "/a/", *weighted_services)
    chosen = [round_robins.choose_service(route) for _ in range(200)]
    for begin in range(0, 200, 20):
        assert 1 <= collections.Counter(chosen[begin : begin + 20])["two"] <= 3


def test_changed_split_starts_a_new_round_robin() -> None:
    round_robins = route_table.WeightedRoundRobins(random.Random(1))
    both = (deployment.WeightedService("one", 50), deployment.WeightedService("two", 50))
    round_robins.choose_service(conftest.create_route("split", "/a/", *both))
    moved = conftest.create_route("split", "/a/", deployment.WeightedService("two", 1))
    assert {round_robins.choose_service(moved) for _ in range(5)} == {"two"}
