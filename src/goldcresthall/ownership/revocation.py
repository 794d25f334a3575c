"""Planned moves away from one server: revoke grants, let requests finish, then move."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import identity
from goldcresthall.core import records
from goldcresthall.ownership import placement
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from goldcresthall.core import leases
    from goldcresthall.ownership import lease_context
    from goldcresthall.ownership import lease_view
    from goldcresthall.ownership import lookup
    from goldcresthall.ownership import move_commits
    from goldcresthall.ownership import timestamped_state

MAX_MOVES_PER_BATCH = 32
WORK_FINISH_TIMEOUT_S = 10.0
WITHDRAWAL_RETRY_DELAY_S = 30.0
LEAVING_REASON = "server is leaving"
REQUESTED_METRIC_REASON = "wished"


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Moves that are revoked and committed together.

    Attributes
    ----------
    is_submitted
        Whether the moves were submitted to the log.
    """

    moves: tuple[records.PartitionMove, ...]
    reason: str
    began_at_s: float
    is_submitted: bool = False


class Revocation:
    """Executes the planned moves of one server, one batch at a time.

    The server keeps serving under its other grants. It starts no new work under the
    withheld grants and reports when none is running. The moves are then submitted while
    the lease is still valid: an unknown outcome affects no grant that the server holds.
    """

    def __init__(
        self, context: lease_context.LeaseContext, move_committer: move_commits.MoveCommitter
    ) -> None:
        self._context = context
        self._move_committer = move_committer
        self._batch: Batch | None = None
        self._retry_not_before_s = float("-inf")

    @property
    def withheld(self) -> frozenset[replicated.PartitionId]:
        """Partitions that must not be granted to the server at present."""
        if self._batch is None:
            return frozenset()
        return frozenset(
            replicated.PartitionId(move.service, move.partition) for move in self._batch.moves
        )

    @property
    def is_waiting(self) -> bool:
        """Whether a batch waits for the server to finish running work."""
        return self._batch is not None and not self._batch.is_submitted

    def abandon(self) -> None:
        """Abandon the batch, if any; a move that was submitted to the log stays pending."""
        self._batch = None

    def advance(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        table: leases.GrantTable,
        observed: timestamped_state.TimestampedState,
    ) -> bool:
        """Perform the next step; return whether it changed the server's grants."""
        if self._batch is None:
            return self._begin(keyed, observed)
        if self._batch.is_submitted:
            return self._end_if_resolved()
        if _is_finished(view, table):
            self._submit(self._batch, observed)
            return self._end_if_resolved()
        return self._withdraw_if_timed_out(self._batch)

    def _begin(
        self, keyed: lookup.KeyedServer, observed: timestamped_state.TimestampedState
    ) -> bool:
        is_delayed = self._context.clock.read_s() < self._retry_not_before_s
        if (
            is_delayed
            or self._move_committer.is_pending
            or not self._context.is_log_reachable(observed)
        ):
            return False
        reason, moves = self._choose_moves(keyed, observed.state)
        if not moves:
            return False
        self._batch = Batch(moves, reason, self._context.clock.read_s())
        return True

    def _choose_moves(
        self, keyed: lookup.KeyedServer, state: replicated.State
    ) -> tuple[str, tuple[records.PartitionMove, ...]]:
        name = self._context.server_name
        if keyed.is_leaving:
            return (
                LEAVING_REASON,
                placement.plan_evacuation(name, keyed.policy, state)[:MAX_MOVES_PER_BATCH],
            )
        requests = self._context.planned.take(name, 1)
        moves = tuple(
            records.PartitionMove(
                request.partition.service, request.partition.number, name, request.to_server
            )
            for request in requests
            if placement.is_movable(request.partition, name, request.to_server, keyed.policy, state)
        )
        return requests[0].reason if requests else "", moves

    def _submit(self, batch: Batch, observed: timestamped_state.TimestampedState) -> None:
        name = self._context.server_name
        server_state = observed.state.servers[name]
        record = records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=observed.state.next_offset,
            author=str(self._context.incarnation),
            reason=batch.reason,
            decided_at=identity.format_utc_now(),
            moves=batch.moves,
            lessor=self._context.incarnation,
            lessor_epoch=server_state.epoch,
        )
        self._batch = dataclasses.replace(batch, is_submitted=True)
        # A short timeout, because the server's other grants must be renewed meanwhile.
        timeout_s = self._context.timing.renew_interval_s
        metric_reason = (
            LEAVING_REASON if batch.reason == LEAVING_REASON else REQUESTED_METRIC_REASON
        )
        self._move_committer.submit(name, record, metric_reason, timeout_s)

    def _end_if_resolved(self) -> bool:
        if self._move_committer.is_pending:
            return False
        self._batch = None
        return True

    def _withdraw_if_timed_out(self, batch: Batch) -> bool:
        now_s = self._context.clock.read_s()
        if now_s - batch.began_at_s < WORK_FINISH_TIMEOUT_S:
            return False
        self._batch = None
        self._retry_not_before_s = now_s + WITHDRAWAL_RETRY_DELAY_S
        self._context.counters.withdrawn_moves.labels("work_not_finished").inc()
        return True


def _is_finished(view: lease_view.LeaseView, table: leases.GrantTable) -> bool:
    report = view.report
    if report is None or not view.is_fenced or report.lessor_epoch != view.lessor_epoch:
        return False
    return report.grant_version == table.version and report.finishing == 0
