"""Tests of the directory: configuration versions, expired entries and relayed lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.gateway import directory
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_lists
from goldcresthall.kernel import tasks
from tests.gateway import conftest

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from tests.gateway.conftest import GatewayFixture


EXPIRING_OUTAGE = list_bounds.StoreOutage(2, list_bounds.MIN_EXPIRING_OUTAGE_S, 0.0)


def test_older_configuration_is_not_applied(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    assert server_directory.configurations.apply(conftest.create_configuration(5))
    assert not server_directory.configurations.apply(conftest.create_configuration(4))
    assert server_directory.configuration is not None
    assert server_directory.configuration.version == 5


def test_newer_version_at_another_instance_ends_the_wait(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    server_directory.configurations.apply(conftest.create_configuration(5))
    assert not server_directory.configurations.await_newer_version(0.0)
    server_directory.configurations.observe_version(7)
    assert server_directory.configurations.await_newer_version(0.0)
    server_directory.configurations.apply(conftest.create_configuration(7))
    assert not server_directory.configurations.await_newer_version(0.0)


def test_removed_entry_is_dropped(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"), conftest.create_server("two")))
    server_directory.apply_changes((), frozenset({"one"}))
    assert set(server_directory.servers.by_name) == {"two"}


def test_entry_that_expired_during_an_outage_is_kept_for_the_grace_period(
    gateway_fixture: GatewayFixture,
) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"), conftest.create_server("two")))
    gateway_fixture.clock.advance(list_bounds.MIN_EXPIRING_OUTAGE_S)
    server_directory.record_store_recovery(EXPIRING_OUTAGE)
    server_directory.apply_full_list((conftest.create_server("two"),))
    assert set(server_directory.servers.by_name) == {"one", "two"}
    gateway_fixture.clock.advance(directory.EXPIRED_ENTRY_GRACE_S)
    server_directory.apply_changes((), frozenset())
    assert set(server_directory.servers.by_name) == {"two"}


def test_draining_time_counts_from_the_first_observation(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    server_directory.apply_changes((conftest.create_server("one", draining=True),), frozenset())
    since_s = server_directory.servers.by_name["one"].draining_since_s
    gateway_fixture.clock.advance(1.0)
    server_directory.apply_changes((conftest.create_server("one", draining=True),), frozenset())
    assert server_directory.servers.by_name["one"].draining_since_s == since_s


def test_new_incarnation_replaces_the_previous_one(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    first = conftest.create_server("one", started_ms=1)
    server_directory.apply_full_list((first,))
    server_directory.apply_changes((conftest.create_server("one", started_ms=2),), frozenset())
    assert server_directory.servers.find(first.incarnation) is None


def test_relayed_list_replaces_the_list_read_from_the_store(
    gateway_fixture: GatewayFixture,
) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"), conftest.create_server("two")))
    relay(gateway_fixture, 5, "two", "three")
    assert set(server_directory.servers.by_name) == {"two", "three"}
    assert server_directory.is_relayed
    gateway_fixture.clock.advance(list_bounds.MAX_RELAY_S + 0.1)
    assert not server_directory.is_relayed


def test_stale_list_is_not_relayed(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    assert [server.name for server in server_directory.relay().servers] == ["one"]
    gateway_fixture.clock.advance(list_bounds.MAX_RELAY_S + 0.1)
    assert server_directory.relay() == server_lists.STALE_SERVERS


def test_relay_that_is_not_renewed_ends_and_leaves_the_list(
    gateway_fixture: GatewayFixture,
) -> None:
    server_directory = gateway_fixture.directory
    relay(gateway_fixture, 5, "one")
    gateway_fixture.clock.advance(list_bounds.MAX_RELAY_S + 0.1)
    assert not server_directory.is_relayed
    assert set(server_directory.servers.by_name) == {"one"}


def test_trust_in_a_relayed_list_counts_from_the_read_behind_it(
    gateway_fixture: GatewayFixture,
) -> None:
    """A cut-off lessor's list was once trusted for 1.3 s there and 0.9 s more here (DRAIN)."""
    relay(gateway_fixture, 5, "one", age_s=1.2)
    assert gateway_fixture.directory.is_relayed
    gateway_fixture.clock.advance(0.2)
    relay(gateway_fixture, 5, "one", age_s=1.4)
    gateway_fixture.clock.advance(0.2)
    assert not gateway_fixture.directory.is_relayed


def test_list_never_goes_back_to_an_earlier_position(gateway_fixture: GatewayFixture) -> None:
    """A new lessor once relayed, and a reader once read, a list of half a minute ago (OWNER)."""
    server_directory = gateway_fixture.directory
    later = server_lists.ListVersion(9, gateway_fixture.clock.read_s())
    earlier = server_lists.ListVersion(8, gateway_fixture.clock.read_s())
    server_directory.apply_full_list((conftest.create_server("one"),), later)
    relay(gateway_fixture, 8, "two")
    server_directory.apply_changes((conftest.create_server("three"),), frozenset(), earlier)
    server_directory.apply_full_list((), earlier)
    assert set(server_directory.servers.by_name) == {"one"}
    relay(gateway_fixture, 10, "two")
    assert set(server_directory.servers.by_name) == {"two"}


def test_own_read_is_undone_by_a_later_relay_of_an_unchanged_list(
    gateway_fixture: GatewayFixture,
) -> None:
    server_directory = gateway_fixture.directory
    servers = relay(gateway_fixture, 5, "one")
    server_directory.apply_changes((conftest.create_server("two"),), frozenset())
    server_directory.apply_relayed(
        servers, server_lists.ListVersion(7, gateway_fixture.clock.read_s())
    )
    assert set(server_directory.servers.by_name) == {"one"}


@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize("is_relayed", [False, True])
def test_late_entry_of_an_earlier_incarnation_changes_nothing(
    gateway_fixture: GatewayFixture, *, is_removed: bool, is_relayed: bool
) -> None:
    """A late report of an earlier life once took the keys from the present one (OWNER)."""
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one", started_ms=2),))
    if is_removed:
        server_directory.apply_changes((), frozenset({"one"}))
    before = dict(server_directory.servers.by_name)
    late = conftest.create_server("one", started_ms=1)
    if is_relayed:
        version = server_lists.ListVersion(9, gateway_fixture.clock.read_s())
        server_directory.apply_relayed((late,), version)
    else:
        server_directory.apply_changes((late,), frozenset())
    assert server_directory.servers.by_name == before


@pytest.mark.parametrize("is_removed", [False, True])
def test_late_entry_does_not_undo_the_draining_of_its_incarnation(
    gateway_fixture: GatewayFixture, *, is_removed: bool
) -> None:
    """A report that was carried out late once put a leaving server in use again (DRAIN)."""
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one", draining=True),))
    if is_removed:
        server_directory.apply_changes((), frozenset({"one"}))
    server_directory.apply_changes((conftest.create_server("one"),), frozenset())
    assert server_directory.servers.by_name["one"].server.draining
    restarted = conftest.create_server("one", started_ms=2)
    server_directory.apply_changes((restarted,), frozenset())
    assert not server_directory.servers.by_name["one"].server.draining
    assert server_directory.servers.by_name["one"].draining_since_s is None


def test_draining_counts_from_the_last_list_that_did_not_show_it(
    gateway_fixture: GatewayFixture,
) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    listed_at_s = gateway_fixture.clock.read_s()
    gateway_fixture.clock.advance(1.0)
    server_directory.apply_changes((conftest.create_server("one", draining=True),), frozenset())
    assert server_directory.servers.by_name["one"].draining_since_s == listed_at_s


def test_requested_read_ends_the_relay_and_its_wait(gateway_fixture: GatewayFixture) -> None:
    server_directory = gateway_fixture.directory
    relay(gateway_fixture, 5, "one")
    waiting = tasks.start("wait", lambda _: server_directory.await_relay_end(30.0))
    server_directory.request_read()
    waiting.stop()
    assert not server_directory.is_relayed
    relay(gateway_fixture, 6, "one")
    assert server_directory.is_relayed


def test_failed_call_that_was_too_short_for_entries_to_expire_keeps_no_entry(
    gateway_fixture: GatewayFixture,
) -> None:
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    gateway_fixture.clock.advance(0.3)
    server_directory.record_store_recovery(list_bounds.StoreOutage(2, 0.3, 0.0))
    server_directory.apply_changes((), frozenset({"one"}))
    assert not server_directory.servers.by_name


def test_list_with_servers_that_are_kept_without_an_entry_is_not_relayed(
    gateway_fixture: GatewayFixture,
) -> None:
    """A lessor that had been cut off put servers that had left in use again elsewhere (DRAIN)."""
    server_directory = gateway_fixture.directory
    server_directory.apply_full_list((conftest.create_server("one"),))
    gateway_fixture.clock.advance(list_bounds.MIN_EXPIRING_OUTAGE_S)
    server_directory.record_store_recovery(EXPIRING_OUTAGE)
    server_directory.apply_changes((), frozenset({"one"}))
    assert set(server_directory.servers.by_name) == {"one"}
    assert server_directory.relay() == server_lists.STALE_SERVERS
    server_directory.apply_changes((conftest.create_server("one"),), frozenset())
    assert server_directory.relay() != server_lists.STALE_SERVERS


@pytest.mark.parametrize("is_relayed", [False, True])
def test_server_that_says_that_it_is_draining_stays_so_whatever_the_list_says(
    gateway_fixture: GatewayFixture, *, is_relayed: bool
) -> None:
    """Requests may reach a leaving server no more, in touch with the store or not (DRAIN)."""
    server_directory = gateway_fixture.directory
    listed = conftest.create_server("one")
    server_directory.apply_full_list((listed,))
    server_directory.record_draining(listed.incarnation)
    assert server_directory.reported_draining == (listed.incarnation,)
    assert [server.draining for server in server_directory.relay().servers] == [True]
    if is_relayed:
        relay(gateway_fixture, 9, "one")
    else:
        server_directory.apply_full_list((listed,))
    assert server_directory.servers.by_name["one"].draining_since_s is not None
    restarted = conftest.create_server("one", started_ms=2)
    server_directory.apply_full_list((restarted,))
    assert server_directory.servers.by_name["one"].draining_since_s is None
    server_directory.record_draining(listed.incarnation)
    assert server_directory.servers.by_name["one"].draining_since_s is None


def relay(
    gateway_fixture: GatewayFixture, position: int, *server_names: str, age_s: float = 0.0
) -> tuple[deployment.RegisteredServer, ...]:
    """Apply a relayed list of servers and return it."""
    servers = tuple(conftest.create_server(name) for name in server_names)
    known_at_s = gateway_fixture.clock.read_s() - age_s
    gateway_fixture.directory.apply_relayed(servers, server_lists.ListVersion(position, known_at_s))
    return servers
