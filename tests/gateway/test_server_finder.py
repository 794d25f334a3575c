"""Tests of the selection of a server for the next attempt."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.gateway import estimates
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_capacity
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import targets
from goldcresthall.ranges import owners
from tests.gateway import conftest

if TYPE_CHECKING:
    from tests.gateway.conftest import GatewayFixture

GENERATOR = random.Random(1)
POOL = targets.PoolTarget("agenda")
KEY = targets.KeyTarget("ledger", 7)


def find(
    gateway_fixture: GatewayFixture,
    target: targets.Target,
    tried: frozenset[str] = frozenset(),
    target_in_s: float = math.inf,
) -> str:
    """Return the name of the server found, or the reason of the refusal."""
    selected = gateway_fixture.finder.find(target, tried, GENERATOR, target_in_s)
    if isinstance(selected, server_finder.Unavailable):
        return selected.refused.reason.value
    return selected.name


def assign_keys(gateway_fixture: GatewayFixture, owner: str, *, ready: bool = True) -> None:
    """Make a server the owner of all keys of the ledger service."""
    range_owner = key_ranges.RangeOwner(
        "ledger",
        key_ranges.KeyRange(0, key_ranges.LAST_KEY),
        deployment.ServerIncarnation(owner, 1),
        ready,
    )
    revision = gateway_fixture.owners.view.revision + 1
    gateway_fixture.owners.apply(owners.OwnersView(1, revision, (range_owner,)))


def create_answered_attempt(load: float) -> attempts.AttemptAnswered:
    """Return a successful attempt with a load reported by the server."""
    return attempts.AttemptAnswered(
        outcomes.Answer(200, (), b""), attempts.ServerSignals(load=load)
    )


def test_draining_and_tried_servers_are_not_selected(gateway_fixture: GatewayFixture) -> None:
    gateway_fixture.directory.apply_full_list(
        (
            conftest.create_server("draining", draining=True),
            conftest.create_server("tried"),
            conftest.create_server("left"),
        )
    )
    assert {find(gateway_fixture, POOL, frozenset({"tried"})) for _ in range(20)} == {"left"}
    assert find(gateway_fixture, POOL, frozenset({"tried", "left"})) == "no_server_available"


def test_outstanding_requests_are_limited_to_the_instances_share(
    gateway_fixture: GatewayFixture,
) -> None:
    server = conftest.create_server("one")
    gateway_fixture.directory.apply_full_list((server,))
    for _ in range(5):
        assert find(gateway_fixture, POOL) == "one"
        gateway_fixture.estimates.start_attempt(server)
    assert find(gateway_fixture, POOL) == "queue_full"
    gateway_fixture.estimates.finish_attempt(server, create_answered_attempt(1.0))
    assert find(gateway_fixture, POOL) == "one"


def test_server_that_reports_a_full_queue_is_unusable_until_the_report_decays(
    gateway_fixture: GatewayFixture,
) -> None:
    server = conftest.create_server("one")
    gateway_fixture.directory.apply_full_list((server,))
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, create_answered_attempt(19.0))
    assert find(gateway_fixture, POOL) == "queue_full"
    gateway_fixture.clock.advance(1.5)
    assert find(gateway_fixture, POOL) == "one"


@pytest.mark.parametrize(
    "overloaded",
    [
        attempts.AttemptNotRun(
            outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "status 503"
        ),
        attempts.AttemptUnknown(
            outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "reset by peer"
        ),
    ],
)
def test_server_that_shed_or_reset_is_unusable_until_the_load_decays(
    gateway_fixture: GatewayFixture, overloaded: attempts.Attempt
) -> None:
    server = conftest.create_server("owner", "ledger")
    gateway_fixture.directory.apply_full_list((server,))
    assign_keys(gateway_fixture, "owner")
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, overloaded)
    assert find(gateway_fixture, KEY) == "queue_full"
    gateway_fixture.clock.advance(0.8)
    assert find(gateway_fixture, KEY) == "owner"


def test_server_that_shed_but_reports_low_load_stays_usable(
    gateway_fixture: GatewayFixture,
) -> None:
    server = conftest.create_server("owner", "ledger")
    gateway_fixture.directory.apply_full_list((server,))
    assign_keys(gateway_fixture, "owner")
    shed = attempts.AttemptNotRun(
        outcomes.RefusalReason.SERVER_SHED,
        outcomes.Step.EXECUTE,
        "status 503",
        signals=attempts.ServerSignals(load=2.0),
    )
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, shed)
    assert find(gateway_fixture, KEY) == "owner"


def test_unreachable_server_is_selected_only_without_alternatives(
    gateway_fixture: GatewayFixture,
) -> None:
    servers = (conftest.create_server("down"), conftest.create_server("up"))
    gateway_fixture.directory.apply_full_list(servers)
    refused = attempts.AttemptNotRun(
        outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, "refused"
    )
    gateway_fixture.estimates.start_attempt(servers[0])
    gateway_fixture.estimates.finish_attempt(servers[0], refused)
    assert {find(gateway_fixture, POOL) for _ in range(20)} == {"up"}
    assert find(gateway_fixture, POOL, frozenset({"up"})) == "down"


def test_remote_servers_are_selected_only_when_local_ones_are_at_their_limit(
    gateway_fixture: GatewayFixture,
) -> None:
    local = tuple(conftest.create_server(f"near-{number}") for number in range(3))
    remote = tuple(
        conftest.create_server(f"far-{number}", failure_domain="far") for number in range(9)
    )
    gateway_fixture.directory.apply_full_list((*local, *remote))
    chosen = [find(gateway_fixture, POOL) for _ in range(200)]
    assert {name.partition("-")[0] for name in chosen} == {"near"}
    for server in local:
        for _ in range(5):
            gateway_fixture.estimates.start_attempt(server)
    assert {find(gateway_fixture, POOL).partition("-")[0] for _ in range(50)} == {"far"}


def test_only_the_ready_owner_of_a_key_is_selected(gateway_fixture: GatewayFixture) -> None:
    assert find(gateway_fixture, KEY) == "no_owner"
    gateway_fixture.directory.apply_full_list((conftest.create_server("owner", "ledger"),))
    assign_keys(gateway_fixture, "owner")
    assert find(gateway_fixture, KEY) == "owner"
    assign_keys(gateway_fixture, "owner", ready=False)
    assert find(gateway_fixture, KEY) == "no_owner"


def test_owner_with_another_incarnation_is_not_selected(gateway_fixture: GatewayFixture) -> None:
    gateway_fixture.directory.apply_full_list(
        (conftest.create_server("owner", "ledger", started_ms=2),)
    )
    assign_keys(gateway_fixture, "owner")
    assert find(gateway_fixture, KEY) == "no_owner"


def test_draining_owner_is_used_for_part_of_the_drain_time_only(
    gateway_fixture: GatewayFixture,
) -> None:
    gateway_fixture.directory.apply_full_list((conftest.create_server("owner", "ledger"),))
    gateway_fixture.directory.apply_full_list(
        (conftest.create_server("owner", "ledger", draining=True),)
    )
    assign_keys(gateway_fixture, "owner")
    assert find(gateway_fixture, KEY) == "owner"
    gateway_fixture.clock.advance(0.6)
    assert find(gateway_fixture, KEY) == "no_owner"


@pytest.mark.parametrize("target", [POOL, KEY])
def test_request_joins_a_queue_only_if_it_can_meet_its_latency_target(
    gateway_fixture: GatewayFixture, target: targets.Target
) -> None:
    """A hot key once filled its owner's queue until all responses were late."""
    server = conftest.create_server("one", target.service)
    gateway_fixture.directory.apply_full_list((server,))
    assign_keys(gateway_fixture, "one")
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, create_answered_attempt(9.0))
    gateway_fixture.model.record("", server, create_answered_attempt(9.0), 0.4)
    response_time_s = gateway_fixture.finder.find_response_time_s(server, 8.0)
    assert response_time_s > 2 * gateway_fixture.model.expect_s("", server)
    assert find(gateway_fixture, target, target_in_s=response_time_s + 0.01) == "one"
    assert find(gateway_fixture, target, target_in_s=response_time_s - 0.01) == "queue_full"


def test_late_request_takes_a_free_slot(gateway_fixture: GatewayFixture) -> None:
    server = conftest.create_server("one")
    gateway_fixture.directory.apply_full_list((server,))
    for _ in range(server.slots):
        assert find(gateway_fixture, POOL, target_in_s=-1.0) == "one"
        gateway_fixture.estimates.start_attempt(server)
    assert find(gateway_fixture, POOL, target_in_s=-1.0) == "queue_full"


@pytest.mark.parametrize(("target_in_s", "max_requests"), [(0.1, 0), (0.3, 2), (0.5, 4)])
def test_no_more_requests_wait_than_can_meet_their_targets(
    gateway_fixture: GatewayFixture, target_in_s: float, max_requests: int
) -> None:
    """Requests for a key beyond its server's rate were all held until their target passed."""
    server = conftest.create_server("owner", "ledger")
    gateway_fixture.directory.apply_full_list((server,))
    assign_keys(gateway_fixture, "owner")
    gateway_fixture.model.record("lookups", server, create_answered_attempt(1.0), 0.1)
    shed = attempts.AttemptNotRun(outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "")
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, shed)
    unavailable = gateway_fixture.finder.find(KEY, frozenset(), GENERATOR, target_in_s)
    assert isinstance(unavailable, server_finder.Unavailable)
    assert unavailable.wait is not None
    assert unavailable.wait.max_requests == max_requests


@pytest.mark.parametrize("instances", [58, 83])
def test_one_request_may_wait_for_an_owner_that_many_instances_share(
    gateway_fixture: GatewayFixture, instances: int
) -> None:
    """The share of each was rounded to 0, so that nothing waited at all."""
    gateway_fixture.instances.count = instances
    server = conftest.create_server("owner", "ledger")
    gateway_fixture.model.record("lookups", server, create_answered_attempt(1.0), 0.1)
    service_time_s = gateway_fixture.model.expect_s("", server)
    limits = [
        gateway_fixture.finder.create_wait("owner", (server,), works * service_time_s).max_requests
        for works in (1.5, 2.5)
    ]
    assert limits == [0, 1]


@pytest.mark.parametrize(
    ("load", "age_s", "second"),
    [(1.0, 0.5, "owner"), (1.0, 1.6, "queue_full"), (4.5, 0.5, "queue_full")],
)
def test_second_request_is_sent_only_if_a_slot_was_free_a_moment_ago(
    gateway_fixture: GatewayFixture, load: float, age_s: float, second: str
) -> None:
    """It was refused at once, although the owner may be idle: 4 to 9 in 100 requests."""
    gateway_fixture.instances.count = 58
    server = conftest.create_server("owner", "ledger")
    gateway_fixture.directory.apply_full_list((server,))
    assign_keys(gateway_fixture, "owner")
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, create_answered_attempt(load))
    gateway_fixture.clock.advance(age_s)
    gateway_fixture.estimates.start_attempt(server)
    assert find(gateway_fixture, KEY) == second
    gateway_fixture.estimates.start_attempt(server)
    assert find(gateway_fixture, KEY) == "queue_full"


def test_request_that_must_wait_is_refused_if_the_list_became_empty(
    gateway_fixture: GatewayFixture,
) -> None:
    """The mean work of no server was a division by zero."""
    server = conftest.create_server("one")
    unavailable = gateway_fixture.finder.create_queued("agenda", server, 1.0)
    assert unavailable.refused.reason is outcomes.RefusalReason.QUEUE_FULL


def test_expired_request_changes_no_estimate(gateway_fixture: GatewayFixture) -> None:
    server = conftest.create_server("one")
    expired = attempts.AttemptNotRun(
        outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.CONNECT, "no time left"
    )
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, expired)
    assert gateway_fixture.estimates.find(server) == estimates.INITIAL_ESTIMATE


def test_few_servers_of_a_large_service_are_examined_for_a_request(
    gateway_fixture: GatewayFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All of 166 servers were once examined for each request, at 1.2 ms of processor time."""
    servers = tuple(
        conftest.create_server(f"server-{number}", failure_domain=("near", "far")[number % 2])
        for number in range(160)
    )
    gateway_fixture.directory.apply_full_list(servers)
    examined: list[str] = []

    def has_capacity(
        server: deployment.RegisteredServer, target_in_s: float, demand: selection.Demand
    ) -> bool:
        examined.append(server.name)
        return True

    monkeypatch.setattr(gateway_fixture.finder, "has_capacity", has_capacity)
    chosen = {find(gateway_fixture, POOL) for _ in range(40)}
    assert len(chosen) > 10
    assert len(examined) <= 40 * (selection.LOCAL_SAMPLE_SIZE + selection.REMOTE_SAMPLE_SIZE)


def test_each_server_of_a_busy_service_is_examined_once_for_a_request(
    gateway_fixture: GatewayFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They were scanned several times for each request, at 1 ms of processor time."""
    servers = tuple(
        conftest.create_server(f"server-{number}", failure_domain=("near", "far")[number % 2])
        for number in range(54)
    )
    gateway_fixture.directory.apply_full_list(servers)
    examined: list[str] = []
    monkeypatch.setattr(
        gateway_fixture.finder,
        "has_capacity",
        lambda server, *_: bool(examined.append(server.name)),  # type: ignore[func-returns-value]
    )
    asked: list[str] = []
    expect_s = gateway_fixture.model.expect_s

    def count(route: str, server: deployment.RegisteredServer) -> float:
        asked.append(server.name)
        return expect_s(route, server)

    monkeypatch.setattr(gateway_fixture.model, "expect_s", count)
    assert find(gateway_fixture, POOL) == "queue_full"
    assert len(examined) == 54
    assert len(asked) <= 4 * server_capacity.MAX_EXAMINED


def test_only_server_with_capacity_is_found_among_many(gateway_fixture: GatewayFixture) -> None:
    servers = tuple(conftest.create_server(f"server-{number}") for number in range(60))
    gateway_fixture.directory.apply_full_list(servers)
    for server in servers[1:]:
        for _ in range(5):
            gateway_fixture.estimates.start_attempt(server)
    assert {find(gateway_fixture, POOL) for _ in range(10)} == {"server-0"}


def test_server_whose_response_had_no_end_is_avoided(gateway_fixture: GatewayFixture) -> None:
    """Each try there costs the memory and the time of a whole body limit."""
    servers = (conftest.create_server("endless"), conftest.create_server("sound"))
    gateway_fixture.directory.apply_full_list(servers)
    gateway_fixture.estimates.start_attempt(servers[0])
    endless = attempts.AttemptUnknown(
        outcomes.UnknownReason.ANSWER_TOO_LARGE, outcomes.Step.RECEIVE, "too large"
    )
    gateway_fixture.estimates.finish_attempt(servers[0], endless)
    gateway_fixture.clock.advance(estimates.ENDLESS_BODY_DEPRIORITIZATION_S - 0.1)
    assert {find(gateway_fixture, POOL) for _ in range(30)} == {"sound"}


@pytest.mark.parametrize("target", [POOL, KEY])
def test_request_for_a_server_that_asked_for_a_pause_is_refused_at_once(
    gateway_fixture: GatewayFixture, target: targets.Target
) -> None:
    """It must not wait for its deadline, and its caller learns when to come back."""
    server = conftest.create_server("owner", target.service)
    gateway_fixture.directory.apply_full_list((server,))
    assign_keys(gateway_fixture, "owner")
    shed = attempts.AttemptNotRun(
        outcomes.RefusalReason.SERVER_SHED,
        outcomes.Step.EXECUTE,
        "status 503",
        signals=attempts.ServerSignals(load=0.0, pause_s=2.0),
    )
    gateway_fixture.estimates.start_attempt(server)
    gateway_fixture.estimates.finish_attempt(server, shed)
    gateway_fixture.clock.advance(0.5)
    unavailable = gateway_fixture.finder.find(target, frozenset(), random.Random(1))
    assert isinstance(unavailable, server_finder.Unavailable)
    assert unavailable.is_final
    assert unavailable.refused.retry_after_s == pytest.approx(1.5)
    gateway_fixture.clock.advance(1.6)
    assert find(gateway_fixture, target) == "owner"


def test_other_servers_serve_while_one_asked_for_a_pause(gateway_fixture: GatewayFixture) -> None:
    servers = (conftest.create_server("paused"), conftest.create_server("sound"))
    gateway_fixture.directory.apply_full_list(servers)
    ran = attempts.AttemptAnswered(
        outcomes.Answer(503, (), b""), attempts.ServerSignals(pause_s=2.0)
    )
    gateway_fixture.estimates.start_attempt(servers[0])
    gateway_fixture.estimates.finish_attempt(servers[0], ran)
    assert {find(gateway_fixture, POOL) for _ in range(30)} == {"sound"}
