"""Messages of the lease protocol between a lessor and a backend server."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStamp:
    """A reading of the server's monotonic clock, echoed by a renewal.

    Attributes
    ----------
    incarnation
        Incarnation of the server process; a stamp of an earlier incarnation is invalid.
    reading_s
        Clock reading in seconds, at which the lease period starts.
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
    """Version by which the grant tables of one server are ordered."""

    offset: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantTable:
    """All grants of one server as of an offset of the log.

    Attributes
    ----------
    revision
        Counts the tables that one lessor created at one offset, as it withholds grants
        before a planned move; a server rejects a table older than its own.
    """

    offset: int
    grants: tuple[Grant, ...]
    revision: int = 0

    @property
    def version(self) -> GrantVersion:
        """Version that identifies this table among those of the server."""
        return GrantVersion(self.offset, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """A lessor's request to renew a server's lease.

    Attributes
    ----------
    table
        The server's grants; `None` if the server already holds them.
    """

    lessor_epoch: int
    stamp: ServerStamp
    duration_ms: int
    table: GrantTable | None


class RenewalStatus(enum.Enum):
    """A server's result of a renewal; `REPORTED` if only the lease was queried."""

    REPORTED = "reported"
    RENEWED = "renewed"
    FENCED = "fenced"
    STAMP_REFUSED = "stamp_refused"
    GRANTS_REFUSED = "grants_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReport:
    """A server's response: its lease after the request.

    Attributes
    ----------
    remaining_ms
        Remaining milliseconds of the lease by the server's clock; 0 if expired.
    grants_offset
        Offset of the grant table that the server holds.
    grants_revision
        Revision of that table.
    finishing
        Number of requests still running under grants that the table no longer contains.
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
    """The server gave no usable response."""

    server: str
    detail: str


LeaseOutcome = LeaseReport | LeaseUnanswered
