"""Ranges of keys, their owners, and the table that assigns them."""

from __future__ import annotations

import dataclasses
from typing import Final

from goldcresthall.core import deployment
from goldcresthall.core import identity

FIRST_KEY: Final = 0
LAST_KEY: Final = 65_535
KEY_COUNT: Final = LAST_KEY + 1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Consecutive keys, both ends included."""

    first: int
    last: int

    def __str__(self) -> str:
        """Return both ends."""
        return f"{self.first}-{self.last}"

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def contains(self, key: int) -> bool:
        """Return whether a key lies in the range."""
        return self.first <= key <= self.last


@dataclasses.dataclass(frozen=True, slots=True)
class RangeAssignment:
    """A range that is assigned to one life of a server under a fencing token."""

    service: str
    keys: KeyRange
    owner: deployment.ServerIncarnation
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class LessorIdentity:
    """The instance that grants and renews, and where its peers reach it."""

    incarnation: identity.Incarnation
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTable:
    """Who owns which keys, as it stands in the store.

    Attributes
    ----------
    lessor
        The only instance that may change the table; none after a hand-over.
    predecessors
        Earlier lessors that may still renew what they granted.
    term
        Offset of the record by which the lessor took over.
    revision
        Counts the lessor's changes within its term.
    """

    lessor: LessorIdentity | None = None
    term: int = -1
    revision: int = 0
    predecessors: tuple[LessorIdentity, ...] = ()
    assignments: tuple[RangeAssignment, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """A table and the offset of its record, which is its version."""

    offset: int
    table: OwnershipTable


@dataclasses.dataclass(frozen=True, slots=True)
class RangeStart:
    """Names a range among those of all services by its first key."""

    service: str
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class RangeOwner:
    """Where requests for a range go.

    Attributes
    ----------
    ready
        Whether the owner is known to hold the range now.
    """

    service: str
    keys: KeyRange
    owner: deployment.ServerIncarnation
    ready: bool

    @property
    def start(self) -> RangeStart:
        """What the range is named by."""
        return RangeStart(self.service, self.keys.first)
