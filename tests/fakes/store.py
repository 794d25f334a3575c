"""An in-memory store with injectable failures."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.store import client
from goldcresthall.store import positions

if TYPE_CHECKING:
    from collections.abc import Callable


class SharedRecords:
    """Records of one topic, shared by all instances."""

    def __init__(self) -> None:
        self.records: list[client.KeyedRecord] = []
        self.era = 0
        self._copy: list[client.KeyedRecord] = []

    @property
    def end(self) -> int:
        """Position of the next record."""
        return positions.create(self.era, len(self.records))

    def copy(self) -> None:
        """Copy all records."""
        self._copy = list(self.records)

    def restore(self) -> None:
        """Come back from the last copy; without one, nothing is left."""
        self.era += 1
        self.records = [
            dataclasses.replace(record, offset=positions.create(self.era, offset))
            for offset, record in enumerate(self._copy)
        ]

    def append(self, key: str, value: bytes, expected_offset: int) -> client.WriteOutcome:
        """Append a record if there are as many as expected."""
        if len(self.records) != expected_offset:
            return client.OffsetConflict(self.end)
        self.records.append(client.KeyedRecord(key, value, self.end))
        return client.Written(self.records[-1].offset)


@dataclasses.dataclass(frozen=True, slots=True)
class LateWrite:
    """A write that gets no response and is executed later."""

    key: str
    value: bytes
    expected_offset: int


class FakeStore(client.StoreClient):
    """Store client of one instance, on the shared records.

    Attributes
    ----------
    is_down
        Whether calls fail without any effect.
    drops_responses
        Whether writes take effect but their responses are lost.
    delays_writes
        Whether writes get no response and take effect when they are delivered.
    before_response
        Called before a successful write returns.
    """

    def __init__(self, shared: SharedRecords) -> None:
        self._shared = shared
        self.is_down = False
        self.drops_responses = False
        self.delays_writes = False
        self.late_writes: list[LateWrite] = []
        self.before_response: Callable[[], None] = lambda: None
        self._known_era = 0

    def deliver_writes(self) -> None:
        """Execute the delayed writes whose condition still holds."""
        late_writes, self.late_writes = self.late_writes, []
        for late in late_writes:
            self._shared.append(late.key, late.value, late.expected_offset)

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def read_newest(self, topic: str) -> client.Records | client.StoreFailed:
        """Return the newest record of each key."""
        if self.is_down:
            return client.StoreFailed("connect", "down")
        self._known_era = self._shared.era
        newest = {record.key: record for record in self._shared.records}
        return client.Records(tuple(newest.values()), self._shared.end)

    def read_changes(
        self, topic: str, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> client.ReadOutcome:
        """Return the records from an offset on without waiting."""
        if self.is_down:
            return client.StoreFailed("connect", "down")
        self._known_era = self._shared.era
        first = positions.find_offset(from_offset)
        if positions.find_era(from_offset) != self._known_era or first > len(self._shared.records):
            return client.RecordsExpired()
        return client.Records(tuple(self._shared.records[first:]), self._shared.end)

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Write a record if the topic ends at `expected_end`."""
        if self.is_down:
            return client.StoreFailed("connect", "down")
        if positions.find_era(expected_end) < self._known_era:
            return client.OffsetConflict(self._shared.end)
        if self.delays_writes:
            expected_offset = positions.find_offset(expected_end)
            self.late_writes.append(LateWrite(key, value, expected_offset))
            return client.StoreFailed("receive", "timed out")
        outcome = self._shared.append(key, value, positions.find_offset(expected_end))
        if self.drops_responses:
            return client.StoreFailed("receive", "the response was lost")
        self._known_era = self._shared.era
        if isinstance(outcome, client.Written) and outcome.offset != expected_end:
            return client.StoreFailed("write", "written in another era")
        self.before_response()
        return outcome
