"""Table of the preset in force at each instance, spread between peers by gossip."""

from __future__ import annotations

import dataclasses
import threading

from goldcresthall.peers import messages

MS_PER_S = 1_000
MAX_ROWS = 2_000
ROW_EXPIRY_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownUptake:
    """The latest report of the preset in force at one instance.

    Attributes
    ----------
    reported_at_s
        Lower bound of the time of the instance's report, by this process's clock.
    revision
        Table revision at which the incarnation or the preset last changed.
    """

    name: str
    incarnation: str
    preset_offset: int
    reported_at_s: float
    revision: int


class UptakeTable:
    """Keeps the latest report of each instance in bounded memory.

    Ages count from the time at which this process sent its request, never from the
    arrival of the response, so that a buffered response makes no instance look alive.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._lock = threading.Lock()
        self._rows: dict[str, KnownUptake] = {}
        self._revision = 0

    @property
    def rows(self) -> tuple[KnownUptake, ...]:
        """Latest rows of all other instances."""
        with self._lock:
            return tuple(self._rows.values())

    def merge(self, row: messages.UptakeRow, requested_at_s: float) -> None:
        """Merge a row from the response to a request sent at a clock reading."""
        reported_at_s = requested_at_s - row.age_ms / MS_PER_S
        if row.name == self._own_name or row.age_ms > ROW_EXPIRY_S * MS_PER_S:
            return
        with self._lock:
            current = self._rows.get(row.name)
            if current is not None and current.reported_at_s >= reported_at_s:
                return
            self._rows[row.name] = self._create_row(row, reported_at_s, current)
            self._expire_rows(requested_at_s)

    def _create_row(
        self, row: messages.UptakeRow, reported_at_s: float, current: KnownUptake | None
    ) -> KnownUptake:
        is_unchanged = current is not None and (current.incarnation, current.preset_offset) == (
            row.incarnation,
            row.preset_offset,
        )
        if current is None or not is_unchanged:
            self._revision += 1
        revision = current.revision if current is not None and is_unchanged else self._revision
        return KnownUptake(row.name, row.incarnation, row.preset_offset, reported_at_s, revision)

    def _expire_rows(self, now_s: float) -> None:
        stale = [
            row.name for row in self._rows.values() if now_s - row.reported_at_s > ROW_EXPIRY_S
        ]
        for name in stale:
            del self._rows[name]
        while len(self._rows) > MAX_ROWS:
            del self._rows[min(self._rows.values(), key=lambda row: row.reported_at_s).name]


class UptakeCursor:
    """Selects the rows sent over one connection, so that each response stays small.

    Rows that changed since the last response go first, then the others in rotation,
    since their ages would otherwise grow at the receiver.
    """

    def __init__(self, table: UptakeTable, limit: int) -> None:
        self._table = table
        self._limit = limit
        self._sent_revision = 0
        self._rotation_index = 0

    def next_rows(self, now_s: float) -> tuple[messages.UptakeRow, ...]:
        """Return up to the limit of rows, with their ages at a clock reading."""
        rows = sorted(self._table.rows, key=lambda row: row.revision)
        changed = [row for row in rows if row.revision > self._sent_revision][: self._limit]
        if changed:
            self._sent_revision = changed[-1].revision
        others = sorted((row for row in rows if row not in changed), key=lambda row: row.name)
        chosen = [*changed, *self._next_in_rotation(others, self._limit - len(changed))]
        return tuple(
            messages.UptakeRow(
                row.name,
                row.incarnation,
                row.preset_offset,
                max(0, int((now_s - row.reported_at_s) * MS_PER_S) + 1),
            )
            for row in chosen
        )

    def _next_in_rotation(self, others: list[KnownUptake], count: int) -> list[KnownUptake]:
        if not others or count <= 0:
            return []
        start = self._rotation_index % len(others)
        selected = (others[start:] + others[:start])[:count]
        self._rotation_index = start + len(selected)
        return selected
