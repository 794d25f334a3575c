"""A local copy of a topic that follows the store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.kernel import clock


@dataclasses.dataclass(frozen=True, slots=True)
class TopicUpdate:
    """The topic is up to date as of a time after `began_at_s`.

    Attributes
    ----------
    changed
        Records that changed; all that exist if `complete`.
    """

    changed: tuple[client.KeyedRecord, ...]
    complete: bool
    began_at_s: float


class TopicFollower:
    """Reads a topic from its newest records on, and then what changes."""

    def __init__(self, store: client.StoreClient, clock: clock.Clock, topic: str) -> None:
        self._store = store
        self._clock = clock
        self._topic = topic
        self._next_offset: int | None = None

    @property
    def next_offset(self) -> int | None:
        """Offset after the last record read; none before the first read."""
        return self._next_offset

    def poll(self, wait_s: float) -> TopicUpdate | client.StoreFailed:
        """Return what changed, waiting up to `wait_s` seconds for a change."""
        began_at_s = self._clock.read_s()
        if self._next_offset is None:
            return self._start_over(began_at_s)
        outcome = self._store.read_changes(self._topic, self._next_offset, wait_s)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        if isinstance(outcome, client.RecordsExpired):
            return self._start_over(began_at_s)
        self._next_offset = outcome.end_offset
        return TopicUpdate(outcome.records, complete=False, began_at_s=began_at_s)

    def _start_over(self, began_at_s: float) -> TopicUpdate | client.StoreFailed:
        outcome = self._store.read_newest(self._topic)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        self._next_offset = outcome.end_offset
        return TopicUpdate(outcome.records, complete=True, began_at_s=began_at_s)
