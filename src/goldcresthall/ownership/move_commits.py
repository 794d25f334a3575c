"""Moves handed to the log, held until their fate is known."""

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

CANCEL_AFTER_S = 2.0
CANCEL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingMove:
    """A move away from a server that may yet appear in the log.

    Attributes
    ----------
    kind
        Reason under which the move is counted.
    is_first_loss
        Whether the move also declares a server lost that was not lost before.
    waits_from_s
        Clock reading when the move, or its last cancellation, was handed over.
    """

    server: str
    record: records.PartitionsMoved
    kind: str
    is_first_loss: bool
    waits_from_s: float


class MoveCommitter:
    """Hands one server's moves to the log, one at a time.

    A move of unknown fate may be accepted at any later time. It stays pending until
    it is found, or until a later change of the server overtakes it; the lessor sees
    to that by a cancellation on the same base.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._clock = service_kernel.find(names.CLOCK, clock.Clock)
        self._replica = service_kernel.find(names.REPLICA, replica.Replica)
        self._counters = service_kernel.find(names.LEASE_COUNTERS, counters.LeaseCounters)
        self._handed: PendingMove | None = None

    @property
    def is_loss_pending(self) -> bool:
        """Whether a move after the server's loss is pending: its lease must rest."""
        return self._handed is not None and bool(self._handed.record.lost_server)

    @property
    def is_pending(self) -> bool:
        """Whether any move is pending."""
        return self._handed is not None

    def hand_over(
        self, server: str, record: records.PartitionsMoved, kind: str, timeout_s: float
    ) -> None:
        """Hand a move to the log and wait for its fate up to a timeout."""
        was_lost = self._replica.state.servers[server].lost
        is_first_loss = bool(record.lost_server) and not was_lost
        handed = PendingMove(server, record, kind, is_first_loss, self._clock.read_s())
        self._handed = handed
        outcome = self._replica.commit(record, timeout_s)
        logging.info("move from %s (%s): %s", server, record.reason, outcome)
        if isinstance(outcome, commits.CommitUnknown):
            self._counters.held_moves.inc()
        else:
            self._conclude(handed, outcome)

    def settle(self) -> None:
        """Find out a pending move's fate; cancel the move if that takes too long."""
        handed = self._handed
        if handed is None:
            return
        outcome = self._replica.find_outcome(handed.record.record_id)
        if outcome is not None or self._is_overtaken(handed):
            self._conclude(handed, outcome)
            return
        if self._clock.read_s() - handed.waits_from_s > CANCEL_AFTER_S:
            self._cancel(handed)

    def _conclude(self, handed: PendingMove, outcome: commits.CommitOutcome | None) -> None:
        self._handed = None
        if isinstance(outcome, commits.CommitAccepted):
            self._counters.moves.labels(handed.kind).inc(len(handed.record.moves))
            self._counters.lost_servers.inc(int(handed.is_first_loss))

    def _is_overtaken(self, handed: PendingMove) -> bool:
        known = self._replica.state.servers.get(handed.server)
        return known is not None and known.changed_at >= handed.record.base

    def _cancel(self, handed: PendingMove) -> None:
        record = move_cancellations.MoveCancelled(
            record_id=identity.create_record_id(),
            base=handed.record.base,
            author=handed.record.author,
            reason="the fate of a move was not known in time",
            server=handed.server,
            cancelled_id=handed.record.record_id,
            lessor=handed.record.lessor,
            lessor_epoch=handed.record.lessor_epoch,
        )
        self._counters.cancelled_moves.inc()
        outcome = self._replica.commit(record, CANCEL_TIMEOUT_S)
        logging.warning("cancelled move from %s: %s", handed.server, outcome)
        self._handed = dataclasses.replace(handed, waits_from_s=self._clock.read_s())
