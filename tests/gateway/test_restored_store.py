"""Tests of the server list and the evacuations when the store comes back from a copy."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import prometheus_client
import pytest
from goldcresthall_stand_ins import restorable_store

from goldcresthall.core import identity
from goldcresthall.gateway import directory
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import watchers
from goldcresthall.kernel import kernel
from goldcresthall.platform import store_client
from goldcresthall.store import client
from goldcresthall.store import positions
from goldcresthall.store import store_metrics
from goldcresthall.store import topics
from tests.gateway import conftest
from tests.gateway import test_watchers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import deployment

TOPIC = test_watchers.SERVERS_TOPIC


class ServerDecoder(test_watchers.Decoder):
    """Takes the value of a record as the number of the entry's refresh."""

    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return a ready server."""
        created = conftest.create_server(record.key)
        return dataclasses.replace(created, refresh=int(record.value or b"0"))


class ReadList:
    """A server list that follows a store which can come back from a copy."""

    def __init__(self) -> None:
        self.store = restorable_store.RestorableStore()
        self.store.start()
        self.fixture = conftest.create_gateway_fixture(list_bounds.STRICTEST)
        self._client = store_client.HttpStoreClient(
            identity.Address("127.0.0.1", self.store.port),
            store_metrics.StoreMetrics(prometheus_client.CollectorRegistry()),
        )
        self._follower = topics.TopicFollower(self._client, self.fixture.clock, TOPIC)
        self._watchers = watchers.Watchers(kernel.Kernel(), ServerDecoder())
        self._watchers._directory = self.fixture.directory

    @property
    def names(self) -> set[str]:
        """The names of the listed servers."""
        return set(self.fixture.directory.servers.by_name)

    def write(self, *names: str, refresh: int = 1) -> None:
        """Write entries of servers."""
        for name in names:
            self.store.put_raw(TOPIC, name, b"%d" % refresh)

    def remove(self, name: str) -> None:
        """Remove the entry of a server."""
        self.store.put(TOPIC, name, None)

    def read(self) -> None:
        """Read the changes and apply them."""
        update = self._follower.poll(0.0)
        assert not isinstance(update, client.StoreFailed)
        self._watchers._apply_servers(update)

    def advance(self, seconds: float) -> None:
        """Let the time pass, with a read at its end."""
        self.fixture.clock.advance(seconds)
        self.read()

    def stop(self) -> None:
        """Stop the store."""
        self._client.stop()
        self.store.stop()


@pytest.fixture
def read_list() -> Iterator[ReadList]:
    """Return a list of two servers, of which the store has a copy, and changes after it."""
    created = ReadList()
    created.write("one", "two")
    created.read()
    created.store.take_copy()
    for refresh in range(2, 8):
        created.write("one", "two", refresh=refresh)
    created.read()
    yield created
    created.stop()


# Guards against requests to a server that left after a return of the store (DRAIN): its removal
# stands at an offset below the known one.
def test_removal_after_the_return_of_the_store_is_seen(read_list: ReadList) -> None:
    read_list.store.restore_copy()
    read_list.write("one", "two", refresh=8)
    read_list.read()
    assert read_list.names == {"one", "two"}
    read_list.advance(directory.EXPIRED_ENTRY_GRACE_S)
    read_list.remove("one")
    read_list.advance(0.1)
    assert read_list.names == {"two"}


def test_server_that_the_copy_lacks_is_kept_until_it_can_register_again(
    read_list: ReadList,
) -> None:
    read_list.write("late")
    read_list.read()
    read_list.store.restore_copy()
    read_list.read()
    assert read_list.names == {"one", "two", "late"}
    read_list.advance(directory.EXPIRED_ENTRY_GRACE_S - 0.1)
    assert "late" in read_list.names
    read_list.advance(0.2)
    assert read_list.names == {"one", "two"}


def test_server_that_left_is_not_brought_back_by_the_copy(read_list: ReadList) -> None:
    read_list.remove("one")
    read_list.read()
    read_list.store.restore_copy()
    read_list.read()
    assert read_list.names == {"two"}


def test_two_returns_in_a_row_are_followed(read_list: ReadList) -> None:
    for _ in range(2):
        read_list.store.restore_copy()
        read_list.write("two", refresh=9)
        read_list.read()
    read_list.advance(directory.EXPIRED_ENTRY_GRACE_S)
    read_list.remove("one")
    read_list.advance(0.1)
    assert read_list.names == {"two"}


def test_list_is_as_old_as_its_last_read_until_the_first_one_of_the_later_era(
    read_list: ReadList,
) -> None:
    """The bound on requests to leaving servers holds over the store's return."""
    read_list.store.restore_copy()
    read_list.fixture.clock.advance(list_bounds.STRICTEST.use_s + 0.1)
    assert not read_list.fixture.directory.is_list_usable
    read_list.read()
    assert read_list.fixture.directory.is_list_usable


def test_relayed_list_of_an_earlier_era_is_not_applied(read_list: ReadList) -> None:
    """A peer of the earlier release sends offsets without an era."""
    read_list.store.restore_copy()
    read_list.read()
    now_s = read_list.fixture.clock.read_s()
    for position in (1_000, positions.create(1, 1_000)):
        version = server_lists.ListVersion(position, now_s)
        read_list.fixture.directory.apply_relayed((conftest.create_server("old"),), version)
    assert read_list.names == {"one", "two"}


def evacuate(fixture: conftest.GatewayFixture, position: int, *domains: str) -> None:
    fixture.directory.apply_evacuations(evacuations.EvacuatedDomains(position, frozenset(domains)))


# Guards against requests to a failure domain whose evacuation stands at a lower offset (EVAC).
def test_evacuation_of_a_later_era_begins_and_ends_at_any_offset() -> None:
    fixture = conftest.create_gateway_fixture()
    evacuate(fixture, positions.create(1, 50))
    evacuate(fixture, positions.create(2, 7), "near")
    assert fixture.directory.is_evacuated("near")
    evacuate(fixture, positions.create(2, 8))
    assert not fixture.directory.is_evacuated("near")


def test_evacuation_that_the_copy_lacks_is_kept_until_the_operator_can_write_it_again() -> None:
    fixture = conftest.create_gateway_fixture()
    evacuate(fixture, positions.create(1, 50), "near")
    since_s = fixture.directory.find_evacuated_since_s("near")
    evacuate(fixture, positions.create(2, 7))
    fixture.clock.advance(evacuations.KEPT_AFTER_RESTORE_S - 0.1)
    assert fixture.directory.is_evacuated("near")
    assert fixture.directory.find_evacuated_since_s("near") == since_s
    fixture.clock.advance(0.2)
    assert not fixture.directory.is_evacuated("near")
    assert fixture.directory.find_evacuated_since_s("near") is None
