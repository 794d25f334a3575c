"""Planned moves away from one server: withhold the grants, let work finish, move."""

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

BATCH_LIMIT = 32
FINISH_LIMIT_S = 10.0
REST_S = 30.0
LEAVING_REASON = "server is leaving"
WISHED_KIND = "wished"


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Moves that are made together.

    Attributes
    ----------
    is_handed
        Whether the moves were handed to the log.
    """

    moves: tuple[records.PartitionMove, ...]
    reason: str
    began_at_s: float
    is_handed: bool = False


class Revocation:
    """Makes one server's planned moves, a batch at a time.

    The server goes on under the rest of its grants. It takes no new work under the
    withheld ones and reports when none is running, so the moves can be handed to the
    log with the lease alive: what is not known of them concerns no grant it holds.
    """

    def __init__(
        self, shared: lease_context.LeaseContext, handoff: move_commits.MoveCommitter
    ) -> None:
        self._shared = shared
        self._handoff = handoff
        self._batch: Batch | None = None
        self._rests_until_s = float("-inf")

    @property
    def withheld(self) -> frozenset[replicated.PartitionId]:
        """Partitions that the server must not be granted now."""
        if self._batch is None:
            return frozenset()
        return frozenset(
            replicated.PartitionId(move.service, move.partition) for move in self._batch.moves
        )

    @property
    def is_waiting(self) -> bool:
        """Whether a batch waits for the server to finish."""
        return self._batch is not None and not self._batch.is_handed

    def forget(self) -> None:
        """Give up the batch, if any; a move already handed to the log stays with it."""
        self._batch = None

    def advance(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        table: leases.GrantTable,
        base: timestamped_state.TimestampedState,
    ) -> bool:
        """Take the next step; return whether the server's grants changed by it."""
        if self._batch is None:
            return self._begin(keyed, base)
        if self._batch.is_handed:
            return self._end_if_settled()
        if _is_finished(view, table):
            self._hand_over(self._batch, base)
            return self._end_if_settled()
        return self._withdraw_if_late(self._batch)

    def _begin(self, keyed: lookup.KeyedServer, base: timestamped_state.TimestampedState) -> bool:
        resting = self._shared.clock.read_s() < self._rests_until_s
        if resting or self._handoff.is_pending or not self._shared.is_log_reachable(base):
            return False
        reason, moves = self._choose(keyed, base.state)
        if not moves:
            return False
        self._batch = Batch(moves, reason, self._shared.clock.read_s())
        return True

    def _choose(
        self, keyed: lookup.KeyedServer, state: replicated.State
    ) -> tuple[str, tuple[records.PartitionMove, ...]]:
        name = self._shared.server_name
        if keyed.is_leaving:
            return (
                LEAVING_REASON,
                placement.plan_evacuation(name, keyed.policy, state)[:BATCH_LIMIT],
            )
        wishes = self._shared.planned.take(name, 1)
        moves = tuple(
            records.PartitionMove(
                wish.partition.service, wish.partition.number, name, wish.to_server
            )
            for wish in wishes
            if placement.is_movable(wish.partition, name, wish.to_server, keyed.policy, state)
        )
        return wishes[0].reason if wishes else "", moves

    def _hand_over(self, batch: Batch, base: timestamped_state.TimestampedState) -> None:
        name = self._shared.server_name
        known = base.state.servers[name]
        record = records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=base.state.next_offset,
            author=str(self._shared.incarnation),
            reason=batch.reason,
            decided_at=identity.format_utc_now(),
            moves=batch.moves,
            lessor=self._shared.incarnation,
            lessor_epoch=known.epoch,
        )
        self._batch = dataclasses.replace(batch, is_handed=True)
        # The wait is short, as the rest of the server's grants must be renewed meanwhile.
        timeout_s = self._shared.timing.renew_interval_s
        kind = LEAVING_REASON if batch.reason == LEAVING_REASON else WISHED_KIND
        self._handoff.hand_over(name, record, kind, timeout_s)

    def _end_if_settled(self) -> bool:
        if self._handoff.is_pending:
            return False
        self._batch = None
        return True

    def _withdraw_if_late(self, batch: Batch) -> bool:
        now_s = self._shared.clock.read_s()
        if now_s - batch.began_at_s < FINISH_LIMIT_S:
            return False
        self._batch = None
        self._rests_until_s = now_s + REST_S
        self._shared.counters.withdrawn_moves.labels("work_not_finished").inc()
        return True


def _is_finished(view: lease_view.LeaseView, table: leases.GrantTable) -> bool:
    report = view.report
    if report is None or not view.is_fenced or report.lessor_epoch != view.lessor_epoch:
        return False
    return report.grant_version == table.version and report.finishing == 0
