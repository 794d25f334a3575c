"""Client interface of the store: compacted topics that retain the newest record of each key.

All offsets of this interface are positions, which rise also when the store comes back from a copy
and its own offsets go back.
"""

from __future__ import annotations

import abc
import dataclasses

from goldcresthall.kernel import service


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a compacted topic; its value is `None` if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Result of a successful read.

    Attributes
    ----------
    end_offset
        Offset at which the next read starts.
    is_caught_up
        Whether the topic ended at `end_offset` when it was read. Otherwise the records are
        history: later ones may have replaced them.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int
    is_caught_up: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsExpired:
    """The requested offset is no longer there; the newest records must be read.

    The records after it were compacted, or the store has come back from a copy since.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store gave no usable response; the outcome of a write is unknown."""

    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The record was written at `offset`."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetConflict:
    """Nothing was written, because the topic does not end at the expected offset."""

    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """Nothing was written, and the write will not take effect later."""

    step: str
    detail: str


ReadOutcome = Records | RecordsExpired | StoreFailed
WriteOutcome = Written | OffsetConflict | WriteRefused | StoreFailed


class StoreClient(service.Service):
    """Reads and writes records in the platform's store."""

    @abc.abstractmethod
    def read_newest(self, topic: str) -> Records | StoreFailed:
        """Return the newest record of each key of a topic."""

    @abc.abstractmethod
    def read_changes(
        self, topic: str, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> ReadOutcome:
        """Return the records from an offset on, waiting up to `wait_s` seconds for the first.

        Parameters
        ----------
        timeout_s
            Seconds beyond `wait_s` after which the call fails; `None` for the limit of all calls.
        """

    @abc.abstractmethod
    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> WriteOutcome:
        """Write a record if the topic ends at `expected_end`."""
