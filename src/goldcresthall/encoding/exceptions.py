"""Errors of decoding."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    Attributes
    ----------
    path
        Where it is, as ``$.services[0].name``.
    found
        The offending value as JSON, shortened; empty if a field is missing.
    expected
        What should stand there.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        found = f", found {self.found}" if self.found else ""
        return f"{self.path}: expected {self.expected}{found}"


class EncodingError(Exception):
    """Base of all errors of decoding."""


class DocumentError(EncodingError):
    """A document has faults, all of which are listed."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self._faults = faults

    @property
    def faults(self) -> tuple[Fault, ...]:
        """All faults that were found."""
        return self._faults


class MalformedReason(enum.Enum):
    """What is wrong with an entry of the log."""

    NOT_JSON = "not_json"
    ENVELOPE = "envelope"
    BODY = "body"


class RecordDecodeError(EncodingError):
    """An entry of the log is not a whole record."""

    def __init__(self, reason: MalformedReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self._reason = reason

    @property
    def reason(self) -> MalformedReason:
        """What is wrong with the entry."""
        return self._reason


class UnknownRecordError(EncodingError):
    """An entry of the log is of a type or version this release does not know."""
