"""An in-memory log service with fault injection."""

from __future__ import annotations

import threading

from goldcresthall.log_service import log_client

MS_PER_S = 1_000


class InMemoryLog(log_client.LogClient):
    """Keeps entries in memory; reads block like the long polls of the platform's log.

    Attributes
    ----------
    is_down
        Whether appends and reads fail.
    lost_answers
        Number of further appends that take effect but whose response is lost.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._entries: list[bytes] = []
        self._begin_offset = 0
        self.is_down = False
        self.lost_answers = 0

    @property
    def entries(self) -> tuple[bytes, ...]:
        """Entries that have not expired."""
        with self._changed:
            return tuple(self._entries)

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def expire_before(self, offset: int) -> None:
        """Expire the entries below an offset."""
        with self._changed:
            del self._entries[: max(0, offset - self._begin_offset)]
            self._begin_offset = max(self._begin_offset, offset)

    def append(self, entries: tuple[bytes, ...]) -> log_client.AppendOutcome:
        """Append entries, unless the log is down."""
        with self._changed:
            if self.is_down:
                return log_client.AppendRefused("down")
            first_offset = self._begin_offset + len(self._entries)
            self._entries.extend(entries)
            self._changed.notify_all()
            if self.lost_answers:
                self.lost_answers -= 1
                return log_client.AppendUnknown("append response lost")
            return log_client.Appended(first_offset)

    def read(self, from_offset: int, limit: int, wait_ms: int) -> log_client.ReadOutcome:
        """Return entries from an offset on; wait up to `wait_ms` for the first one."""
        with self._changed:
            self._changed.wait_for(
                lambda: self.is_down or self._end_offset > from_offset, wait_ms / MS_PER_S
            )
            if self.is_down:
                return log_client.ReadFailed("down")
            if from_offset < self._begin_offset:
                return log_client.ReadExpired(self._begin_offset, self._end_offset)
            start = from_offset - self._begin_offset
            entries = tuple(self._entries[start : start + limit])
            return log_client.LogPage(from_offset, entries, self._begin_offset, self._end_offset)

    @property
    def _end_offset(self) -> int:
        return self._begin_offset + len(self._entries)
