"""Tests that no request is sent to a server for longer than it may serve after it left."""

from __future__ import annotations

import dataclasses
import random
import threading
from typing import TYPE_CHECKING

import pytest

from goldcresthall.gateway import directory
from goldcresthall.gateway import leaving_servers
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_finder
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import targets
from goldcresthall.gateway import watchers
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.platform import request_client
from goldcresthall.store import client
from tests.fakes import clock
from tests.gateway import conftest

if TYPE_CHECKING:
    from goldcresthall.core import deployment

SERVERS_TOPIC = "servers"
LISTED_POSITION = 5
SHORTEST_DRAIN_S = 2.0
LOST_RESPONSE_S = 1.0
READY, DRAINING, MALFORMED = b"ready", b"draining", b"{"
REMOVED = (None,)
TEST_TIMEOUT_S = 20.0
# A call to the store that works, or the way of a request to its server.
CALL_S = 0.05


class Decoder(watchers.EntryDecoder):
    """Takes the key of a record as the name of a server."""

    configuration_topic = "configuration"
    configuration_key = "config"
    servers_topic = SERVERS_TOPIC

    def decode_configuration(self, stored: bytes) -> deployment.Configuration:
        """Return a configuration."""
        return conftest.create_configuration(1)

    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return the server of a record that has a valid state."""
        if record.value not in {READY, DRAINING}:
            return None
        return conftest.create_server(record.key, draining=record.value == DRAINING)

    def find_evacuated_domain(self, key: str) -> str | None:
        """Return no failure domain."""
        return None


class ForgetfulStore(client.StoreClient):
    """A store that works, but whose first responses about the servers are lost on the way.

    Parameters
    ----------
    values
        Values that were written for server "one" after the position of the list.
    """

    def __init__(
        self,
        manual: clock.ManualClock,
        values: tuple[bytes | None, ...],
        lost_responses: int = 0,
    ) -> None:
        self._clock = manual
        self._records = tuple(
            client.KeyedRecord("one", value, LISTED_POSITION + count)
            for count, value in enumerate(values)
        )
        self._lost_responses = lost_responses
        self.answered = threading.Event()

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def read_newest(self, topic: str) -> client.Records | client.StoreFailed:
        """Return no record of the configuration."""
        return client.Records((), 0)

    def read_changes(
        self, topic: str, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> client.ReadOutcome:
        """Return what was written since, unless the response is lost."""
        if topic != SERVERS_TOPIC:
            return client.Records((), from_offset)
        if self._lost_responses:
            self._lost_responses -= 1
            self._clock.advance(LOST_RESPONSE_S)
            return client.StoreFailed("receive", "timed out")
        if from_offset > LISTED_POSITION:
            self.answered.set()
            return client.Records((), from_offset)
        return client.Records(self._records, LISTED_POSITION + len(self._records))

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Fail."""
        return client.StoreFailed("connect", "down")


# Guards against requests to a removed server for seconds more, because one lost response of a store
# that works was taken for an outage in which entries expire (DRAIN).
def test_one_lost_response_keeps_no_server_that_was_removed() -> None:
    server_directory = watch(REMOVED, lost_responses=1)
    assert set(server_directory.servers.by_name) == {"two"}


# Guards against a server whose leaving is overlooked, because only the last of the records that are
# read at once counted, and that one was written late or by somebody else (DRAIN).
@pytest.mark.parametrize(
    ("values", "is_listed"),
    [
        ((DRAINING, READY), True),
        ((DRAINING, MALFORMED), True),
        ((None, MALFORMED), False),
        ((DRAINING, None), False),
        ((READY, None, MALFORMED), False),
    ],
)
def test_later_record_does_not_hide_that_a_server_leaves(
    *, values: tuple[bytes | None, ...], is_listed: bool
) -> None:
    server_directory = watch(values)
    assert ("one" in server_directory.servers.by_name) is is_listed
    if is_listed:
        assert server_directory.servers.by_name["one"].server.draining


# Guards against a server that is put in use again after its removal by an entry that was written
# late, after a later refresh of the same life (DRAIN). A server whose entry expired refreshes it.
@pytest.mark.parametrize("is_read_at_once", [False, True])
@pytest.mark.parametrize(
    ("refresh", "is_listed"), [(6, False), (7, False), (8, True), (None, True)]
)
def test_late_entry_puts_no_removed_server_in_use_again(
    *, refresh: int | None, is_listed: bool, is_read_at_once: bool
) -> None:
    fixture = conftest.create_gateway_fixture()
    server = conftest.create_server("one")
    fixture.directory.apply_full_list((dataclasses.replace(server, refresh=7),))
    late = (dataclasses.replace(server, refresh=refresh),)
    if is_read_at_once:
        fixture.directory.apply_changes(late, frozenset({"one"}))
    else:
        fixture.directory.apply_changes((), frozenset({"one"}))
        fixture.directory.apply_changes(late, frozenset())
    assert ("one" in fixture.directory.servers.by_name) is is_listed


def watch(values: tuple[bytes | None, ...], lost_responses: int = 0) -> directory.Directory:
    """Return a directory with servers "one" and "two" after it read what was written since."""
    service_kernel = kernel.Kernel()
    manual = clock.ManualClock()
    store = ForgetfulStore(manual, values, lost_responses)
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
    manual.advance(list_bounds.MAX_RELAY_S)
    watching.start()
    try:
        assert store.answered.wait(TEST_TIMEOUT_S)
    finally:
        watching.stop()
    return server_directory


@pytest.mark.parametrize(
    ("failed_reads", "duration_s", "may_expire"),
    [(1, 1.6, False), (1, 60.0, False), (2, 1.6, False), (2, 1.8, True)],
)
def test_entries_may_expire_only_in_an_outage_of_several_reads(
    *, failed_reads: int, duration_s: float, may_expire: bool
) -> None:
    outage = list_bounds.StoreOutage(failed_reads, duration_s, 0.0)
    assert outage.may_expire_entries is may_expire


# Guards against a choice by a list whose renewal is late, among servers that may have left (DRAIN).
@pytest.mark.parametrize("target", [targets.PoolTarget("agenda")])
def test_no_server_is_chosen_by_a_list_that_is_older_than_servers_drain(
    target: targets.Target,
) -> None:
    gateway_fixture = conftest.create_gateway_fixture(list_bounds.STRICTEST)
    gateway_fixture.directory.apply_full_list((conftest.create_server("one"),))
    generator = random.Random(1)
    found = gateway_fixture.finder.find(target, frozenset(), generator)
    assert not isinstance(found, server_finder.Unavailable)
    gateway_fixture.clock.advance(gateway_fixture.finder.drain_s)
    found = gateway_fixture.finder.find(target, frozenset(), generator)
    assert isinstance(found, server_finder.Unavailable)


def create_fixture() -> conftest.GatewayFixture:
    """Return services whose list of servers becomes outdated, with one server."""
    created = conftest.create_gateway_fixture(list_bounds.STRICTEST)
    created.directory.apply_full_list((conftest.create_server("one"),))
    return created


def test_last_known_list_is_used_while_the_store_fails() -> None:
    fixture = create_fixture()
    target, server = targets.PoolTarget("agenda"), conftest.create_server("one")
    fixture.clock.advance(60.0)
    assert not fixture.finder.may_send(target, server)
    fixture.directory.record_read_failure()
    assert fixture.finder.may_send(target, server)
    found = fixture.finder.find(target, frozenset(), random.Random(1))
    assert not isinstance(found, server_finder.Unavailable)
    fixture.directory.apply_full_list((server,))
    assert fixture.finder.may_send(target, server)
    fixture.clock.advance(60.0)
    assert not fixture.finder.may_send(target, server)


def test_old_relayed_list_is_no_sign_that_the_store_is_back() -> None:
    fixture = create_fixture()
    target, server = targets.PoolTarget("agenda"), conftest.create_server("one")
    fixture.directory.record_read_failure()
    fixture.clock.advance(60.0)
    read_at_s = fixture.clock.read_s() - fixture.finder.drain_s
    fixture.directory.apply_relayed((server,), server_lists.ListVersion(9, read_at_s))
    assert fixture.finder.may_send(target, server)
    fixture.directory.apply_relayed((server,), server_lists.ListVersion(9, fixture.clock.read_s()))
    fixture.clock.advance(fixture.finder.drain_s)
    assert not fixture.finder.may_send(target, server)


# Guards against a request that is sent to a server that left while the connection was made (DRAIN).
@pytest.mark.parametrize("target", [targets.PoolTarget("agenda"), targets.KeyTarget("agenda", 1)])
@pytest.mark.parametrize("is_removed", [False, True])
def test_server_that_left_since_it_was_chosen_gets_nothing(
    target: targets.Target, *, is_removed: bool
) -> None:
    fixture = create_fixture()
    server = conftest.create_server("one")
    assert fixture.finder.may_send(target, server)
    left = () if is_removed else (conftest.create_server("one", draining=True),)
    fixture.directory.apply_full_list(left)
    fixture.clock.advance(leaving_servers.MAX_OWNER_DRAIN_FRACTION * fixture.finder.drain_s + 0.01)
    assert not fixture.finder.may_send(target, server)


def test_request_that_was_withdrawn_before_the_send_is_no_failure_of_its_server() -> None:
    fixture = create_fixture()
    server = conftest.create_server("one")
    fixture.estimates.start_attempt(server)
    before = fixture.estimates.find(server)
    fixture.estimates.finish_attempt(server, request_client.WITHDRAWN)
    after = fixture.estimates.find(server)
    assert after.failure_rate == before.failure_rate
    assert after.deprioritized_until_s == before.deprioritized_until_s


def test_request_goes_on_as_soon_as_the_list_is_renewed() -> None:
    fixture = create_fixture()
    fixture.clock.advance(fixture.finder.drain_s)
    ended = threading.Event()

    def wait(stop_signal: tasks.StopSignal) -> None:
        fixture.directory.await_usable_list(TEST_TIMEOUT_S)
        ended.set()

    waiting = tasks.start("wait", wait)
    fixture.directory.apply_full_list((conftest.create_server("one"),))
    assert ended.wait(TEST_TIMEOUT_S)
    waiting.stop()


# Guards against bounds that are each short enough, but not one after the other (DRAIN).
@pytest.mark.parametrize("drain_s", [SHORTEST_DRAIN_S, 2.5, 3.0, 5.0, 30.0])
def test_all_ways_to_learn_that_a_server_left_fit_into_the_time_that_it_serves(
    drain_s: float,
) -> None:
    bounds = list_bounds.ListBounds.from_drain_s(drain_s)
    after_lost_response_s = bounds.relay_s + bounds.first_read_s + watchers.INITIAL_BACKOFF_S
    assert after_lost_response_s + CALL_S <= drain_s
    # While the store answers, no later request is sent, whatever delays the read.
    assert bounds.use_s + CALL_S <= drain_s
    # An outage is known before the list becomes outdated, so that no request waits for it.
    assert bounds.relay_s + bounds.first_read_s < bounds.use_s
    # An owner gets requests for a while after it began to drain, whatever the list's age.
    assert leaving_servers.MAX_OWNER_DRAIN_FRACTION * drain_s + CALL_S <= drain_s


# Guards against requests to a server that left before an outage of the store, after the store
# counts as stable again (DRAIN): the grace for expired entries ran from the first read that
# succeeded, which may come long after the store's return.
@pytest.mark.parametrize("backoff_s", [0.0, 0.9, 1.4])
def test_server_without_an_entry_is_used_only_until_the_store_counts_as_stable(
    backoff_s: float,
) -> None:
    fixture = conftest.create_gateway_fixture(list_bounds.STRICTEST)
    target, left = targets.PoolTarget("agenda"), conftest.create_server("one")
    stays = conftest.create_server("two")
    fixture.directory.apply_full_list((left, stays))
    last_failed_at_s = fixture.clock.read_s()
    fixture.clock.advance(backoff_s)
    fixture.directory.record_store_recovery(list_bounds.StoreOutage(4, 2.0, last_failed_at_s))
    fixture.directory.apply_full_list((stays,))
    assert fixture.finder.may_send(target, left)
    fixture.clock.advance(2.9 - backoff_s)
    fixture.directory.apply_full_list((stays,))
    assert not fixture.finder.may_send(target, left)
    assert fixture.finder.may_send(target, stays)
    found = [fixture.finder.find(target, frozenset(), random.Random(seed)) for seed in range(20)]
    assert found == [stays] * 20


def test_server_without_an_entry_is_used_in_the_next_outage() -> None:
    """A live server cannot register while the store is away."""
    fixture = conftest.create_gateway_fixture(list_bounds.STRICTEST)
    target, lapsed = targets.PoolTarget("agenda"), conftest.create_server("one")
    fixture.directory.apply_full_list((lapsed,))
    outage = list_bounds.StoreOutage(4, 2.0, fixture.clock.read_s())
    fixture.directory.record_store_recovery(outage)
    fixture.directory.apply_full_list(())
    for _ in range(2):
        fixture.directory.record_read_failure()
    fixture.clock.advance(60.0)
    assert fixture.finder.may_send(target, lapsed)
