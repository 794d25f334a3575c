"""Tests of the directory: versions only rise, lapsed entries may come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.gateway import directory
from tests.gateway import conftest

if TYPE_CHECKING:
    from tests.gateway.conftest import Surroundings


def test_an_older_configuration_is_never_in_force_again(surroundings: Surroundings) -> None:
    known = surroundings.directory
    assert known.adopt_configuration(conftest.create_configuration(5))
    assert not known.adopt_configuration(conftest.create_configuration(4))
    assert known.configuration is not None
    assert known.configuration.version == 5


def test_a_version_in_force_elsewhere_is_a_hint_to_read(surroundings: Surroundings) -> None:
    known = surroundings.directory
    known.adopt_configuration(conftest.create_configuration(5))
    assert not known.await_version(0.0)
    known.note_version(7)
    assert known.await_version(0.0)
    known.adopt_configuration(conftest.create_configuration(7))
    assert not known.await_version(0.0)


def test_an_entry_that_is_gone_is_dropped(surroundings: Surroundings) -> None:
    known = surroundings.directory
    known.adopt_all((conftest.create_server("one"), conftest.create_server("two")))
    known.adopt_changes((), frozenset({"one"}))
    assert set(known.servers.by_name) == {"two"}


def test_an_entry_that_lapsed_during_an_outage_has_time_to_return(
    surroundings: Surroundings,
) -> None:
    known = surroundings.directory
    known.adopt_all((conftest.create_server("one"), conftest.create_server("two")))
    known.note_store_returned()
    known.adopt_all((conftest.create_server("two"),))
    assert set(known.servers.by_name) == {"one", "two"}
    surroundings.clock.advance(directory.RETURN_TIME_S)
    known.adopt_changes((), frozenset())
    assert set(known.servers.by_name) == {"two"}


def test_the_time_of_draining_is_that_of_its_first_sight(surroundings: Surroundings) -> None:
    known = surroundings.directory
    known.adopt_all((conftest.create_server("one"),))
    known.adopt_changes((conftest.create_server("one", draining=True),), frozenset())
    since_s = known.servers.by_name["one"].draining_since_s
    surroundings.clock.advance(1.0)
    known.adopt_changes((conftest.create_server("one", draining=True),), frozenset())
    assert known.servers.by_name["one"].draining_since_s == since_s


def test_another_life_of_a_server_is_another_server(surroundings: Surroundings) -> None:
    known = surroundings.directory
    first = conftest.create_server("one", started_ms=1)
    known.adopt_all((first,))
    known.adopt_changes((conftest.create_server("one", started_ms=2),), frozenset())
    assert known.servers.find(first.incarnation) is None


def test_a_relayed_list_takes_the_place_of_the_own_one(surroundings: Surroundings) -> None:
    known = surroundings.directory
    known.adopt_all((conftest.create_server("one"), conftest.create_server("two")))
    known.adopt_relayed((conftest.create_server("two"), conftest.create_server("three")))
    assert set(known.servers.by_name) == {"two", "three"}
    assert known.is_relayed
    surroundings.clock.advance(directory.RELAY_FRESH_S + 0.1)
    assert not known.is_relayed


def test_a_list_that_was_not_read_lately_is_not_passed_on(surroundings: Surroundings) -> None:
    known = surroundings.directory
    known.adopt_all((conftest.create_server("one"),))
    assert [server.name for server in known.relay().servers] == ["one"]
    surroundings.clock.advance(directory.FRESH_S + 0.1)
    assert known.relay() == directory.NOT_FRESH


def test_the_end_of_the_relay_is_heeded_at_once(surroundings: Surroundings) -> None:
    known = surroundings.directory
    known.adopt_relayed((conftest.create_server("one"),))
    known.end_relay()
    assert not known.is_relayed
    assert set(known.servers.by_name) == {"one"}
