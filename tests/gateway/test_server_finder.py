"""Tests of where the next try goes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.gateway import server_finder
from goldcresthall.ranges import owners
from tests.gateway import conftest

if TYPE_CHECKING:
    from tests.gateway.conftest import GatewayFixture

GENERATOR = random.Random(1)
POOL = server_finder.PoolTarget("agenda")
KEY = server_finder.KeyTarget("ledger", 7)


def find(
    fixture: GatewayFixture, target: server_finder.Target, tried: frozenset[str] = frozenset()
) -> str:
    """Return the name of the server found, or the reason why there is none."""
    found = fixture.finder.find(target, tried, GENERATOR)
    if isinstance(found, server_finder.Unavailable):
        return found.refused.reason.value
    return found.name


def assign_keys(fixture: GatewayFixture, owner: str, *, ready: bool = True) -> None:
    """Give all keys of the ledger to a server."""
    owned = key_ranges.RangeOwner(
        "ledger",
        key_ranges.KeyRange(0, key_ranges.LAST_KEY),
        deployment.ServerIncarnation(owner, 1),
        ready,
    )
    revision = fixture.owners.view.revision + 1
    fixture.owners.apply(owners.OwnersView(1, revision, (owned,)))


def answer(load: float) -> attempts.AttemptAnswered:
    """Return a good answer with the load that the server tells."""
    return attempts.AttemptAnswered(
        outcomes.Answer(200, (), b""), attempts.ServerSignals(load=load)
    )


def test_draining_and_tried_servers_get_nothing(fixture: GatewayFixture) -> None:
    fixture.directory.apply_full_list(
        (
            conftest.create_server("draining", draining=True),
            conftest.create_server("tried"),
            conftest.create_server("left"),
        )
    )
    assert {find(fixture, POOL, frozenset({"tried"})) for _ in range(20)} == {"left"}
    assert find(fixture, POOL, frozenset({"tried", "left"})) == "no_server_available"


def test_a_server_gets_no_more_than_this_instances_part(fixture: GatewayFixture) -> None:
    server = conftest.create_server("one")
    fixture.directory.apply_full_list((server,))
    for _ in range(5):
        assert find(fixture, POOL) == "one"
        fixture.estimates.start_attempt(server)
    assert find(fixture, POOL) == "queue_full"
    fixture.estimates.finish_attempt(server, answer(1.0), 0.1)
    assert find(fixture, POOL) == "one"


def test_a_server_that_tells_of_a_full_queue_gets_nothing_for_a_while(
    fixture: GatewayFixture,
) -> None:
    server = conftest.create_server("one")
    fixture.directory.apply_full_list((server,))
    fixture.estimates.start_attempt(server)
    fixture.estimates.finish_attempt(server, answer(19.0), 0.1)
    assert find(fixture, POOL) == "queue_full"
    fixture.clock.advance(1.5)
    assert find(fixture, POOL) == "one"


@pytest.mark.parametrize(
    "crowded",
    [
        attempts.AttemptNotRun(
            outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "status 503"
        ),
        attempts.AttemptUnknown(
            outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "reset by peer"
        ),
    ],
)
def test_a_server_that_shed_or_reset_gets_nothing_for_a_while(
    fixture: GatewayFixture, crowded: attempts.Attempt
) -> None:
    server = conftest.create_server("owner", "ledger")
    fixture.directory.apply_full_list((server,))
    assign_keys(fixture, "owner")
    fixture.estimates.start_attempt(server)
    fixture.estimates.finish_attempt(server, crowded, 0.01)
    assert find(fixture, KEY) == "queue_full"
    fixture.clock.advance(0.8)
    assert find(fixture, KEY) == "owner"


def test_a_server_that_shed_with_room_by_its_own_word_gets_more(
    fixture: GatewayFixture,
) -> None:
    server = conftest.create_server("owner", "ledger")
    fixture.directory.apply_full_list((server,))
    assign_keys(fixture, "owner")
    shed = attempts.AttemptNotRun(
        outcomes.RefusalReason.SERVER_SHED,
        outcomes.Step.EXECUTE,
        "status 503",
        signals=attempts.ServerSignals(load=2.0),
    )
    fixture.estimates.start_attempt(server)
    fixture.estimates.finish_attempt(server, shed, 0.01)
    assert find(fixture, KEY) == "owner"


def test_a_server_that_refused_a_connection_is_left_out_while_there_are_others(
    fixture: GatewayFixture,
) -> None:
    servers = (conftest.create_server("down"), conftest.create_server("up"))
    fixture.directory.apply_full_list(servers)
    refused = attempts.AttemptNotRun(
        outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, "refused"
    )
    fixture.estimates.start_attempt(servers[0])
    fixture.estimates.finish_attempt(servers[0], refused, 0.001)
    assert {find(fixture, POOL) for _ in range(20)} == {"up"}
    assert find(fixture, POOL, frozenset({"up"})) == "down"


def test_servers_of_other_failure_domains_get_what_is_too_much_for_the_near_ones(
    fixture: GatewayFixture,
) -> None:
    local = tuple(conftest.create_server(f"near-{number}") for number in range(3))
    remote = tuple(
        conftest.create_server(f"far-{number}", failure_domain="far") for number in range(9)
    )
    fixture.directory.apply_full_list((*local, *remote))
    chosen = [find(fixture, POOL) for _ in range(200)]
    assert {name.partition("-")[0] for name in chosen} == {"near"}
    for server in local:
        for _ in range(5):
            fixture.estimates.start_attempt(server)
    assert {find(fixture, POOL).partition("-")[0] for _ in range(50)} == {"far"}


def test_only_the_owner_of_a_key_is_found(fixture: GatewayFixture) -> None:
    assert find(fixture, KEY) == "no_owner"
    fixture.directory.apply_full_list((conftest.create_server("owner", "ledger"),))
    assign_keys(fixture, "owner")
    assert find(fixture, KEY) == "owner"
    assign_keys(fixture, "owner", ready=False)
    assert find(fixture, KEY) == "no_owner"


def test_an_owner_in_another_life_is_no_owner(fixture: GatewayFixture) -> None:
    fixture.directory.apply_full_list((conftest.create_server("owner", "ledger", started_ms=2),))
    assign_keys(fixture, "owner")
    assert find(fixture, KEY) == "no_owner"


def test_a_draining_owner_gets_work_for_a_part_of_the_drain_time_only(
    fixture: GatewayFixture,
) -> None:
    fixture.directory.apply_full_list((conftest.create_server("owner", "ledger", draining=True),))
    assign_keys(fixture, "owner")
    assert find(fixture, KEY) == "owner"
    fixture.clock.advance(0.6)
    assert find(fixture, KEY) == "no_owner"
