"""Search for the newest complete snapshot in the log."""

from __future__ import annotations

import dataclasses

from absl import logging

from goldcresthall.core import snapshots
from goldcresthall.encoding import exceptions
from goldcresthall.encoding import log_entries
from goldcresthall.log_service import log_client
from goldcresthall.replication import state as replicated
from goldcresthall.replication import state_encoding

SCAN_PAGE_ENTRIES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class FoundSnapshot:
    """The state of a complete snapshot; the log holds all later entries."""

    state: replicated.State


@dataclasses.dataclass(frozen=True, slots=True)
class NoSnapshot:
    """The log holds no usable snapshot."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ScanFailed:
    """The log could not be read up to its end."""

    detail: str


SearchOutcome = FoundSnapshot | NoSnapshot | ScanFailed


def find_snapshot(client: log_client.LogClient, begin_offset: int) -> SearchOutcome:
    """Scan the log from its beginning and return the newest usable snapshot.

    A snapshot is usable if it is complete, its state digest matches and no entry from its
    base offset on has expired.
    """
    collector = _SnapshotCollector()
    offset = begin_offset
    while True:
        outcome = client.read(offset, SCAN_PAGE_ENTRIES, 0)
        if not isinstance(outcome, log_client.LogPage):
            return ScanFailed(f"offset {offset}: {outcome}")
        for entry in outcome.entries:
            collector.add(entry)
        offset = outcome.first_offset + len(outcome.entries)
        if offset >= outcome.end_offset or not outcome.entries:
            return collector.select_newest(outcome.begin_offset)


class _SnapshotCollector:
    def __init__(self) -> None:
        self._pending: tuple[snapshots.SnapshotChunk, ...] = ()
        self._complete: tuple[snapshots.SnapshotChunk, ...] = ()

    def add(self, entry: bytes) -> None:
        try:
            record = log_entries.decode_record(entry)
        except exceptions.EncodingError:
            # Ignored here; replay counts the entry or halts at it.
            return
        if isinstance(record, snapshots.SnapshotChunk):
            self._add_chunk(record)

    def _add_chunk(self, chunk: snapshots.SnapshotChunk) -> None:
        if chunk.index == 0:
            self._pending = ()
        elif not self._pending or self._pending[0].snapshot_id != chunk.snapshot_id:
            return
        if chunk.index != len(self._pending):
            return
        self._pending = (*self._pending, chunk)
        if len(self._pending) == chunk.count:
            self._complete = self._pending
            self._pending = ()

    def select_newest(self, begin_offset: int) -> SearchOutcome:
        if not self._complete:
            return NoSnapshot("the log holds no complete snapshot")
        last = self._complete[-1]
        if last.base < begin_offset:
            return NoSnapshot(f"entries since the snapshot at offset {last.base} expired")
        pieces = tuple(chunk.content for chunk in self._complete)
        try:
            return FoundSnapshot(state_encoding.decode_state(pieces, last.state_digest))
        except state_encoding.StateDecodeError as error:
            logging.warning("snapshot at offset %d: %s", last.base, error)
            return NoSnapshot(f"the snapshot at offset {last.base} is damaged: {error}")
