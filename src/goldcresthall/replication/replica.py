"""The interface of the replica service: the replicated state and commits to the log."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from goldcresthall.kernel import service
from goldcresthall.replication import conditions

if TYPE_CHECKING:
    from goldcresthall.core import records
    from goldcresthall.replication import commits
    from goldcresthall.replication import state as replicated


class Replica(service.Service):
    """Access to the replicated state and to the log behind it."""

    @property
    @abc.abstractmethod
    def state(self) -> replicated.State:
        """The state replayed so far."""

    @property
    @abc.abstractmethod
    def freshness(self) -> commits.Freshness:
        """Freshness of the state."""

    @property
    def condition(self) -> conditions.Condition:
        """Whether decisions and routing may use the state, and why not."""
        return conditions.FOLLOWING

    @abc.abstractmethod
    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait until the next offset exceeds `offset` or the timeout ends; return the state."""

    @abc.abstractmethod
    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a read to the log's end that starts after a clock reading; return success."""

    @abc.abstractmethod
    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Append a record and wait until it is replayed.

        The outcome is unknown while the append may still take effect. A record that
        was not sent to the log before the timeout is never sent.
        """

    @abc.abstractmethod
    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return the commit outcome of a record, or `None` if it is not known."""
