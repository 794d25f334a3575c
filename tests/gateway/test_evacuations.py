"""Tests of evacuated failure domains and cold servers: which servers get requests."""

from __future__ import annotations

import dataclasses
import random

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import restrictions
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import targets
from goldcresthall.ranges import owners
from goldcresthall.store import client
from goldcresthall.store import topics
from tests.gateway import conftest
from tests.gateway import test_cold_starts

POOL = targets.PoolTarget("agenda")
KEY = targets.KeyTarget("ledger", 7)
EVACUATION_S = 5.0


def create_fixture() -> conftest.GatewayFixture:
    """Return a server of each service in each of two failure domains; the near one owns keys."""
    fixture = conftest.create_gateway_fixture()
    fixture.directory.apply_full_list(
        tuple(
            conftest.create_server(f"{service}-{domain}", service, failure_domain=domain)
            for service in ("ledger", "agenda")
            for domain in ("near", "far")
        )
    )
    owner = deployment.ServerIncarnation("ledger-near", 1)
    keys = key_ranges.KeyRange(0, key_ranges.LAST_KEY)
    assigned = (key_ranges.RangeOwner("ledger", keys, owner, ready=True),)
    fixture.owners.apply(owners.OwnersView(1, 1, assigned))
    return fixture


def evacuate(fixture: conftest.GatewayFixture, position: int, *failure_domains: str) -> None:
    fixture.directory.apply_evacuations(
        evacuations.EvacuatedDomains(position, frozenset(failure_domains))
    )


def find(fixture: conftest.GatewayFixture, target: targets.Target) -> str:
    """Return the name of the server found, or the reason of the refusal."""
    selected = fixture.finder.find(target, frozenset(), random.Random(1))
    if isinstance(selected, server_finder.Unavailable):
        return selected.refused.reason.value
    return selected.name


def test_pool_servers_in_an_evacuated_domain_get_nothing_from_the_moment_it_is_known() -> None:
    fixture = create_fixture()
    assert find(fixture, POOL) == "agenda-near"
    evacuate(fixture, 1, "near")
    assert {find(fixture, POOL) for _ in range(20)} == {"agenda-far"}
    evacuate(fixture, 2)
    assert find(fixture, POOL) == "agenda-near"


def test_owner_in_an_evacuated_domain_gets_requests_for_part_of_the_time_only() -> None:
    """Its range moves meanwhile; nothing may reach it after the bound."""
    fixture = create_fixture()
    evacuate(fixture, 1, "near")
    fixture.clock.advance(restrictions.MAX_OWNER_EVACUATION_FRACTION * EVACUATION_S - 0.1)
    evacuate(fixture, 2, "near", "elsewhere")
    assert find(fixture, KEY) == "ledger-near"
    fixture.clock.advance(0.2)
    assert find(fixture, KEY) == "domain_evacuated"
    evacuate(fixture, 3)
    assert find(fixture, KEY) == "ledger-near"


@pytest.mark.parametrize("target", [POOL, KEY])
def test_request_is_refused_at_once_if_all_domains_are_evacuated(
    target: targets.Target,
) -> None:
    """It must not be held until its deadline."""
    fixture = create_fixture()
    evacuate(fixture, 1, "near", "far")
    unavailable = fixture.finder.find(target, frozenset(), random.Random(1))
    assert isinstance(unavailable, server_finder.Unavailable)
    assert unavailable.is_final
    assert unavailable.refused.reason is outcomes.RefusalReason.DOMAIN_EVACUATED
    assert unavailable.refused.retry_after_s


def test_later_position_wins_whatever_its_order_of_arrival() -> None:
    """The lessor's reply may be older than what the instance read itself."""
    fixture = create_fixture()
    evacuate(fixture, 5, "near")
    evacuate(fixture, 4)
    assert fixture.directory.is_evacuated("near")
    evacuate(fixture, 6)
    evacuate(fixture, 5, "near")
    assert not fixture.directory.is_evacuated("near")


def find_domain(key: str) -> str | None:
    return key.removeprefix("evacuate/") if key.startswith("evacuate/") else None


def test_record_without_a_value_and_a_complete_read_without_the_key_end_evacuations() -> None:
    reader = evacuations.EvacuationReader(find_domain)

    def apply(end_offset: int, *records: client.KeyedRecord, complete: bool = False) -> list[str]:
        update = topics.TopicUpdate(records, complete, 0.0, end_offset)
        read = reader.apply(update)
        assert read.position == end_offset
        return sorted(read.failure_domains)

    near = client.KeyedRecord("evacuate/near", b"", 1)
    far = client.KeyedRecord("evacuate/far", b"{}", 2)
    assert apply(3, client.KeyedRecord("config", b"1", 0), near, far, complete=True) == [
        "far",
        "near",
    ]
    assert apply(4, dataclasses.replace(near, value=None, offset=3)) == ["far"]
    assert apply(4) == ["far"]
    assert apply(6, near, complete=True) == ["near"]


def test_cold_server_without_permission_gets_no_request() -> None:
    """More requests than a cold server bears make it crash."""
    fixture = create_fixture()
    limited = test_cold_starts.create_configuration(test_cold_starts.RATE_PER_S)
    fixture.directory.configurations.apply(limited)
    cold = tuple(
        dataclasses.replace(entry.server, slow_start_remaining_s=12.0)
        for entry in fixture.directory.servers.by_name.values()
        if entry.server.failure_domain == "near"
    )
    fixture.directory.apply_changes(cold, frozenset())
    assert {find(fixture, POOL) for _ in range(20)} == {"agenda-far"}
    unavailable = fixture.finder.find(KEY, frozenset(), random.Random(1))
    assert isinstance(unavailable, server_finder.Unavailable)
    assert unavailable.refused.reason is outcomes.RefusalReason.SERVER_COLD
    assert not unavailable.is_final
    assert unavailable.max_wait_s == restrictions.MAX_COLD_WAIT_S
    retry_after_s = unavailable.refused.retry_after_s
    assert retry_after_s is not None
    assert 0 < retry_after_s <= 12.0


def test_pause_is_that_of_the_servers_that_may_be_used() -> None:
    """A cold server beside a paused one once made the time to come back negative."""
    fixture = create_fixture()
    limited = test_cold_starts.create_configuration(test_cold_starts.RATE_PER_S)
    fixture.directory.configurations.apply(limited)
    cold = dataclasses.replace(conftest.create_server("cold"), slow_start_remaining_s=12.0)
    paused = conftest.create_server("paused")
    fixture.directory.apply_full_list((cold, paused))
    signals = attempts.ServerSignals(pause_s=2.0)
    answered = attempts.AttemptAnswered(outcomes.Answer(503, (), b""), signals)
    fixture.estimates.start_attempt(paused)
    fixture.estimates.finish_attempt(paused, answered)
    unavailable = fixture.finder.find(POOL, frozenset(), random.Random(1))
    assert isinstance(unavailable, server_finder.Unavailable)
    assert unavailable.refused.retry_after_s == pytest.approx(2.0)


def test_pool_with_cold_servers_only_is_refused_until_the_first_is_warm() -> None:
    fixture = create_fixture()
    limited = test_cold_starts.create_configuration(test_cold_starts.RATE_PER_S)
    fixture.directory.configurations.apply(limited)
    cold = dataclasses.replace(conftest.create_server("one"), slow_start_remaining_s=12.0)
    fixture.directory.apply_full_list((cold,))
    assert find(fixture, POOL) == "server_cold"
    fixture.clock.advance(13.1)
    assert find(fixture, POOL) == "one"
