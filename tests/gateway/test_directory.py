"""Tests of the directory: versions only rise, lapsed entries may come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.gateway import directory
from tests.gateway import conftest

if TYPE_CHECKING:
    from tests.gateway.conftest import GatewayFixture


def test_an_older_configuration_is_never_in_force_again(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    assert server_directory.apply_configuration(conftest.create_configuration(5))
    assert not server_directory.apply_configuration(conftest.create_configuration(4))
    assert server_directory.configuration is not None
    assert server_directory.configuration.version == 5


def test_a_version_in_force_elsewhere_is_a_hint_to_read(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    server_directory.apply_configuration(conftest.create_configuration(5))
    assert not server_directory.await_newer_version(0.0)
    server_directory.observe_version(7)
    assert server_directory.await_newer_version(0.0)
    server_directory.apply_configuration(conftest.create_configuration(7))
    assert not server_directory.await_newer_version(0.0)


def test_an_entry_that_is_gone_is_dropped(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"), conftest.create_server("two")))
    server_directory.apply_changes((), frozenset({"one"}))
    assert set(server_directory.servers.by_name) == {"two"}


def test_an_entry_that_lapsed_during_an_outage_has_time_to_return(
    fixture: GatewayFixture,
) -> None:
    server_directory = fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"), conftest.create_server("two")))
    server_directory.record_store_recovery()
    server_directory.apply_full_list((conftest.create_server("two"),))
    assert set(server_directory.servers.by_name) == {"one", "two"}
    fixture.clock.advance(directory.EXPIRED_ENTRY_GRACE_S)
    server_directory.apply_changes((), frozenset())
    assert set(server_directory.servers.by_name) == {"two"}


def test_the_time_of_draining_is_that_of_its_first_sight(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    server_directory.apply_changes((conftest.create_server("one", draining=True),), frozenset())
    since_s = server_directory.servers.by_name["one"].draining_since_s
    fixture.clock.advance(1.0)
    server_directory.apply_changes((conftest.create_server("one", draining=True),), frozenset())
    assert server_directory.servers.by_name["one"].draining_since_s == since_s


def test_another_life_of_a_server_is_another_server(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    first = conftest.create_server("one", started_ms=1)
    server_directory.apply_full_list((first,))
    server_directory.apply_changes((conftest.create_server("one", started_ms=2),), frozenset())
    assert server_directory.servers.find(first.incarnation) is None


def test_a_relayed_list_takes_the_place_of_the_own_one(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"), conftest.create_server("two")))
    server_directory.apply_relayed((conftest.create_server("two"), conftest.create_server("three")))
    assert set(server_directory.servers.by_name) == {"two", "three"}
    assert server_directory.is_relayed
    fixture.clock.advance(directory.RELAY_VALIDITY_S + 0.1)
    assert not server_directory.is_relayed


def test_a_list_that_was_not_read_lately_is_not_passed_on(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    assert [server.name for server in server_directory.relay().servers] == ["one"]
    fixture.clock.advance(directory.MAX_RELAY_SOURCE_AGE_S + 0.1)
    assert server_directory.relay() == directory.STALE_SERVERS


def test_the_end_of_the_relay_is_heeded_at_once(fixture: GatewayFixture) -> None:
    server_directory = fixture.directory
    server_directory.apply_relayed((conftest.create_server("one"),))
    server_directory.end_relay()
    assert not server_directory.is_relayed
    assert set(server_directory.servers.by_name) == {"one"}
