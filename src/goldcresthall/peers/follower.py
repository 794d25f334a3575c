"""Peers service: polls each neighbor in a task of its own."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import heat
from goldcresthall.peers import client
from goldcresthall.peers import divergence
from goldcresthall.peers import exceptions
from goldcresthall.peers import messages
from goldcresthall.peers import neighbors
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import server
from goldcresthall.replication import log_replica
from goldcresthall.replication import replica_metrics

if TYPE_CHECKING:
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000
INSTANCE_LIST_CHECK_INTERVAL_S = 1.0
MAX_RELAYED_ENTRIES = 500
HEAT_REPORT_INTERVAL_S = 30.0
STATE_SOURCE_LABEL = "peer"


class PeerFollower(service.Service):
    """Keeps connections to a few peers and replicates the log through them when needed.

    Entries are requested from a peer only while this instance's own reads of the log
    fail, so that relaying adds no load in normal operation.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._failure_domain = instance_settings.failure_domain
        self._settings = instance_settings.peers
        self._own_address = instance_settings.listen.peers
        self._stale_after_s = 2 * instance_settings.platform.long_poll_ms / MS_PER_S
        self._lock = threading.Lock()
        self._statuses: dict[str, messages.PeerStatus] = {}
        self._neighbor_tasks: dict[identity.InstanceEntry, tasks.Task] = {}
        self._applied_list_revision = 0
        self._agreement = divergence.StateAgreement()
        self._task = tasks.LoopTask("peers", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> PeerFollower:
        """Return the service configured by an instance's settings."""
        return cls(service_kernel, incarnation, instance_settings)

    @property
    def statuses(self) -> tuple[messages.PeerStatus, ...]:
        """Latest status of each neighbor that responds."""
        with self._lock:
            return tuple(self._statuses.values())

    def start(self) -> None:
        """Start connecting to neighbors."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, log_replica.LogReplica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)
        self._uptake = self._kernel.find(names.PEER_SERVER, server.PeerServer).uptake_table
        self._metrics = peer_metrics.PeerMetrics(
            replica_metrics.find_registry(self._kernel), "client"
        )
        self._started_at_s = self._clock.read_s()
        self._task.start()

    def stop(self) -> None:
        """Close all connections."""
        self._task.stop()
        for task in self._neighbor_tasks.values():
            task.request_stop()
        for task in self._neighbor_tasks.values():
            task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            self._update_neighbors()
            stop_signal.wait(INSTANCE_LIST_CHECK_INTERVAL_S)

    def _update_neighbors(self) -> None:
        listing = self._list.listing
        if listing.revision and listing.revision == self._applied_list_revision:
            return
        self._applied_list_revision = listing.revision
        live = listing.live if listing.revision else self._list_seeds()
        chosen = neighbors.choose_neighbors(
            self._incarnation.name, live, self._settings.neighbor_count
        )
        for entry in chosen:
            if entry not in self._neighbor_tasks:
                self._start_neighbor_task(entry)
        for entry in self._neighbor_tasks.keys() - set(chosen):
            self._neighbor_tasks.pop(entry).request_stop()

    def _list_seeds(self) -> tuple[identity.InstanceEntry, ...]:
        return tuple(
            identity.InstanceEntry(str(address), "", address, identity.InstanceStatus.LIVE)
            for address in self._settings.seeds
            if address != self._own_address
        )

    def _start_neighbor_task(self, entry: identity.InstanceEntry) -> None:
        def run(stop_signal: tasks.StopSignal) -> None:
            self._run_peer(entry, stop_signal)

        task = tasks.Task(f"peer-{entry.name}", run)
        self._neighbor_tasks[entry] = task
        task.start()

    def _run_peer(self, entry: identity.InstanceEntry, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            connection = client.PeerConnection(
                entry, self._settings.request_timeout_ms, self._metrics
            )
            try:
                connection.open(self._incarnation, self._failure_domain)
                self._poll_peer(connection, entry, stop_signal)
            except exceptions.PeerError as error:
                self._metrics.count_fault(error.step, error.peer, type(error).__name__)
                logging.warning("peer exchange failed: %s", error)
            finally:
                connection.close()
                self._remove_peer(entry)
            stop_signal.wait(self._settings.interval_ms / MS_PER_S)

    def _poll_peer(
        self,
        connection: client.PeerConnection,
        entry: identity.InstanceEntry,
        stop_signal: tasks.StopSignal,
    ) -> None:
        heat_due_s = self._clock.read_s()
        while not stop_signal.is_set:
            self._poll_status(connection, entry)
            if self._clock.read_s() >= heat_due_s:
                self._heat.update_peer_report(entry.name, connection.report_heat())
                heat_due_s = self._clock.read_s() + HEAT_REPORT_INTERVAL_S
            if not self._list.listing.revision:
                self._list.bootstrap(connection.list_instances())
            if not self._is_stale() or not self._replicate_from(connection):
                stop_signal.wait(self._settings.interval_ms / MS_PER_S)

    def _poll_status(
        self, connection: client.PeerConnection, entry: identity.InstanceEntry
    ) -> None:
        requested_at_s = self._clock.read_s()
        status = connection.report_status()
        with self._lock:
            self._statuses[entry.name] = status
        own_row = messages.UptakeRow(status.name, status.incarnation, status.preset_offset, 0)
        for row in (own_row, *status.uptake):
            self._uptake.merge(row, requested_at_s)
        self._compare_state(entry.name, status)

    def _compare_state(self, peer: str, status: messages.PeerStatus) -> None:
        agrees = self._replica.matches_chain_digest(status.next_offset, status.chain)
        if agrees is None:
            return
        self._agreement.record(peer, agrees=agrees)
        self._replica.count_peer_check(agrees=agrees)
        if not agrees:
            logging.error("state differs from peer %s at offset %d", peer, status.next_offset)
        if self._agreement.lacks_majority and not self._replica.state.halted:
            self._replica.declare_divergence(
                f"differs from peers at offset {status.next_offset}: {self._agreement.describe()}"
            )

    def _is_stale(self) -> bool:
        last_read_at_s = max(self._replica.freshness.read_began_at_s, self._started_at_s)
        return self._clock.read_s() - last_read_at_s > self._stale_after_s

    def _replicate_from(self, connection: client.PeerConnection) -> bool:
        """Apply a page of entries or a state from a peer; return whether to poll again at once."""
        requested_at_s = self._clock.read_s()
        offset = self._replica.state.next_offset
        try:
            relayed = connection.relay_records(
                offset, MAX_RELAYED_ENTRIES, self._settings.interval_ms
            )
        except exceptions.PeerRangeError:
            return self._replica.install(connection.fetch_state(), STATE_SOURCE_LABEL)
        self._replica.replay_entries(relayed.first_offset, relayed.entries)
        if relayed.fresh:
            self._replica.mark_fresh(requested_at_s)
        elif relayed.usable and not self._is_behind(relayed.next_offset):
            self._replica.mark_caught_up_with_peers()
        return relayed.fresh or bool(relayed.entries)

    def _is_behind(self, next_offset: int) -> bool:
        peer_offsets = [status.next_offset for status in self.statuses if status.usable]
        return self._replica.state.next_offset < max([next_offset, *peer_offsets])

    def _remove_peer(self, entry: identity.InstanceEntry) -> None:
        with self._lock:
            self._statuses.pop(entry.name, None)
            self._agreement.remove(entry.name)
        self._heat.remove_peer_report(entry.name)
