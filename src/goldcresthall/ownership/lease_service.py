"""The leases service: one task for each server that this instance leases or watches."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import candidates
from goldcresthall.ownership import lease_manager
from goldcresthall.ownership import lookup
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.replication import state as replicated

IDLE_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningKeeper:
    """A keeper and the task that runs it."""

    lease_manager: lease_manager.LeaseManager
    task: tasks.Task

    def request_stop(self) -> None:
        """Ask the task to end and wake it if it waits."""
        self.task.request_stop()
        self.lease_manager.wake()


class LeaseService(service.Service):
    """Starts and ends keepers as the preset, the log and the instance list change.

    An instance keeps the servers whose lessor or candidate it is and no others, so
    that its tasks do not grow with the number of all servers.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._settings = instance_settings
        self._keepers: dict[str, RunningKeeper] = {}
        self._seen: replicated.State | None = None
        self._listing: instance_list.InstanceListing | None = None
        self._task = tasks.Task("lessors", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> LeaseService:
        """Return the service for an instance's settings."""
        return cls(service_kernel, incarnation, instance_settings)

    def start(self) -> None:
        """Begin to follow the preset in force."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._task.start()

    def stop(self) -> None:
        """End all keepers; each hands its lessor's duty over."""
        self._task.stop()
        for running in self._keepers.values():
            running.request_stop()
        for running in self._keepers.values():
            running.task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            state = self._replica.state
            listing = self._list.listing
            if self._must_adjust(state, listing):
                self._adjust_keepers(state, listing)
                self._wake_keepers(state)
            self._seen, self._listing = state, listing
            self._replica.wait_for_newer(state.next_offset, IDLE_WAIT_S)

    def _must_adjust(self, state: replicated.State, listing: instance_list.InstanceListing) -> bool:
        has_ended = any(running.lease_manager.has_ended for running in self._keepers.values())
        same = lookup.has_same_ownership(state, self._seen) and listing is self._listing
        return has_ended or not same

    def _adjust_keepers(
        self, state: replicated.State, listing: instance_list.InstanceListing
    ) -> None:
        wanted = {
            keyed.server.name
            for keyed in lookup.iterate_keyed_servers(state)
            if self._concerns(keyed, state, listing)
        }
        for name, running in list(self._keepers.items()):
            if running.lease_manager.has_ended:
                del self._keepers[name]
            else:
                running.lease_manager.retire(is_retired=name not in wanted)
        for name in wanted - self._keepers.keys():
            self._start_keeper(name)

    def _concerns(
        self,
        keyed: lookup.KeyedServer,
        state: replicated.State,
        listing: instance_list.InstanceListing,
    ) -> bool:
        known = state.servers.get(keyed.server.name)
        if known is not None and known.lessor == self._incarnation:
            return True
        rank = candidates.find_rank(keyed, state, listing.live, self._incarnation.name)
        return rank is not None

    def _wake_keepers(self, state: replicated.State) -> None:
        seen = self._seen
        for name, running in self._keepers.items():
            if (
                seen is None
                or seen.partitions is not state.partitions
                or seen.preset_in_force is not state.preset_in_force
                or seen.servers.get(name) is not state.servers.get(name)
            ):
                running.lease_manager.wake()

    def _start_keeper(self, server_name: str) -> None:
        server_keeper = lease_manager.LeaseManager.from_config(
            self._kernel, self._incarnation, self._settings, server_name
        )
        task = tasks.Task(f"keeper-{server_name}", server_keeper.run)
        self._keepers[server_name] = RunningKeeper(server_keeper, task)
        task.start()
