"""Replay of records that cancel a move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import move_cancellations
from goldcresthall.replication import replay

if TYPE_CHECKING:
    from goldcresthall.replication import state as replicated


@replay.apply.register(move_cancellations.MoveCancelled)
def _(record: move_cancellations.MoveCancelled, state: replicated.State) -> replay.Decision:
    rejected = replay.check_lessor(record.server, record, state)
    if rejected is not None:
        return rejected
    return replay.Accepted(replay.mark_servers_changed({record.server}, state))
