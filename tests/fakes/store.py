"""An in-memory store with injectable failures."""

from __future__ import annotations

from goldcresthall.store import client


class SharedRecords:
    """Records of one topic, shared by all instances."""

    def __init__(self) -> None:
        self.records: list[client.KeyedRecord] = []


class FakeStore(client.StoreClient):
    """Store client of one instance, on the shared records.

    Attributes
    ----------
    is_down
        Whether calls fail without any effect.
    drops_responses
        Whether writes take effect but their responses are lost.
    """

    def __init__(self, shared: SharedRecords) -> None:
        self._shared = shared
        self.is_down = False
        self.drops_responses = False

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def read_newest(self, topic: str) -> client.Records | client.StoreFailed:
        """Return the newest record of each key."""
        if self.is_down:
            return client.StoreFailed("connect", "down")
        newest = {record.key: record for record in self._shared.records}
        return client.Records(tuple(newest.values()), len(self._shared.records))

    def read_changes(
        self, topic: str, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> client.ReadOutcome:
        """Return the records from an offset on without waiting."""
        if self.is_down:
            return client.StoreFailed("connect", "down")
        return client.Records(tuple(self._shared.records[from_offset:]), len(self._shared.records))

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Write a record if the topic ends at `expected_end`."""
        if self.is_down:
            return client.StoreFailed("connect", "down")
        offset = len(self._shared.records)
        if offset != expected_end:
            return client.OffsetConflict(offset)
        self._shared.records.append(client.KeyedRecord(key, value, offset))
        if self.drops_responses:
            return client.StoreFailed("receive", "the response was lost")
        return client.Written(offset)
