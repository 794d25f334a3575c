"""Recent revisions of a list, so that readers get only the changes since their revision."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from goldcresthall.core import row_changes

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REVISIONS = 64

Row = TypeVar("Row")
Key = TypeVar("Key")


class RevisionHistory(Generic[Row, Key]):
    """The latest revisions of a list of rows; changes are computed once per base revision.

    Parameters
    ----------
    find_key
        Returns the key that identifies a row.
    """

    def __init__(self, find_key: Callable[[Row], Key]) -> None:
        self._find_key = find_key
        self._lock = threading.Lock()
        self._revisions: dict[int, tuple[Row, ...]] = {}
        self._latest = row_changes.NO_REVISION
        self._changes: dict[int, row_changes.RowChanges[Row, Key]] = {}

    def find_changes(
        self, revision: int, rows: tuple[Row, ...], base: int
    ) -> row_changes.RowChanges[Row, Key]:
        """Return the changes from revision `base` to `revision`, whose rows are `rows`.

        Returns the full list if `base` is no longer retained.
        """
        with self._lock:
            self._record(revision, rows)
            if revision != self._latest:
                return self._diff(revision, rows, base)
            changes = self._changes.get(base)
            if changes is None:
                changes = self._diff(revision, rows, base)
                self._changes[base] = changes
            return changes

    def _record(self, revision: int, rows: tuple[Row, ...]) -> None:
        if revision <= self._latest:
            return
        self._latest = revision
        self._revisions[revision] = rows
        self._changes = {}
        while len(self._revisions) > MAX_REVISIONS:
            del self._revisions[min(self._revisions)]

    def _diff(
        self, revision: int, rows: tuple[Row, ...], base: int
    ) -> row_changes.RowChanges[Row, Key]:
        earlier = self._revisions.get(base)
        if earlier is None:
            return row_changes.RowChanges(revision, row_changes.NO_REVISION, (), rows)
        before = frozenset(earlier)
        after = frozenset(rows)
        removed = tuple(self._find_key(row) for row in earlier if row not in after)
        added = tuple(row for row in rows if row not in before)
        return row_changes.RowChanges(revision, base, removed, added)
