"""Keepers: one task for each server of a keyed service, which grants and renews."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.kernel import clock
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import grants
    from goldcresthall.ranges import lease_table

WAIT_S = 0.5


class LeaseRenewers:
    """The keepers of a lessor's servers."""

    def __init__(
        self,
        channel: grants.GrantChannel,
        known: directory.Directory,
        clock: clock.Clock,
        leases: lease_table.LeaseTable,
        start_task: tasks.TaskStarter,
    ) -> None:
        self._channel = channel
        self._directory = known
        self._clock = clock
        self._leases = leases
        self._start_task = start_task
        self._tasks: dict[deployment.ServerIncarnation, tasks.Task] = {}
        self._servers: dict[deployment.ServerIncarnation, deployment.RegisteredServer] = {}

    def update_owners(self, owners: frozenset[deployment.ServerIncarnation]) -> None:
        """Keep a task for each owner; one whose entry is gone is kept at its last address."""
        for incarnation in owners:
            listed = self._directory.servers.find(incarnation)
            if listed is not None:
                self._servers[incarnation] = listed.server
            if incarnation not in self._tasks and incarnation in self._servers:
                self._start(incarnation)
        for incarnation in set(self._tasks) - owners:
            self._tasks.pop(incarnation).request_stop()
            self._servers.pop(incarnation, None)

    def find_server(
        self, incarnation: deployment.ServerIncarnation
    ) -> deployment.RegisteredServer | None:
        """Return a server as last registered, or none."""
        return self._servers.get(incarnation)

    def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks.values():
            task.request_stop()
        self._tasks.clear()

    def _start(self, incarnation: deployment.ServerIncarnation) -> None:
        self._tasks[incarnation] = self._start_task(
            f"keeper-{incarnation.name}", lambda stop: self._run(incarnation, stop)
        )

    def _run(
        self, incarnation: deployment.ServerIncarnation, stop_signal: tasks.StopSignal
    ) -> None:
        while not stop_signal.is_set:
            command = self._leases.take_due_grant(incarnation, self._clock.read_s(), WAIT_S)
            server = self._servers.get(incarnation)
            if command is None or server is None:
                continue
            outcome = self._channel.grant(server, command)
            self._leases.complete_grant(command, outcome, self._clock.read_s())
