"""Tests of the choice among a sample of servers."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import targets
from goldcresthall.load import work_table
from tests.gateway import conftest

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from tests.gateway.conftest import GatewayFixture

POOL = targets.PoolTarget("agenda")
NEAR = tuple(conftest.create_server(f"near-{number}") for number in range(3))
FAR = tuple(conftest.create_server(f"far-{number}", failure_domain="far") for number in range(3))


def report_load(
    gateway_fixture: GatewayFixture, server: deployment.RegisteredServer, load: float
) -> None:
    """Let a server report its load, including the request that it responds to."""
    answered = attempts.AttemptAnswered(
        outcomes.Answer(200, (), b""), attempts.ServerSignals(load=load)
    )
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, answered)


def count_choices(
    gateway_fixture: GatewayFixture, demand: selection.Demand = selection.UNKNOWN_DEMAND
) -> collections.Counter[str]:
    """Return how often each server is chosen for 400 requests."""
    generator = random.Random(3)
    found = [
        gateway_fixture.finder.find(POOL, frozenset(), generator, demand=demand) for _ in range(400)
    ]
    assert not any(isinstance(server, server_finder.Unavailable) for server in found)
    return collections.Counter(server.name for server in found)  # type: ignore[union-attr]


@pytest.mark.parametrize(("body_bytes", "far_share"), [(1_000, 1.0), (60_000, 0.0)])
def test_small_request_leaves_a_busy_domain_and_a_large_body_stays(
    gateway_fixture: GatewayFixture, body_bytes: int, far_share: float
) -> None:
    """Bytes between failure domains are expensive; a body of 60 KB costs more than a short wait."""
    gateway_fixture.directory.apply_full_list((*NEAR, *FAR))
    for server in NEAR:
        report_load(gateway_fixture, server, 8.0)
    for server in FAR:
        report_load(gateway_fixture, server, 1.0)
    chosen = count_choices(gateway_fixture, selection.Demand("agenda", body_bytes))
    far = sum(count for name, count in chosen.items() if name.startswith("far"))
    assert far / 400 == pytest.approx(far_share, abs=0.01)


def test_faster_server_is_chosen_until_its_queue_outweighs_its_speed(
    gateway_fixture: GatewayFixture,
) -> None:
    gateway_fixture.directory.apply_full_list(NEAR[:2])
    factors = (work_table.ServerSlowness(NEAR[0].incarnation, 0.6),)
    gateway_fixture.model.apply_table(work_table.WorkTable(1, factors, ()))
    assert set(count_choices(gateway_fixture)) == {"near-0"}
    report_load(gateway_fixture, NEAR[0], 9.0)
    assert set(count_choices(gateway_fixture)) == {"near-1"}


def test_server_without_a_recent_report_does_not_look_empty(
    gateway_fixture: GatewayFixture,
) -> None:
    """All instances would send to the server that none of them had heard of for a while."""
    gateway_fixture.directory.apply_full_list(NEAR)
    for _ in range(40):
        for server in NEAR[:2]:
            report_load(gateway_fixture, server, 3.0)
    chosen = count_choices(gateway_fixture)
    assert chosen["near-2"] < 200


def test_fastest_server_stays_avoided_after_its_last_report_of_a_queue_has_aged(
    gateway_fixture: GatewayFixture,
) -> None:
    """Each instance hears of a server each few seconds, so all went back to the fastest one."""
    gateway_fixture.directory.apply_full_list(NEAR)
    factors = (work_table.ServerSlowness(NEAR[0].incarnation, 0.6),)
    gateway_fixture.model.apply_table(work_table.WorkTable(1, factors, ()))
    for _ in range(10):
        report_load(gateway_fixture, NEAR[0], 8.0)
        for server in NEAR[1:]:
            report_load(gateway_fixture, server, 2.0)
    gateway_fixture.clock.advance(10.0)
    assert count_choices(gateway_fixture)["near-0"] == 0


def test_instances_that_know_the_same_do_not_choose_the_same_server(
    gateway_fixture: GatewayFixture,
) -> None:
    """The server that looks best must not get the requests of all instances at once."""
    servers = tuple(conftest.create_server(f"near-{number}") for number in range(12))
    gateway_fixture.directory.apply_full_list(servers)
    for server in servers[1:]:
        report_load(gateway_fixture, server, 3.0)
    assert max(count_choices(gateway_fixture).values()) < 0.45 * 400


def test_server_with_an_idle_connection_is_preferred_among_equal_ones(
    gateway_fixture: GatewayFixture,
) -> None:
    selector = selection.Selector(
        gateway_fixture.estimates,
        gateway_fixture.model,
        lambda address: address.port == 1,
        "near",
    )
    kept = conftest.create_server("kept", port=1)
    sample = [server_lists.DirectoryEntry(server, 0.0) for server in (*NEAR, kept)]
    shares = []
    for uses_idle in (True, False):
        demand = selection.Demand(uses_idle=uses_idle)
        generator = random.Random(4)
        chosen = [selector.select(sample, demand, 1.0, generator).name for _ in range(400)]
        shares.append(chosen.count("kept") / 400)
    assert shares[0] > 0.55
    assert shares[1] == pytest.approx(0.25, abs=0.08)


def test_all_servers_are_drawn_once_the_subset_has_no_free_slot(
    gateway_fixture: GatewayFixture,
) -> None:
    everything = selection.Candidates.divide(
        tuple(server_lists.DirectoryEntry(server, 0.0) for server in NEAR), "near"
    )
    subset = selection.Candidates(everything.entries[:1], everything.local[:1], ())
    draw = gateway_fixture.finder.selector.draw
    arguments = (subset, everything, lambda entry: True, 1_000.0, random.Random(1))
    assert [entry.server for entry in draw(*arguments)] == [NEAR[0]]
    report_load(gateway_fixture, NEAR[0], 6.0)
    assert {entry.server for entry in draw(*arguments)} == set(NEAR)
