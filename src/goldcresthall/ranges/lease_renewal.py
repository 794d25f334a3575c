"""Lease renewal: one task for each owning server, which sends its grants and renewals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ranges import grants

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.kernel import clock
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import lease_table

MAX_GRANT_WAIT_S = 0.5


class LeaseRenewers:
    """The renewal tasks of a lessor, one for each server that owns a range."""

    def __init__(
        self,
        channel: grants.GrantChannel,
        server_directory: directory.Directory,
        clock: clock.Clock,
        leases: lease_table.LeaseTable,
        start_loop: tasks.TaskStarter,
    ) -> None:
        self._channel = channel
        self._directory = server_directory
        self._clock = clock
        self._leases = leases
        self._start_loop = start_loop
        self._tasks: dict[deployment.ServerIncarnation, tasks.Task] = {}
        self._servers: dict[deployment.ServerIncarnation, deployment.RegisteredServer] = {}

    def update_owners(self, owners: frozenset[deployment.ServerIncarnation]) -> None:
        """Run one task for each of the owners and stop the tasks of all other servers.

        An owner that is no longer registered keeps its last known address; one without any
        known address gets no task.
        """
        for incarnation in owners:
            entry = self._directory.servers.find(incarnation)
            if entry is not None:
                self._servers[incarnation] = entry.server
            if incarnation not in self._tasks and incarnation in self._servers:
                self._start(incarnation)
        for incarnation in set(self._tasks) - owners:
            self._tasks.pop(incarnation).request_stop()
            self._servers.pop(incarnation, None)

    def find_server(
        self, incarnation: deployment.ServerIncarnation
    ) -> deployment.RegisteredServer | None:
        """Return the last registration of a server, or `None` if it is unknown."""
        return self._servers.get(incarnation)

    def stop(self) -> None:
        """Request all tasks to stop."""
        for task in self._tasks.values():
            task.request_stop()
        self._tasks.clear()

    def _start(self, incarnation: deployment.ServerIncarnation) -> None:
        self._tasks[incarnation] = self._start_loop(
            f"lease-renewal-{incarnation.name}", lambda stop: self._run(incarnation, stop)
        )

    def _run(
        self, incarnation: deployment.ServerIncarnation, stop_signal: tasks.StopSignal
    ) -> None:
        while not stop_signal.is_set:
            command = self._leases.take_due_grant(
                incarnation, self._clock.read_s(), MAX_GRANT_WAIT_S
            )
            if command is None:
                continue
            server = self._servers.get(incarnation)
            if server is None:
                outcome = grants.CommandNotSent("server address is unknown")
                self._leases.complete_grant(command, outcome, self._clock.read_s())
            else:
                self._send(server, command)

    def _send(self, server: deployment.RegisteredServer, command: grants.GrantCommand) -> None:
        outcome: grants.CommandOutcome = grants.CommandUnanswered("the renewal task failed")
        try:
            outcome = self._channel.grant(server, command)
        finally:
            # A grant that stays in flight would never be renewed.
            self._leases.complete_grant(command, outcome, self._clock.read_s())
        if isinstance(outcome, grants.Granted) and outcome.is_draining:
            self._directory.record_draining(server.incarnation)
