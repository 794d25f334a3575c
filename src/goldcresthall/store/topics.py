"""Incremental reading of a topic in the store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.kernel import clock


@dataclasses.dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Result of a poll.

    Attributes
    ----------
    changed
        Records that changed; all existing records if `complete`.
    complete
        Whether the topic was read anew from its newest records.
    began_at_s
        Reading of the clock before the read; the records are at least as recent.
    """

    changed: tuple[client.KeyedRecord, ...]
    complete: bool
    began_at_s: float


class TopicFollower:
    """Reads the newest records of a topic first, and only changes afterwards."""

    def __init__(self, store: client.StoreClient, clock: clock.Clock, topic: str) -> None:
        self._store = store
        self._clock = clock
        self._topic = topic
        self._next_offset: int | None = None

    @property
    def next_offset(self) -> int | None:
        """Offset after the last record read; `None` before the first read."""
        return self._next_offset

    def poll(self, wait_s: float) -> TopicUpdate | client.StoreFailed:
        """Return the changes since the last poll, waiting up to `wait_s` seconds for one."""
        began_at_s = self._clock.read_s()
        if self._next_offset is None:
            return self._read_all(began_at_s)
        outcome = self._store.read_changes(self._topic, self._next_offset, wait_s)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        if isinstance(outcome, client.RecordsExpired):
            return self._read_all(began_at_s)
        self._next_offset = outcome.end_offset
        return TopicUpdate(outcome.records, complete=False, began_at_s=began_at_s)

    def _read_all(self, began_at_s: float) -> TopicUpdate | client.StoreFailed:
        outcome = self._store.read_newest(self._topic)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        self._next_offset = outcome.end_offset
        return TopicUpdate(outcome.records, complete=True, began_at_s=began_at_s)
