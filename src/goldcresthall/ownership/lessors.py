"""The leases service: one task for each server of a keyed service."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.ownership import keeper
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

    keeper: keeper.ServerKeeper
    task: tasks.Task

    def request_stop(self) -> None:
        """Ask the task to end and wake it if it waits."""
        self.task.request_stop()
        self.keeper.wake()


class Lessors(service.Service):
    """Starts a keeper for each server that the preset in force names, and ends it."""

    def __init__(
        self,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> None:
        self._kernel = owner
        self._incarnation = incarnation
        self._settings = instance_settings
        self._keepers: dict[str, RunningKeeper] = {}
        self._seen: replicated.State | None = None
        self._task = tasks.Task("lessors", self._run)

    @classmethod
    def from_config(
        cls,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> Lessors:
        """Return the service for an instance's settings."""
        return cls(owner, incarnation, instance_settings)

    def start(self) -> None:
        """Begin to follow the preset in force."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
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
            same = lookup.has_same_ownership(state, self._seen)
            if not same or self._has_ended_keepers():
                self._adjust_keepers(state)
            self._seen = state
            self._replica.wait_beyond(state.next_offset, IDLE_WAIT_S)

    def _has_ended_keepers(self) -> bool:
        return any(running.keeper.has_ended for running in self._keepers.values())

    def _adjust_keepers(self, state: replicated.State) -> None:
        wanted = {keyed.server.name for keyed in lookup.iterate_keyed_servers(state)}
        for name, running in list(self._keepers.items()):
            if running.keeper.has_ended:
                del self._keepers[name]
            else:
                running.keeper.retire(is_retired=name not in wanted)
        for name in wanted - self._keepers.keys():
            self._start_keeper(name)

    def _start_keeper(self, server_name: str) -> None:
        server_keeper = keeper.ServerKeeper.from_config(
            self._kernel, self._incarnation, self._settings, server_name
        )
        task = tasks.Task(f"keeper-{server_name}", server_keeper.run)
        self._keepers[server_name] = RunningKeeper(server_keeper, task)
        task.start()
