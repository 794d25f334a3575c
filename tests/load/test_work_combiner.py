"""Tests of the table that the lessor makes of all instances' samples."""

from __future__ import annotations

import pytest

from goldcresthall.core import deployment
from goldcresthall.core import row_changes
from goldcresthall.gateway import estimates
from goldcresthall.load import work_combiner
from goldcresthall.load import work_table

SERVERS = tuple(deployment.ServerIncarnation(f"server-{number}", 1) for number in range(4))


def create_combiner() -> work_combiner.WorkCombiner:
    """Return a combiner for four servers of one service."""
    return work_combiner.WorkCombiner(dict.fromkeys(SERVERS, "agenda").get)


def add(
    combiner: work_combiner.WorkCombiner, now_s: float, first_s: float, route_s: float = 0.1
) -> None:
    """Add samples: some of each server, of which the first takes `first_s`."""
    times_s = (first_s, 0.1, 0.1, 0.1)
    samples = tuple(
        estimates.LatencySample(server, 50, 50 * time_s)
        for server, time_s in zip(SERVERS, times_s, strict=True)
    )
    combiner.add(samples, (work_table.RouteSample("reads", 50, 50 * route_s),), now_s)


def find_first_factor(table: work_table.WorkTable) -> float:
    """Return the factor of the first server."""
    return table.servers[0].factor


def test_no_table_is_published_before_the_first_samples() -> None:
    assert create_combiner().update_table(1.0).revision == row_changes.NO_REVISION


def test_factors_are_relative_to_the_service_and_shrunk() -> None:
    combiner = create_combiner()
    add(combiner, 0.0, 0.3)
    table = combiner.update_table(0.0)
    assert find_first_factor(table) == pytest.approx((50 * 2.0 + 6.0) / 56.0)
    assert table.servers[1].factor == pytest.approx((50 * 2 / 3 + 6.0) / 56.0)
    assert table.routes == (work_table.RouteWork("reads", pytest.approx(0.1)),)


def test_table_is_replaced_only_on_a_change_of_more_than_a_tenth() -> None:
    """A table has some kilobytes and goes to each instance."""
    combiner = create_combiner()
    add(combiner, 0.0, 0.1)
    first = combiner.update_table(0.0)
    add(combiner, 5.0, 0.11, route_s=0.11)
    assert combiner.update_table(5.0) is first
    add(combiner, 10.0, 0.2)
    second = combiner.update_table(10.0)
    assert second.revision == first.revision + 1
    assert find_first_factor(second) > 1.1


def test_small_change_waits_and_a_large_one_does_not() -> None:
    """The noise of servers with few requests made a table each second."""
    combiner = create_combiner()
    add(combiner, 0.0, 0.1)
    first = combiner.update_table(0.0)
    add(combiner, 1.0, 0.2)
    assert combiner.update_table(1.0) is first
    add(combiner, 2.0, 0.9)
    second = combiner.update_table(2.0)
    assert second is not first
    add(combiner, 3.0, 0.1)
    assert combiner.update_table(3.0) is second
    assert combiner.update_table(6.0) is not second


def test_table_is_computed_at_most_at_its_interval() -> None:
    combiner = create_combiner()
    add(combiner, 0.0, 0.1)
    first = combiner.update_table(0.0)
    add(combiner, 0.1, 0.5)
    assert combiner.update_table(0.39) is first
    assert combiner.update_table(0.4) is not first


def test_route_with_few_samples_is_not_published() -> None:
    combiner = create_combiner()
    combiner.add((), (work_table.RouteSample("reads", 4, 4.0),), 0.0)
    assert combiner.update_table(0.0).routes == ()


def test_route_without_recent_samples_keeps_its_work() -> None:
    combiner = create_combiner()
    add(combiner, 0.0, 0.1)
    combiner.update_table(0.0)
    assert combiner.update_table(86_400.0).routes[0].mean_s == pytest.approx(0.1)


def test_deregistered_server_leaves_the_table() -> None:
    registered = dict.fromkeys(SERVERS, "agenda")
    combiner = work_combiner.WorkCombiner(registered.get)
    add(combiner, 0.0, 0.1)
    combiner.update_table(0.0)
    del registered[SERVERS[0]]
    assert {row.server for row in combiner.update_table(1.0).servers} == set(SERVERS[1:])


def test_new_lessor_goes_on_from_the_table_that_it_followed() -> None:
    """Otherwise each change of the lessor would make all servers look alike for some time."""
    combiner = create_combiner()
    inherited = work_table.ServerSlowness(SERVERS[0], 2.0)
    combiner.begin_term(work_table.WorkTable(7, (inherited,), ()), 0.0)
    combiner.add((estimates.LatencySample(SERVERS[0], 1, 0.1),), (), 0.0)
    combiner.add((estimates.LatencySample(SERVERS[1], 1, 0.1),), (), 0.0)
    table = combiner.update_table(0.0)
    assert table.revision == 0
    assert find_first_factor(table) == pytest.approx((1.0 + 40 * 2.0 + 6.0) / 47.0)


def test_inherited_factor_fades_so_that_an_avoided_server_gets_requests_again() -> None:
    """A server that nobody chooses has no samples that could show that it has recovered."""
    combiner = create_combiner()
    inherited = work_table.ServerSlowness(SERVERS[0], 4.0)
    combiner.begin_term(work_table.WorkTable(7, (inherited,), ()), 0.0)
    add(combiner, 0.0, 0.4)
    factors = [
        find_first_factor(combiner.update_table(now_s)) for now_s in (0.0, 60.0, 120.0, 240.0)
    ]
    assert factors == sorted(factors, reverse=True)
    assert factors[-1] < 1.1
