"""Messages of the lease protocol between a lessor and a server."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStamp:
    """A reading of the server's own monotonic clock, echoed by a renewal.

    Attributes
    ----------
    incarnation
        Life of the server process; a stamp of an earlier life counts for nothing.
    reading_s
        Clock reading in seconds; the lease runs from here.
    """

    incarnation: str
    reading_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Ownership of one partition under an epoch."""

    service: str
    partition: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GrantVersion:
    """Order of the grant tables of one server."""

    offset: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantTable:
    """All grants of one server as of an offset of the log.

    Attributes
    ----------
    revision
        Counts the tables that one lessor made at one offset, as it withholds grants
        ahead of a planned move; a server refuses a table older than its own.
    """

    offset: int
    grants: tuple[Grant, ...]
    revision: int = 0

    @property
    def version(self) -> GrantVersion:
        """What tells this table from all others of the server."""
        return GrantVersion(self.offset, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A lessor's request that a server's lease runs on.

    Attributes
    ----------
    table
        The server's grants; none if the server has them already.
    """

    lessor_epoch: int
    stamp: ServerStamp
    duration_ms: int
    table: GrantTable | None


class RenewalStatus(enum.Enum):
    """What a server did with a renewal, or that it was only asked for its lease."""

    REPORTED = "reported"
    RENEWED = "renewed"
    FENCED = "fenced"
    STAMP_REFUSED = "stamp_refused"
    GRANTS_REFUSED = "grants_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReport:
    """A server's answer: its lease as it stands after the request.

    Attributes
    ----------
    remaining_ms
        Milliseconds that the lease has left by the server's clock; zero if lapsed.
    grants_offset
        Offset of the grant table that the server holds.
    grants_revision
        Revision of that table.
    finishing
        Requests still running under grants that the table no longer has.
    """

    status: RenewalStatus
    stamp: ServerStamp
    lessor_epoch: int
    remaining_ms: float
    grants_offset: int
    grants_revision: int = 0
    finishing: int = 0

    @property
    def grant_version(self) -> GrantVersion:
        """Version of the grant table that the server holds."""
        return GrantVersion(self.grants_offset, self.grants_revision)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUnanswered:
    """The server gave no usable answer."""

    server: str
    detail: str


LeaseOutcome = LeaseReport | LeaseUnanswered
