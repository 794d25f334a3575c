"""The peers service: one task for each neighbor."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.ownership import heat
from goldcresthall.peers import client
from goldcresthall.peers import exceptions
from goldcresthall.peers import neighbors
from goldcresthall.platform import instance_list
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.peers import messages

MS_PER_S = 1_000
LIST_CHECK_S = 1.0
RELAY_LIMIT = 500
HEAT_INTERVAL_S = 30.0


class PeerFollower(service.Service):
    """Keeps a connection to a few peers and follows the log through them.

    Records are asked of a peer only while this instance's own reads of the log
    fail, so that relaying costs nothing on an ordinary day.
    """

    def __init__(
        self,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = owner
        self._incarnation = incarnation
        self._failure_domain = instance_settings.failure_domain
        self._settings = instance_settings.peers
        self._stale_after_s = 2 * instance_settings.platform.long_poll_ms / MS_PER_S
        self._lock = threading.Lock()
        self._statuses: dict[str, messages.PeerStatus] = {}
        self._followed: dict[identity.InstanceEntry, tasks.Task] = {}
        self._task = tasks.Task("peers", self._run)

    @classmethod
    def from_config(
        cls,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> PeerFollower:
        """Return the service for an instance's settings."""
        return cls(owner, incarnation, instance_settings)

    @property
    def statuses(self) -> tuple[messages.PeerStatus, ...]:
        """What each followed peer that answers has taken up."""
        with self._lock:
            return tuple(self._statuses.values())

    def start(self) -> None:
        """Begin to follow peers."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.LogReplica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)
        self._task.start()

    def stop(self) -> None:
        """Close all connections."""
        self._task.stop()
        for task in self._followed.values():
            task.request_stop()
        for task in self._followed.values():
            task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            self._adjust_followed()
            stop_signal.wait(LIST_CHECK_S)

    def _adjust_followed(self) -> None:
        wanted = neighbors.choose_neighbors(
            self._incarnation.name, self._list.listing.live, self._settings.neighbor_count
        )
        for entry in wanted:
            if entry not in self._followed:
                self._follow(entry)
        for entry in self._followed.keys() - set(wanted):
            self._followed.pop(entry).request_stop()

    def _follow(self, entry: identity.InstanceEntry) -> None:
        def run(stop_signal: tasks.StopSignal) -> None:
            self._run_peer(entry, stop_signal)

        task = tasks.Task(f"peer-{entry.name}", run)
        self._followed[entry] = task
        task.start()

    def _run_peer(self, entry: identity.InstanceEntry, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            connection = client.PeerConnection(entry, self._settings.request_timeout_ms)
            try:
                connection.open(self._incarnation, self._failure_domain)
                self._exchange_repeatedly(connection, entry, stop_signal)
            except exceptions.PeerError as error:
                logging.warning("peer: %s", error)
            finally:
                connection.close()
                self._forget(entry)
            stop_signal.wait(self._settings.interval_ms / MS_PER_S)

    def _exchange_repeatedly(
        self,
        connection: client.PeerConnection,
        entry: identity.InstanceEntry,
        stop_signal: tasks.StopSignal,
    ) -> None:
        heat_due_s = self._clock.read_s()
        while not stop_signal.is_set:
            status = connection.report_status()
            with self._lock:
                self._statuses[entry.name] = status
            if self._clock.read_s() >= heat_due_s:
                self._heat.note_peer(entry.name, connection.report_heat())
                heat_due_s = self._clock.read_s() + HEAT_INTERVAL_S
            if self._is_stale():
                self._follow_through(connection)
            else:
                stop_signal.wait(self._settings.interval_ms / MS_PER_S)

    def _is_stale(self) -> bool:
        age_s = self._clock.read_s() - self._replica.freshness.read_began_at_s
        return age_s > self._stale_after_s

    def _follow_through(self, connection: client.PeerConnection) -> None:
        asked_at_s = self._clock.read_s()
        relayed = connection.relay_records(
            self._replica.state.next_offset, RELAY_LIMIT, self._settings.interval_ms
        )
        self._replica.follow(relayed.first_offset, relayed.entries)
        if relayed.fresh:
            self._replica.mark_fresh(asked_at_s)

    def _forget(self, entry: identity.InstanceEntry) -> None:
        with self._lock:
            self._statuses.pop(entry.name, None)
        self._heat.forget_peer(entry.name)
