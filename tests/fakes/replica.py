"""A fake replica whose state is set by the test."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from goldcresthall.replication import commits
from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import records


class SettableReplica(replica.Replica):
    """Returns the state set last; a wait is recorded and calls `on_wait` instead of blocking."""

    def __init__(self, state: replicated.State | None = None) -> None:
        self._state = state or replicated.State.create_empty()
        self._changed = threading.Condition()
        self.waits: list[float] = []
        self.on_wait: Callable[[float], None] = lambda _: None

    @property
    def state(self) -> replicated.State:
        """The state that the test set last."""
        return self._state

    @property
    def freshness(self) -> commits.Freshness:
        """Freshness of a replica that has never read the log to its end."""
        return commits.Freshness(float("-inf"))

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def set_state(self, state: replicated.State) -> None:
        """Set the state and notify waiting threads."""
        with self._changed:
            self._state = state
            self._changed.notify_all()

    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Record the timeout, call `on_wait` and return the state."""
        self.waits.append(timeout_s)
        self.on_wait(timeout_s)
        return self._state

    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Return `False`: there is never a fresh read."""
        return False

    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Return a failure; this replica accepts no records."""
        return commits.CommitFailed("commits are not supported by this fake")

    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return `None`: no outcome is known."""
        return None
