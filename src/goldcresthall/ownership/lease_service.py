"""Lease service: runs one task for each server whose lessor or candidate this instance is."""

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

STATE_POLL_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningLeaseManager:
    """A lease manager and the task that runs it."""

    lease_manager: lease_manager.LeaseManager
    task: tasks.Task

    def request_stop(self) -> None:
        """Request the task to stop and wake it if it waits."""
        self.task.request_stop()
        self.lease_manager.wake()


class LeaseService(service.Service):
    """Starts and stops lease managers as preset, ownership and instance list change.

    An instance manages only the servers for which it is the lessor or a candidate, so
    that the number of its tasks does not grow with the total number of servers.
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
        self._managers: dict[str, RunningLeaseManager] = {}
        self._last_state: replicated.State | None = None
        self._last_listing: instance_list.InstanceListing | None = None
        self._task = tasks.LoopTask("lease-service", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> LeaseService:
        """Return the lease service of an instance."""
        return cls(service_kernel, incarnation, instance_settings)

    def start(self) -> None:
        """Start following the replicated state and the instance list."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._task.start()

    def stop(self) -> None:
        """Stop all lease managers; each lessor hands its role over."""
        self._task.stop()
        for running in self._managers.values():
            running.request_stop()
        for running in self._managers.values():
            running.task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            state = self._replica.state
            listing = self._list.listing
            if self._needs_adjustment(state, listing):
                self._adjust_managers(state, listing)
                self._wake_managers(state)
            self._last_state, self._last_listing = state, listing
            self._replica.wait_for_newer(state.next_offset, STATE_POLL_INTERVAL_S)

    def _needs_adjustment(
        self, state: replicated.State, listing: instance_list.InstanceListing
    ) -> bool:
        has_ended = any(running.lease_manager.has_ended for running in self._managers.values())
        is_unchanged = (
            lookup.has_same_ownership(state, self._last_state) and listing is self._last_listing
        )
        return has_ended or not is_unchanged

    def _adjust_managers(
        self, state: replicated.State, listing: instance_list.InstanceListing
    ) -> None:
        responsible_names = {
            keyed.server.name
            for keyed in lookup.iterate_keyed_servers(state)
            if self._is_responsible_for(keyed, state, listing)
        }
        for name, running in list(self._managers.items()):
            if running.lease_manager.has_ended:
                del self._managers[name]
            else:
                running.lease_manager.retire(is_retired=name not in responsible_names)
        for name in responsible_names - self._managers.keys():
            self._start_manager(name)

    def _is_responsible_for(
        self,
        keyed: lookup.KeyedServer,
        state: replicated.State,
        listing: instance_list.InstanceListing,
    ) -> bool:
        server_state = state.servers.get(keyed.server.name)
        if server_state is not None and server_state.lessor == self._incarnation:
            return True
        rank = candidates.find_rank(keyed, state, listing.live, self._incarnation.name)
        return rank is not None

    def _wake_managers(self, state: replicated.State) -> None:
        last_state = self._last_state
        for name, running in self._managers.items():
            if (
                last_state is None
                or last_state.partitions is not state.partitions
                or last_state.preset_in_force is not state.preset_in_force
                or last_state.servers.get(name) is not state.servers.get(name)
            ):
                running.lease_manager.wake()

    def _start_manager(self, server_name: str) -> None:
        manager = lease_manager.LeaseManager.from_config(
            self._kernel, self._incarnation, self._settings, server_name
        )
        task = tasks.Task(f"lease-manager-{server_name}", manager.run)
        self._managers[server_name] = RunningLeaseManager(manager, task)
        task.start()
