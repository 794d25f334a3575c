"""What becomes of a record that is handed to the log, and how recent the state is."""

from __future__ import annotations

import dataclasses

from goldcresthall.replication import replay


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAccepted:
    """The record was read back and replay accepted it."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRejected:
    """The record was read back and replay rejected it."""

    reason: replay.RejectionReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFailed:
    """The record does not stand in the log and never will."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitUnknown:
    """Nobody can say yet whether the record stands in the log."""

    detail: str


CommitOutcome = CommitAccepted | CommitRejected | CommitFailed | CommitUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """How recent the state is.

    Attributes
    ----------
    read_began_at_s
        Clock reading at the start of the last read that found nothing newer than
        what is replayed; minus infinity before the first.
    """

    read_began_at_s: float
