"""Keepers: one task for each server of a keyed service, which grants and renews."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.kernel import clock
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import book
    from goldcresthall.ranges import grants

WAIT_S = 0.5


class Keepers:
    """The keepers of a lessor's servers."""

    def __init__(
        self,
        channel: grants.GrantChannel,
        known: directory.Directory,
        clock: clock.Clock,
        holding_book: book.HoldingBook,
        start_task: tasks.TaskStarter,
    ) -> None:
        self._channel = channel
        self._directory = known
        self._clock = clock
        self._book = holding_book
        self._start_task = start_task
        self._tasks: dict[deployment.ServerLife, tasks.Task] = {}
        self._servers: dict[deployment.ServerLife, deployment.RegisteredServer] = {}

    def adopt(self, owners: frozenset[deployment.ServerLife]) -> None:
        """Keep a task for each owner; one whose entry is gone is kept at its last address."""
        for life in owners:
            listed = self._directory.servers.find(life)
            if listed is not None:
                self._servers[life] = listed.server
            if life not in self._tasks and life in self._servers:
                self._start(life)
        for life in set(self._tasks) - owners:
            self._tasks.pop(life).request_stop()
            self._servers.pop(life, None)

    def find_server(self, life: deployment.ServerLife) -> deployment.RegisteredServer | None:
        """Return a server as last registered, or none."""
        return self._servers.get(life)

    def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks.values():
            task.request_stop()
        self._tasks.clear()

    def _start(self, life: deployment.ServerLife) -> None:
        self._tasks[life] = self._start_task(
            f"keeper-{life.name}", lambda stop: self._run(life, stop)
        )

    def _run(self, life: deployment.ServerLife, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            order = self._book.take_grant(life, self._clock.read_s(), WAIT_S)
            server = self._servers.get(life)
            if order is None or server is None:
                continue
            outcome = self._channel.grant(server, order)
            self._book.conclude_grant(order, outcome, self._clock.read_s())
