"""Tasks that keep the directory up to date with the store."""

from __future__ import annotations

import abc
import zlib
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import configuration_documents
from goldcresthall.gateway import directory
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_lists
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.ranges import reports
from goldcresthall.store import client
from goldcresthall.store import positions
from goldcresthall.store import topics

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import deployment_settings
    from goldcresthall.kernel import kernel

CONFIGURATION_LONG_POLL_S = 15.0
# A long poll that is not woken, or whose response is lost, must end in time for an evacuation.
EVACUATION_POLL_FRACTION = 0.3
# Versions come in quick succession, and a poll that begins as one is written may not be woken.
POLL_AFTER_CHANGE_S = 0.6
VERSION_CHECK_INTERVAL_S = 5.0
INITIAL_BACKOFF_S = 0.1
BASE_BACKOFF_S = 0.4
BACKOFF_FACTOR = 1.5
MAX_BACKOFF_S = 1.4
SERVERS_POLL_INTERVAL_S = 0.5
MIN_RELAY_CHECK_S = 0.02
FIRST_RELAY_CHECK_INTERVAL_S = 0.04
CONFIGURATION_READERS = 4  # spares for a reader whose long poll gets no response
RELAY_GRACE_S = 0.4  # a relayed version is read from the store only if its document fails to come
FIRST_RELAY_WAIT_S = 0.4
FIRST_START_RELAY_WAIT_S = 4.0


class EntryDecoder(abc.ABC):
    """Decodes the platform's records in the store.

    Attributes
    ----------
    configuration_topic, configuration_key
        Topic that holds the configuration, and the key of its record.
    servers_topic
        Topic that holds the servers' entries, keyed by server name.
    """

    configuration_topic: str
    configuration_key: str
    servers_topic: str

    @abc.abstractmethod
    def decode_configuration(self, stored: bytes) -> deployment.Configuration | None:
        """Return the configuration in a stored document, or `None` if it is not valid."""

    @abc.abstractmethod
    def decode_server(self, record: client.KeyedRecord) -> deployment.RegisteredServer | None:
        """Return the server in a record, or `None` if it has no valid one."""

    @abc.abstractmethod
    def find_evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key of the configuration's topic asks to evacuate.

        Returns `None` for any other key.
        """


class Watchers(service.Service):
    """Watches the configuration by long polling and polls the servers at an interval.

    While the lessor relays both, only the lessor reads the servers and a few instances poll the
    configuration. An instance reads a version that it knows to be in force elsewhere itself if
    the relay does not bring it.

    Parameters
    ----------
    decoder
        Decoder of the platform's records.
    first_relay_wait_s
        Seconds after the start in which the lessor may relay both before they are read.
    configuration_poll_s
        Longest duration in seconds of a long poll on the configuration.
    may_evacuate
        Whether evacuations are to be expected, which a lessor of an earlier release does not relay.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        decoder: EntryDecoder,
        first_relay_wait_s: float = 0.0,
        configuration_poll_s: float = CONFIGURATION_LONG_POLL_S,
        *,
        may_evacuate: bool = False,
    ) -> None:
        self._kernel = service_kernel
        self._decoder = decoder
        self._first_relay_wait_s = first_relay_wait_s
        self._configuration_poll_s = configuration_poll_s
        self._may_evacuate = may_evacuate
        self._configuration_task = tasks.LoopTask("configuration", self._watch_configuration)
        self._servers_task = tasks.LoopTask("servers", self._watch_servers)
        self._catch_up_task = tasks.LoopTask("configuration-catch-up", self._catch_up)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        decoder: EntryDecoder,
        settings: deployment_settings.DeploymentSettings,
    ) -> Watchers:
        """Return the watchers of an instance.

        A machine that meets the lessor's requirements reads the store at once, because the others
        wait for the lessor.
        """
        wait_s = FIRST_START_RELAY_WAIT_S if settings.is_first_start else FIRST_RELAY_WAIT_S
        if settings.machine.meets_lessor_requirements:
            wait_s = 0.0
        poll_s = CONFIGURATION_LONG_POLL_S
        if settings.may_evacuate:
            bounded_s = EVACUATION_POLL_FRACTION * settings.evacuation_s
            poll_s = min(poll_s, max(POLL_AFTER_CHANGE_S, bounded_s))
        return cls(service_kernel, decoder, wait_s, poll_s, may_evacuate=settings.may_evacuate)

    def start(self) -> None:
        """Start the tasks."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._store = self._kernel.find(names.STORE, client.StoreClient)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        self._instances = self._kernel.find(names.REPORTS, reports.InstanceCounter)
        self._configuration_task.start()
        self._servers_task.start()
        self._catch_up_task.start()

    def stop(self) -> None:
        """Stop the tasks without waiting for a long poll in progress."""
        self._configuration_task.request_stop()
        self._servers_task.request_stop()
        self._catch_up_task.request_stop()

    def _watch_configuration(self, stop_signal: tasks.StopSignal) -> None:
        follower = topics.TopicFollower(self._store, self._clock, self._decoder.configuration_topic)
        reader = evacuations.EvacuationReader(self._decoder.find_evacuated_domain)
        failures = 0
        wait_s = self._configuration_poll_s
        self._await_first_relay(stop_signal)
        while not stop_signal.is_set:
            if self._is_configuration_relayed() and self._are_evacuations_relayed():
                self._directory.await_relay_end(MIN_RELAY_CHECK_S)
                continue
            # After a failure the next read does not wait, so that it detects at once that
            # the store is available again.
            update = follower.poll(0.0 if failures else wait_s)
            if isinstance(update, client.StoreFailed):
                failures += 1
                _log_failure("configuration", failures, update)
                stop_signal.wait(find_retry_delay_s(failures))
                continue
            _log_recovery("configuration", failures)
            failures = 0
            wait_s = POLL_AFTER_CHANGE_S if update.changed else self._configuration_poll_s
            self._directory.apply_evacuations(reader.apply(update))
            self._apply_configuration(update.changed)
            if self._directory.configuration is None:
                stop_signal.wait(BASE_BACKOFF_S)

    def _await_first_relay(self, stop_signal: tasks.StopSignal) -> None:
        ends_at_s = self._clock.read_s() + self._first_relay_wait_s
        while self._clock.read_s() < ends_at_s:
            if self._directory.is_relayed or self._directory.is_read_requested:
                return
            if stop_signal.wait(FIRST_RELAY_CHECK_INTERVAL_S):
                return

    def _is_configuration_relayed(self) -> bool:
        """Return whether other instances read the configuration and the lessor relays updates."""
        return (
            self._directory.configuration is not None
            and self._directory.is_relayed
            and self._instances.rank >= CONFIGURATION_READERS
        )

    def _are_evacuations_relayed(self) -> bool:
        return self._directory.has_relayed_evacuations or not self._may_evacuate

    def _watch_servers(self, stop_signal: tasks.StopSignal) -> None:
        follower = topics.TopicFollower(self._store, self._clock, self._decoder.servers_topic)
        failures = 0
        failing_since_s = failed_at_s = 0.0
        self._await_first_relay(stop_signal)
        while not stop_signal.is_set:
            if self._directory.is_relayed:
                # Failures from before the relay are no outage that the next read ends.
                failures = 0
                self._directory.await_relay_end(MIN_RELAY_CHECK_S)
                continue
            # What was relayed since the last read is not read again.
            follower.skip_to(self._directory.version.position)
            began_at_s = self._clock.read_s()
            # After a failure the store may be slow, so that only a longer read succeeds.
            timeout_s = None if failures else self._directory.bounds.first_read_s
            update = follower.poll(0.0, timeout_s)
            if isinstance(update, client.StoreFailed):
                self._directory.record_read_failure()
                failed_at_s = began_at_s
                failing_since_s = failing_since_s if failures else began_at_s
                failures += 1
                _log_failure("servers", failures, update)
                stop_signal.wait(find_retry_delay_s(failures))
                continue
            if failures:
                duration_s = update.began_at_s - failing_since_s
                outage = list_bounds.StoreOutage(failures, duration_s, failed_at_s)
                self._directory.record_store_recovery(outage)
            is_restored = self._is_restored(update)
            self._apply_servers(update)
            if failures or is_restored:
                self._reread_configuration()
            _log_recovery("servers", failures)
            failures = 0
            stop_signal.wait(SERVERS_POLL_INTERVAL_S)

    def _is_restored(self, update: topics.TopicUpdate) -> bool:
        """Return whether the store came back from a copy, perhaps during a long poll."""
        known = self._directory.version.position
        return positions.find_era(update.end_offset) > positions.find_era(known)

    def _catch_up(self, stop_signal: tasks.StopSignal) -> None:
        """Put a relayed configuration in force, or read one that is in force elsewhere."""
        failures = 0
        while not stop_signal.is_set:
            if not self._directory.configurations.await_newer_version(VERSION_CHECK_INTERVAL_S):
                continue
            if self._apply_received():
                failures = 0
                continue
            if self._is_configuration_relayed():
                stop_signal.wait(RELAY_GRACE_S)
                if self._apply_received() or not self._directory.configurations.is_behind:
                    continue
            failures = 0 if self._reread_configuration() else failures + 1
            stop_signal.wait(find_retry_delay_s(failures))

    def _apply_received(self) -> bool:
        """Put the configuration that the lessor relayed last in force; return whether it was."""
        document = self._directory.configurations.received_document
        if document is None:
            return False
        try:
            stored = document.decompress()
        except zlib.error as error:
            logging.warning("relayed configuration ignored, step decompress: %s", error)
            return False
        configuration = self._decoder.decode_configuration(stored)
        if configuration is None:
            return False
        return self._directory.configurations.apply(configuration, document)

    def _reread_configuration(self) -> bool:
        """Read the configuration directly; a long poll's response may have been lost.

        Returns
        -------
        bool
            Whether the configuration was read.
        """
        outcome = self._store.read_newest(self._decoder.configuration_topic)
        if isinstance(outcome, client.StoreFailed):
            logging.debug("configuration not read, step %s: %s", outcome.step, outcome.detail)
            return False
        if outcome.is_caught_up:
            update = topics.TopicUpdate(
                outcome.records, True, self._clock.read_s(), outcome.end_offset
            )
            reader = evacuations.EvacuationReader(self._decoder.find_evacuated_domain)
            self._directory.apply_evacuations(reader.apply(update))
        self._apply_configuration(outcome.records)
        return True

    def _apply_configuration(self, records: tuple[client.KeyedRecord, ...]) -> None:
        for record in records:
            if record.key == self._decoder.configuration_key and record.value is not None:
                self._apply_stored(record.value)

    def _apply_stored(self, stored: bytes) -> None:
        configuration = self._decoder.decode_configuration(stored)
        if configuration is not None:
            self._directory.configurations.apply(
                configuration,
                configuration_documents.ConfigurationDocument.compress(
                    configuration.version, stored
                ),
            )

    def _apply_servers(self, update: topics.TopicUpdate) -> None:
        """Apply all records in order, since an early one may say that its server leaves."""
        present: list[deployment.RegisteredServer] = []
        removed: set[str] = set()
        for record in update.changed:
            if record.value is None:
                removed.add(record.key)
                present = [server for server in present if server.name != record.key]
                continue
            server = self._decoder.decode_server(record)
            if server is not None:
                present.append(server)
        version = server_lists.ListVersion(update.end_offset, update.began_at_s)
        if update.complete:
            self._directory.apply_full_list(tuple(present), version)
        else:
            self._directory.apply_changes(tuple(present), frozenset(removed), version)


def find_retry_delay_s(failures: int) -> float:
    """Return the backoff in seconds before a call is retried.

    Parameters
    ----------
    failures
        Number of consecutive failures.
    """
    if failures <= 1:
        return INITIAL_BACKOFF_S
    return min(MAX_BACKOFF_S, BASE_BACKOFF_S * BACKOFF_FACTOR ** (failures - 2))


def _log_failure(name: str, failures: int, failed: client.StoreFailed) -> None:
    if failures == 1:
        logging.warning("store unavailable for %s, step %s: %s", name, failed.step, failed.detail)


def _log_recovery(name: str, failures: int) -> None:
    if failures:
        logging.info("store available again for %s after %d failures", name, failures)
