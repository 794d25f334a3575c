"""Key ranges, their owners, and the ownership table."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import deployment
from goldcresthall.core import identity

if TYPE_CHECKING:
    import collections.abc

FIRST_KEY: Final = 0
LAST_KEY: Final = 65_535
KEY_COUNT: Final = LAST_KEY + 1
UNREAD_OFFSET: Final = -2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """A range of consecutive keys; both bounds are inclusive."""

    first: int
    last: int

    def __str__(self) -> str:
        """Return ``first-last``."""
        return f"{self.first}-{self.last}"

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def contains(self, key: int) -> bool:
        """Return whether the range contains a key."""
        return self.first <= key <= self.last


def find_gaps(covered: collections.abc.Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return the ranges of keys that none of some disjoint ranges covers."""
    gaps = []
    first = FIRST_KEY
    for keys in sorted(covered):
        if keys.first > first:
            gaps.append(KeyRange(first, keys.first - 1))
        first = max(first, keys.last + 1)
    if first <= LAST_KEY:
        gaps.append(KeyRange(first, LAST_KEY))
    return tuple(gaps)


@dataclasses.dataclass(frozen=True, slots=True)
class RangeAssignment:
    """A range assigned to an incarnation of a server under a fencing token."""

    service: str
    keys: KeyRange
    owner: deployment.ServerIncarnation
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class LessorIdentity:
    """Incarnation of an instance that is or may become the lessor, and its peer address."""

    incarnation: identity.Incarnation
    address: identity.Address


# Stands for the server that may hold a range, and for the lessor that may have granted it, after
# the store has lost their records. Nothing can be sent to either.
UNKNOWN_SERVER: Final = deployment.ServerIncarnation("unknown", 0)
UNKNOWN_LESSOR: Final = LessorIdentity(
    identity.Incarnation("unknown", ""), identity.Address("0.0.0.0", 0)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTable:
    """Ownership of all key ranges, as stored.

    Attributes
    ----------
    lessor
        The only instance that may change the table; `None` after a handover.
    term
        Position in the store of the record with which the lessor took over.
    revision
        Number of changes of the owners within the term.
    predecessors
        Earlier lessors that may still renew leases that they granted.
    assignments
        The ranges that have an owner. It is `UNKNOWN_SERVER` where one may hold the range by a
        grant of which the store has lost the record.
    """

    lessor: LessorIdentity | None = None
    term: int = -1
    revision: int = 0
    predecessors: tuple[LessorIdentity, ...] = ()
    assignments: tuple[RangeAssignment, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """An ownership table and the position of its record, which serves as its version.

    Attributes
    ----------
    offset
        `UNREAD_OFFSET` for a table of which only the lessor is known.
    """

    offset: int
    table: OwnershipTable

    @property
    def is_read(self) -> bool:
        """Whether the table was read from the store."""
        return self.offset != UNREAD_OFFSET


@dataclasses.dataclass(frozen=True, slots=True)
class RangeStart:
    """Identifies a range among those of all services by its first key."""

    service: str
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class RangeOwner:
    """The owner to which requests for a range are sent.

    Attributes
    ----------
    ready
        Whether requests for the range may be sent to the owner.
    """

    service: str
    keys: KeyRange
    owner: deployment.ServerIncarnation
    ready: bool

    @property
    def start(self) -> RangeStart:
        """Identifier of the range."""
        return RangeStart(self.service, self.keys.first)
