"""Tests of the tasks that read the configuration, and of the delays between their retries."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import configuration_documents
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.gateway import directory
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import watchers
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.store import client
from tests.fakes import clock
from tests.gateway import conftest

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.ranges import reports

CONFIGURATION_TOPIC = "configuration"
CONFIGURATION_KEY = "config"
SERVERS_TOPIC = "servers"
PREFIX = "evacuate/"
TEST_TIMEOUT_S = 20.0
CONFIGURATION_BOUND_S = 2.0


def test_retry_delays_grow_and_stay_below_the_configuration_bound() -> None:
    delays = [watchers.find_retry_delay_s(failures) for failures in range(1, 40)]
    assert delays == sorted(delays)
    assert delays[0] < 0.2
    assert delays[-1] < CONFIGURATION_BOUND_S


def test_few_calls_are_made_during_a_long_outage() -> None:
    elapsed_s = 0.0
    calls = 0
    while elapsed_s < 9.0:
        calls += 1
        elapsed_s += watchers.find_retry_delay_s(calls)
    assert calls < 12


class Decoder(watchers.EntryDecoder):
    """Takes the document as the version of the configuration."""

    configuration_topic = CONFIGURATION_TOPIC
    configuration_key = CONFIGURATION_KEY
    servers_topic = SERVERS_TOPIC

    def decode_configuration(self, stored: bytes) -> deployment.Configuration:
        """Return a configuration."""
        return conftest.create_configuration(int(stored))

    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return no server."""
        return None

    def find_evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain of a key that has the prefix."""
        return key.removeprefix(PREFIX) if key.startswith(PREFIX) else None


class CountingStore(client.StoreClient):
    """A store with one configuration, which counts the reads of it."""

    def __init__(self) -> None:
        self.version = 1
        self.newest_reads = 0
        self.evacuated: tuple[str, ...] = ()
        self.polls = threading.Semaphore(0)
        self.waits_s: list[float] = []

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def read_newest(self, topic: str) -> client.Records | client.StoreFailed:
        """Return the newest configuration."""
        if topic == SERVERS_TOPIC:
            return client.Records((), 0)
        self.newest_reads += 1
        stored = str(self.version).encode()
        records = tuple(
            client.KeyedRecord(key, stored, self.version)
            for key in (CONFIGURATION_KEY, *(f"{PREFIX}{name}" for name in self.evacuated))
        )
        return client.Records(records, self.version + 1)

    def read_changes(
        self, topic: str, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> client.ReadOutcome:
        """Return no change."""
        if topic == CONFIGURATION_TOPIC:
            self.waits_s.append(wait_s)
            self.polls.release()
        return client.Records((), from_offset)

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Fail."""
        return client.StoreFailed("connect", "down")


class RankedInstance(conftest.FixedInstances):
    """An instance with a given rank."""

    def __init__(self, rank: int) -> None:
        self._rank = rank

    @property
    def rank(self) -> int:
        """Return the rank."""
        return self._rank


class WatchedDirectory:
    """A directory with its watchers over a store; the lessor's relay is renewed by hand."""

    def __init__(
        self, rank: int, first_relay_wait_s: float = 0.0, *, may_evacuate: bool = False
    ) -> None:
        service_kernel = self.kernel = kernel.Kernel()
        self.clock = clock.ManualClock()
        self.store = CountingStore()
        instances: reports.InstanceCounter = RankedInstance(rank)
        service_kernel.register(names.CLOCK, self.clock)
        service_kernel.register(names.STORE, self.store)
        service_kernel.register(names.REPORTS, instances)
        self.directory = directory.Directory(service_kernel)
        service_kernel.register(names.DIRECTORY, self.directory)
        self.watchers = watchers.Watchers(
            service_kernel, Decoder(), first_relay_wait_s, may_evacuate=may_evacuate
        )
        self.directory.start()

    def run(self) -> None:
        """Start the watchers while the lessor relays."""
        self.directory.configurations.apply(conftest.create_configuration(0))
        self.relay()
        self.watchers.start()

    def relay(self) -> None:
        """Renew the lessor's relay of an empty list."""
        version = server_lists.ListVersion(0, self.clock.read_s())
        self.directory.apply_relayed((), version)

    def await_version(self, version: int) -> bool:
        """Return whether a version comes into force."""
        for _ in range(2_000):
            if self.directory.configuration == conftest.create_configuration(version):
                return True
            threading.Event().wait(0.01)
        return False


@pytest.mark.parametrize(("rank", "polls"), [(0, True), (3, True), (4, False), (190, False)])
def test_few_instances_poll_the_configuration_while_the_lessor_relays(
    rank: int, polls: bool
) -> None:
    """Each of 195 instances once held a long poll of its own, at a price for each call."""
    watched = WatchedDirectory(rank)
    assert watched.watchers is not None
    watched.run()
    assert watched.store.polls.acquire(timeout=TEST_TIMEOUT_S if polls else 0.5) is polls
    watched.watchers.stop()


def test_instance_that_does_not_poll_reads_a_version_that_others_report() -> None:
    watched = WatchedDirectory(rank=9)
    watched.run()
    watched.store.version = 7
    watched.directory.configurations.observe_version(7)
    assert watched.await_version(7)
    watched.watchers.stop()


def test_relayed_configuration_is_put_in_force_without_reading_the_store() -> None:
    """Each of 195 instances once read each version from the store, at a price for each call."""
    watched = WatchedDirectory(rank=9)
    watched.run()
    relayed = configuration_documents.ConfigurationDocument.compress(7, b"7")
    watched.directory.configurations.receive_document(relayed)
    assert watched.await_version(7)
    watched.watchers.stop()
    assert not watched.store.newest_reads
    document = watched.directory.configurations.document
    assert document is not None
    assert document == relayed


def test_evacuation_in_the_configurations_topic_is_applied() -> None:
    watched = WatchedDirectory(rank=0)
    watched.store.evacuated = ("near",)
    watched.watchers.start()
    assert watched.store.polls.acquire(timeout=TEST_TIMEOUT_S)
    watched.watchers.stop()
    assert watched.directory.evacuated.failure_domains == {"near"}


@pytest.mark.parametrize(
    ("may_evacuate", "evacuation_s", "poll_s"),
    [(False, 5.0, watchers.CONFIGURATION_LONG_POLL_S), (True, 5.0, 1.5), (True, 0.0, 0.6)],
)
def test_long_polls_end_in_time_for_an_evacuation(
    *, may_evacuate: bool, evacuation_s: float, poll_s: float
) -> None:
    """A long poll that began as the record was written is not woken by it."""
    watched = WatchedDirectory(rank=0)
    address = identity.Address("127.0.0.1", 7_000)
    settings = deployment_settings.DeploymentSettings(
        name="one",
        failure_domain="near",
        listen=deployment_settings.DeploymentListen(
            callers=address, readiness=address, peers=address
        ),
        store=address,
        heartbeat_s=1.0,
        max_lease_s=10.0,
        drain_s=2.0,
        grace_s=6.0,
        evacuation_s=evacuation_s,
        may_evacuate=may_evacuate,
    )
    created = watchers.Watchers.from_config(watched.kernel, Decoder(), settings)
    created.start()
    for _ in range(2):
        assert watched.store.polls.acquire(timeout=TEST_TIMEOUT_S)
    created.stop()
    assert watched.store.waits_s[1] == pytest.approx(poll_s)


def test_version_whose_relayed_document_is_damaged_is_read_from_the_store() -> None:
    watched = WatchedDirectory(rank=9)
    watched.run()
    watched.store.version = 7
    watched.directory.configurations.receive_document(
        configuration_documents.ConfigurationDocument(7, b"damaged")
    )
    assert watched.directory.configurations.held_version == 7
    assert watched.await_version(7)
    watched.watchers.stop()


def test_instance_without_a_relay_reads_the_store_after_its_first_wait() -> None:
    watched = WatchedDirectory(rank=9, first_relay_wait_s=0.4)
    watched.watchers.start()
    threading.Event().wait(0.2)
    assert not watched.store.newest_reads
    watched.clock.advance(0.5)
    assert watched.await_version(1)
    watched.watchers.stop()


def test_instance_polls_again_once_the_relay_ends() -> None:
    watched = WatchedDirectory(rank=9)
    watched.run()
    watched.clock.advance(list_bounds.MAX_RELAY_S + 0.1)
    assert watched.store.polls.acquire(timeout=TEST_TIMEOUT_S)
    watched.watchers.stop()


def test_poll_after_a_change_is_short() -> None:
    """All readers once missed a version that was written as their polls began (CONFIG)."""
    watched = WatchedDirectory(rank=0)
    watched.run()
    for _ in range(2):
        assert watched.store.polls.acquire(timeout=TEST_TIMEOUT_S)
    watched.watchers.stop()
    assert watched.store.waits_s[:2] == [
        watchers.POLL_AFTER_CHANGE_S,
        watchers.CONFIGURATION_LONG_POLL_S,
    ]
    assert watchers.POLL_AFTER_CHANGE_S < CONFIGURATION_BOUND_S


@pytest.mark.parametrize("is_relayed", [False, True])
def test_instance_reads_evacuations_itself_unless_the_lessor_relays_them(
    *, is_relayed: bool
) -> None:
    """A lessor of the earlier release relays the configuration and names no evacuations."""
    watched = WatchedDirectory(rank=9, may_evacuate=True)
    if is_relayed:
        watched.directory.apply_relayed_evacuations(evacuations.EvacuatedDomains(0, frozenset()))
    watched.run()
    try:
        assert watched.store.polls.acquire(timeout=1.0 if is_relayed else TEST_TIMEOUT_S) != (
            is_relayed
        )
    finally:
        watched.watchers.stop()
