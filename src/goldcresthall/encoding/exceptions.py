"""Errors of decoding, and the faults that they list."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a document.

    Attributes
    ----------
    path
        JSON path of the value, such as ``$.services[0].name``.
    found
        The invalid value as text, truncated if long; empty if the field is missing.
    expected
        Description of a valid value.
    """

    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        found = f", found {self.found}" if self.found else ""
        return f"{self.path}: expected {self.expected}{found}"


class EncodingError(Exception):
    """Base class of all decoding errors."""


class DocumentError(EncodingError):
    """A document has one or more faults."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self._faults = faults

    @property
    def faults(self) -> tuple[Fault, ...]:
        """All faults in the document."""
        return self._faults


class MalformedReason(enum.Enum):
    """Why a log entry is malformed."""

    NOT_JSON = "not_json"
    ENVELOPE = "envelope"
    BODY = "body"


class RecordDecodeError(EncodingError):
    """A log entry is not a complete record."""

    def __init__(self, reason: MalformedReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self._reason = reason

    @property
    def reason(self) -> MalformedReason:
        """Why the entry is malformed."""
        return self._reason


class UnknownRecordError(EncodingError):
    """A log entry has a record type or version that this release does not support."""
