"""The replica service: the replicated state, and what became of each record."""

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
    """The replicated state as the rest of the code sees it."""

    @property
    @abc.abstractmethod
    def state(self) -> replicated.State:
        """The state replayed so far."""

    @property
    @abc.abstractmethod
    def freshness(self) -> commits.Freshness:
        """How recent the state is."""

    @property
    def condition(self) -> conditions.Condition:
        """Whether work may be decided and sent by the state."""
        return conditions.FOLLOWING

    @abc.abstractmethod
    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait until the next offset exceeds `offset`, or the timeout; return the state."""

    @abc.abstractmethod
    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a fresh read begun after a clock reading; return whether one came."""

    @abc.abstractmethod
    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Append a record and wait until replay decided on it.

        The outcome is unknown while an append may still take effect; a record
        not yet handed to the log at the timeout is never handed to it.
        """

    @abc.abstractmethod
    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return what replay decided on a record, or none if that is unknown."""
