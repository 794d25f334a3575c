"""Lists of rows, and what changed in one since an earlier revision of it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

NO_REVISION: Final = -1

Row = TypeVar("Row")
Key = TypeVar("Key")


@dataclasses.dataclass(frozen=True, slots=True)
class RowChanges(Generic[Row, Key]):
    """What makes a list of one revision out of an earlier one.

    Attributes
    ----------
    revision
        Revision of the list once the changes are made.
    base
        Revision that the changes apply to; `NO_REVISION` if `added` is the whole list.
    removed
        Keys of rows that are gone or changed.
    added
        Rows that are new or changed.
    """

    revision: int
    base: int
    removed: tuple[Key, ...]
    added: tuple[Row, ...]

    @property
    def is_full(self) -> bool:
        """Whether the list follows from the changes alone."""
        return self.base == NO_REVISION


def apply_changes(
    rows: tuple[Row, ...], changes: RowChanges[Row, Key], find_key: Callable[[Row], Key]
) -> tuple[Row, ...]:
    """Return the rows after the changes."""
    if changes.is_full:
        return changes.added
    removed = frozenset(changes.removed)
    kept = tuple(row for row in rows if find_key(row) not in removed)
    return kept + changes.added
