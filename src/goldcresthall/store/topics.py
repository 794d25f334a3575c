"""Incremental reading of a topic in the store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.kernel import clock


@dataclasses.dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Result of a poll; with the records of earlier polls it is the topic at `end_offset`.

    Attributes
    ----------
    changed
        Records that changed; all existing records if `complete`.
    complete
        Whether the topic was read anew from its newest records.
    began_at_s
        Reading of the clock before the read; the records are at least as recent.
    end_offset
        Offset after the last record read.
    """

    changed: tuple[client.KeyedRecord, ...]
    complete: bool
    began_at_s: float
    end_offset: int


class TopicFollower:
    """Reads the newest records of a topic first, and only changes afterwards.

    A poll succeeds only if it reaches the end of the topic. A reader that has fallen behind by
    more than one call returns reads the newest records again.
    """

    def __init__(self, store: client.StoreClient, clock: clock.Clock, topic: str) -> None:
        self._store = store
        self._clock = clock
        self._topic = topic
        self._next_offset: int | None = None

    @property
    def next_offset(self) -> int | None:
        """Offset after the last record read; `None` before the first read."""
        return self._next_offset

    def skip_to(self, offset: int) -> None:
        """Leave out the records before an offset, because their effect is known otherwise."""
        if offset > (self._next_offset or 0):
            self._next_offset = offset

    def poll(
        self, wait_s: float, timeout_s: float | None = None
    ) -> TopicUpdate | client.StoreFailed:
        """Return the changes since the last poll, waiting up to `wait_s` seconds for one.

        Parameters
        ----------
        timeout_s
            Seconds beyond `wait_s` after which the read of changes fails; `None` for the limit of
            all calls.
        """
        began_at_s = self._clock.read_s()
        if self._next_offset is None:
            return self._read_all(began_at_s)
        outcome = self._store.read_changes(self._topic, self._next_offset, wait_s, timeout_s)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        if isinstance(outcome, client.RecordsExpired) or not outcome.is_caught_up:
            return self._read_all(began_at_s)
        self._next_offset = outcome.end_offset
        return TopicUpdate(outcome.records, False, began_at_s, outcome.end_offset)

    def _read_all(self, began_at_s: float) -> TopicUpdate | client.StoreFailed:
        outcome = self._store.read_newest(self._topic)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        records = outcome.records
        while not outcome.is_caught_up:
            # Records were appended between two pages of the newest ones.
            later = self._store.read_changes(self._topic, outcome.end_offset, 0.0)
            if isinstance(later, client.StoreFailed):
                return later
            if isinstance(later, client.RecordsExpired):
                return client.StoreFailed("read", "records expired during the read")
            outcome = later
            records += later.records
        self._next_offset = outcome.end_offset
        return TopicUpdate(_keep_latest(records), True, began_at_s, outcome.end_offset)


def _keep_latest(records: tuple[client.KeyedRecord, ...]) -> tuple[client.KeyedRecord, ...]:
    """Return the record with the highest offset of each key."""
    latest: dict[str, client.KeyedRecord] = {}
    for record in records:
        known = latest.get(record.key)
        if known is None or record.offset >= known.offset:
            latest[record.key] = record
    return tuple(latest.values())
