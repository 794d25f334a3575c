"""Outcomes of committing a record to the log, and the freshness of the state."""

from __future__ import annotations

import dataclasses

from goldcresthall.replication import replay


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAccepted:
    """The record was read back from the log and accepted by replay."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRejected:
    """The record was read back from the log and rejected by replay."""

    reason: replay.RejectionReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFailed:
    """The record is not in the log and will never be appended."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitUnknown:
    """The record may or may not be in the log, or may be appended later."""

    detail: str


CommitOutcome = CommitAccepted | CommitRejected | CommitFailed | CommitUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """Freshness of the replicated state.

    Attributes
    ----------
    read_began_at_s
        Clock reading at the start of the last read that reached the end of the log
        with all entries replayed; minus infinity before the first such read.
    """

    read_began_at_s: float
