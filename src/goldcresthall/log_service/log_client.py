"""Interface of the platform's log service."""

from __future__ import annotations

import abc
import dataclasses

from goldcresthall.kernel import service


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entries are in the log, contiguous from `first_offset`."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The entries are not in the log and never will be."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The entries may or may not be in the log, or may appear later."""

    detail: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """A page of contiguous log entries.

    Attributes
    ----------
    begin_offset
        Offset of the oldest entry that the log retains.
    end_offset
        Offset after the newest entry at the time of the response.
    """

    first_offset: int
    entries: tuple[bytes, ...]
    begin_offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadExpired:
    """The requested offset is no longer retained."""

    begin_offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log service gave no usable response."""

    detail: str


ReadOutcome = LogPage | ReadExpired | ReadFailed


class LogClient(service.Service):
    """Appends to and reads from the platform's log."""

    @abc.abstractmethod
    def append(self, entries: tuple[bytes, ...]) -> AppendOutcome:
        """Append entries contiguously, all or none."""

    @abc.abstractmethod
    def read(self, from_offset: int, limit: int, wait_ms: int) -> ReadOutcome:
        """Read entries from an offset on, waiting up to `wait_ms` for the first one."""
