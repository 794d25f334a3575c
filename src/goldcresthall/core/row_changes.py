"""Changes between two revisions of a list of rows."""

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
    """Changes that turn one revision of a list into a later one.

    Attributes
    ----------
    revision
        Revision of the list after the changes.
    base
        Revision that the changes apply to; `NO_REVISION` if `added` is the full list.
    removed
        Keys of rows that were removed or changed.
    added
        Rows that were added or changed.
    """

    revision: int
    base: int
    removed: tuple[Key, ...]
    added: tuple[Row, ...]

    @property
    def is_full(self) -> bool:
        """Whether `added` is the full list, so that no earlier revision is needed."""
        return self.base == NO_REVISION


def apply_changes(
    rows: tuple[Row, ...], changes: RowChanges[Row, Key], find_key: Callable[[Row], Key]
) -> tuple[Row, ...]:
    """Return the rows after applying the changes.

    Parameters
    ----------
    rows
        Rows of the base revision; ignored if the changes hold the full list.
    find_key
        Returns the key that identifies a row.
    """
    if changes.is_full:
        return changes.added
    removed = frozenset(changes.removed)
    kept = tuple(row for row in rows if find_key(row) not in removed)
    return kept + changes.added
