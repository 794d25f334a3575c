"""Replay of snapshot chunks: tracks which are complete; the state in them is not used."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import snapshots
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated
from goldcresthall.replication import state_encoding


@replay.apply.register(snapshots.SnapshotChunk)
def _(record: snapshots.SnapshotChunk, state: replicated.State) -> replay.Decision:
    rejected = _check_chunk(record, state)
    if rejected is not None:
        return rejected
    progress = _record_chunk(record, state)
    return replay.Accepted(dataclasses.replace(state, snapshots=progress))


def _check_chunk(
    record: snapshots.SnapshotChunk, state: replicated.State
) -> replay.Rejected | None:
    progress = state.snapshots
    if not progress.whole_base < record.base <= state.next_offset:
        detail = f"the snapshot at offset {progress.whole_base} is complete"
        return replay.Rejected(replay.RejectionReason.SNAPSHOT_SUPERSEDED, detail)
    expected = progress.pending_chunks if record.snapshot_id == progress.pending_id else 0
    if record.index != expected or not 0 <= record.index < record.count:
        detail = f"chunk {record.index} of {record.count}, expected {expected}"
        return replay.Rejected(replay.RejectionReason.SNAPSHOT_OUT_OF_ORDER, detail)
    if state_encoding.compute_digest(record.content.encode()) != record.content_digest:
        detail = f"chunk {record.index} of {record.count}"
        return replay.Rejected(replay.RejectionReason.SNAPSHOT_DAMAGED, detail)
    return None


def _record_chunk(
    record: snapshots.SnapshotChunk, state: replicated.State
) -> replicated.SnapshotProgress:
    if record.index + 1 == record.count:
        return replicated.SnapshotProgress(whole_base=record.base, whole_at=state.next_offset)
    return dataclasses.replace(
        state.snapshots, pending_id=record.snapshot_id, pending_chunks=record.index + 1
    )
