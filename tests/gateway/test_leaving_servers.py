"""Tests that no request is sent to a server for longer than it may serve after it left."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

import pytest

from goldcresthall.gateway import directory
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import watchers
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.store import client
from tests.fakes import clock
from tests.gateway import conftest

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from tests.gateway.conftest import GatewayFixture

SERVERS_TOPIC = "servers"
LISTED_POSITION = 5
SHORTEST_DRAIN_S = 2.0
LOST_RESPONSE_S = 1.0
TEST_TIMEOUT_S = 20.0


class Decoder(watchers.EntryDecoder):
    """Takes the key of a record as the name of a server."""

    configuration_topic = "configuration"
    configuration_key = "config"
    servers_topic = SERVERS_TOPIC

    def decode_configuration(self, stored: bytes) -> deployment.Configuration:
        """Return a configuration."""
        return conftest.create_configuration(1)

    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return the server of a record that has a value."""
        return conftest.create_server(record.key) if record.value else None

    def find_evacuated_domain(self, key: str) -> str | None:
        """Return no failure domain."""
        return None


class ForgetfulStore(client.StoreClient):
    """A store that works, but whose first responses about the servers are lost on the way.

    Server "one" was removed after the position of the list.
    """

    def __init__(self, manual: clock.ManualClock, lost_responses: int) -> None:
        self._clock = manual
        self._lost_responses = lost_responses
        self.answered = threading.Event()

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def read_newest(self, topic: str) -> client.Records | client.StoreFailed:
        """Return no record of the configuration."""
        return client.Records((), 0)

    def read_changes(self, topic: str, from_offset: int, wait_s: float) -> client.ReadOutcome:
        """Return the removal of the server, unless the response is lost."""
        if topic != SERVERS_TOPIC:
            return client.Records((), from_offset)
        if self._lost_responses:
            self._lost_responses -= 1
            self._clock.advance(LOST_RESPONSE_S)
            return client.StoreFailed("receive", "timed out")
        if from_offset > LISTED_POSITION:
            self.answered.set()
            return client.Records((), from_offset)
        removed = client.KeyedRecord("one", None, LISTED_POSITION)
        return client.Records((removed,), LISTED_POSITION + 1)

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Fail."""
        return client.StoreFailed("connect", "down")


# Guards against requests to a removed server for seconds more, because one lost response of a store
# that works was taken for an outage in which entries expire (DRAIN).
def test_one_lost_response_keeps_no_server_that_was_removed() -> None:
    service_kernel = kernel.Kernel()
    manual = clock.ManualClock()
    store = ForgetfulStore(manual, lost_responses=1)
    service_kernel.register(names.CLOCK, manual)
    service_kernel.register(names.STORE, store)
    service_kernel.register(names.REPORTS, conftest.FixedInstances())
    server_directory = directory.Directory(service_kernel)
    service_kernel.register(names.DIRECTORY, server_directory)
    watching = watchers.Watchers(service_kernel, Decoder())
    server_directory.start()
    servers = (conftest.create_server("one"), conftest.create_server("two"))
    relayed = server_lists.ListVersion(LISTED_POSITION, manual.read_s())
    server_directory.apply_relayed(servers, relayed)
    manual.advance(directory.MAX_LIST_AGE_S)
    watching.start()
    try:
        assert store.answered.wait(TEST_TIMEOUT_S)
    finally:
        watching.stop()
    assert set(server_directory.servers.by_name) == {"two"}


@pytest.mark.parametrize(
    ("failed_reads", "duration_s", "may_expire"),
    [(1, 1.6, False), (1, 60.0, False), (2, 1.6, False), (2, 1.8, True)],
)
def test_entries_may_expire_only_in_an_outage_of_several_reads(
    *, failed_reads: int, duration_s: float, may_expire: bool
) -> None:
    outage = directory.StoreOutage(failed_reads, duration_s)
    assert outage.may_expire_entries is may_expire


# Guards against a choice by a list whose renewal is late, among servers that may have left (DRAIN).
@pytest.mark.parametrize("target", [server_finder.PoolTarget("agenda")])
def test_no_server_is_chosen_by_a_list_that_is_older_than_servers_drain(
    gateway_fixture: GatewayFixture, target: server_finder.Target
) -> None:
    gateway_fixture.directory.apply_full_list((conftest.create_server("one"),))
    generator = random.Random(1)
    found = gateway_fixture.finder.find(target, frozenset(), generator)
    assert not isinstance(found, server_finder.Unavailable)
    gateway_fixture.clock.advance(gateway_fixture.finder.drain_s)
    found = gateway_fixture.finder.find(target, frozenset(), generator)
    assert isinstance(found, server_finder.Unavailable)
