"""The platform's log service as the rest of the code sees it."""

from __future__ import annotations

import abc
import dataclasses

from goldcresthall.kernel import service


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The entries stand in the log, contiguous from `first_offset`."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The entries do not stand in the log and never will."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The entries may or may not stand in the log, or may appear later."""

    detail: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Contiguous entries that were read.

    Attributes
    ----------
    begin_offset
        Offset of the oldest entry that the log still keeps.
    end_offset
        Offset after the newest entry when the log answered.
    """

    first_offset: int
    entries: tuple[bytes, ...]
    begin_offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadExpired:
    """The offset asked for is no longer kept."""

    begin_offset: int
    end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log gave no usable answer."""

    detail: str


ReadOutcome = LogPage | ReadExpired | ReadFailed


class LogClient(service.Service):
    """Appends to and reads from the platform's log."""

    @abc.abstractmethod
    def append(self, entries: tuple[bytes, ...]) -> AppendOutcome:
        """Append entries contiguously, all or none."""

    @abc.abstractmethod
    def read(self, from_offset: int, limit: int, wait_ms: int) -> ReadOutcome:
        """Read entries from an offset on, waiting up to `wait_ms` for a first one."""
