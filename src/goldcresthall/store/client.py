"""Interface of the store: topics whose newest record of each key is kept."""

from __future__ import annotations

import abc
import dataclasses

from goldcresthall.kernel import service


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The value of a key; none if the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Records that were read.

    Attributes
    ----------
    end_offset
        Offset from which to read on.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsExpired:
    """Records since the offset asked for are gone; the newest ones must be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store gave no usable answer; for a write, its fate is unknown."""

    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The record stands at an offset."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class OffsetConflict:
    """Nothing was written: the topic does not end at the offset expected."""

    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """Nothing was written and nothing will be."""

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
    def read_changes(self, topic: str, from_offset: int, wait_s: float) -> ReadOutcome:
        """Return the records from an offset on, waiting up to `wait_s` seconds for one."""

    @abc.abstractmethod
    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> WriteOutcome:
        """Write a record if the topic ends at `expected_end`."""
