"""Commits moves to the log and tracks them until their outcome is known."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import move_cancellations
from goldcresthall.core import records
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.ownership import counters
from goldcresthall.replication import commits
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

PENDING_MOVE_CANCEL_AFTER_S = 2.0
CANCEL_COMMIT_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingMove:
    """A submitted move away from a server that may still be appended to the log.

    Attributes
    ----------
    metric_reason
        Value of the metric label ``reason`` for this move.
    is_first_loss
        Whether the move declares a server lost that was not lost before.
    waiting_since_s
        Clock reading when the move, or its last cancellation, was submitted.
    """

    server: str
    record: records.PartitionsMoved
    metric_reason: str
    is_first_loss: bool
    waiting_since_s: float


class MoveCommitter:
    """Commits the moves of one server, one at a time.

    A move with an unknown outcome may be accepted at any later time. It remains pending
    until replay has decided on it or a later change of the server supersedes it. The
    lessor forces such a change with a cancellation on the same base offset.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._clock = service_kernel.find(names.CLOCK, clock.Clock)
        self._replica = service_kernel.find(names.REPLICA, replica.Replica)
        self._counters = service_kernel.find(names.LEASE_COUNTERS, counters.LeaseCounters)
        self._pending: PendingMove | None = None

    @property
    def is_loss_pending(self) -> bool:
        """Whether a move that declares the server lost is pending.

        The server's lease must not be renewed meanwhile.
        """
        return self._pending is not None and bool(self._pending.record.lost_server)

    @property
    def is_pending(self) -> bool:
        """Whether a move is pending."""
        return self._pending is not None

    def submit(
        self, server: str, record: records.PartitionsMoved, metric_reason: str, timeout_s: float
    ) -> None:
        """Submit a move to the log and wait up to `timeout_s` for its outcome."""
        was_lost = self._replica.state.servers[server].lost
        is_first_loss = bool(record.lost_server) and not was_lost
        pending = PendingMove(server, record, metric_reason, is_first_loss, self._clock.read_s())
        self._pending = pending
        outcome = self._replica.commit(record, timeout_s)
        logging.info(
            "move of partitions from server %s (reason: %s): %s", server, record.reason, outcome
        )
        if isinstance(outcome, commits.CommitUnknown):
            self._counters.held_moves.inc()
        else:
            self._finish(pending, outcome)

    def resolve(self) -> None:
        """Resolve the outcome of a pending move; cancel the move if that takes too long."""
        pending = self._pending
        if pending is None:
            return
        outcome = self._replica.find_outcome(pending.record.record_id)
        if outcome is not None or self._is_superseded(pending):
            self._finish(pending, outcome)
            return
        if self._clock.read_s() - pending.waiting_since_s > PENDING_MOVE_CANCEL_AFTER_S:
            self._cancel(pending)

    def _finish(self, pending: PendingMove, outcome: commits.CommitOutcome | None) -> None:
        self._pending = None
        if isinstance(outcome, commits.CommitAccepted):
            self._counters.moves.labels(pending.metric_reason).inc(len(pending.record.moves))
            self._counters.lost_servers.inc(int(pending.is_first_loss))

    def _is_superseded(self, pending: PendingMove) -> bool:
        server_state = self._replica.state.servers.get(pending.server)
        return server_state is not None and server_state.changed_at >= pending.record.base

    def _cancel(self, pending: PendingMove) -> None:
        record = move_cancellations.MoveCancelled(
            record_id=identity.create_record_id(),
            base=pending.record.base,
            author=pending.record.author,
            reason="the fate of a move was not known in time",
            server=pending.server,
            cancelled_id=pending.record.record_id,
            lessor=pending.record.lessor,
            lessor_epoch=pending.record.lessor_epoch,
        )
        self._counters.cancelled_moves.inc()
        outcome = self._replica.commit(record, CANCEL_COMMIT_TIMEOUT_S)
        logging.warning("cancellation of pending move from server %s: %s", pending.server, outcome)
        self._pending = dataclasses.replace(pending, waiting_since_s=self._clock.read_s())
