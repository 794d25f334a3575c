"""The table of which instance has which preset in force, passed on from peer to peer."""

from __future__ import annotations

import dataclasses
import threading

from goldcresthall.peers import messages

MS_PER_S = 1_000
ROW_LIMIT = 2_000
ROW_EXPIRY_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownUptake:
    """What is known of one instance.

    Attributes
    ----------
    said_at_s
        Reading of this process's clock before which the instance did not say it.
    revision
        Number of the table's change at which incarnation or preset last changed.
    """

    name: str
    incarnation: str
    preset_offset: int
    reported_at_s: float
    revision: int


class UptakeTable:
    """Keeps each instance's latest word in bounded memory.

    Ages are counted from the moment at which this process asked, never from an
    answer's arrival, so that a buffered answer makes nobody look alive.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._lock = threading.Lock()
        self._rows: dict[str, KnownUptake] = {}
        self._revision = 0

    @property
    def rows(self) -> tuple[KnownUptake, ...]:
        """All that is known of other instances."""
        with self._lock:
            return tuple(self._rows.values())

    def merge(self, row: messages.UptakeRow, asked_at_s: float) -> None:
        """Take over a row from an answer to a question asked at a clock reading."""
        reported_at_s = asked_at_s - row.age_ms / MS_PER_S
        if row.name == self._own_name or row.age_ms > ROW_EXPIRY_S * MS_PER_S:
            return
        with self._lock:
            known = self._rows.get(row.name)
            if known is not None and known.reported_at_s >= reported_at_s:
                return
            self._rows[row.name] = self._create(row, reported_at_s, known)
            self._forget(asked_at_s)

    def _create(
        self, row: messages.UptakeRow, reported_at_s: float, known: KnownUptake | None
    ) -> KnownUptake:
        same = known is not None and (known.incarnation, known.preset_offset) == (
            row.incarnation,
            row.preset_offset,
        )
        if known is None or not same:
            self._revision += 1
        revision = known.revision if known is not None and same else self._revision
        return KnownUptake(row.name, row.incarnation, row.preset_offset, reported_at_s, revision)

    def _forget(self, now_s: float) -> None:
        old = [row.name for row in self._rows.values() if now_s - row.reported_at_s > ROW_EXPIRY_S]
        for name in old:
            del self._rows[name]
        while len(self._rows) > ROW_LIMIT:
            del self._rows[min(self._rows.values(), key=lambda row: row.reported_at_s).name]


class UptakeCursor:
    """Chooses what one connection is told, so that each answer stays small.

    What changed since the last answer goes first, then the others in turn, whose
    ages would otherwise grow at the far end.
    """

    def __init__(self, table: UptakeTable, limit: int) -> None:
        self._table = table
        self._limit = limit
        self._told_revision = 0
        self._turn = 0

    def next_rows(self, now_s: float) -> tuple[messages.UptakeRow, ...]:
        """Return at most the limit of rows, their ages as of a clock reading."""
        rows = sorted(self._table.rows, key=lambda row: row.revision)
        changed = [row for row in rows if row.revision > self._told_revision][: self._limit]
        if changed:
            self._told_revision = changed[-1].revision
        others = sorted((row for row in rows if row not in changed), key=lambda row: row.name)
        chosen = [*changed, *self._take_turn(others, self._limit - len(changed))]
        return tuple(
            messages.UptakeRow(
                row.name,
                row.incarnation,
                row.preset_offset,
                max(0, int((now_s - row.reported_at_s) * MS_PER_S) + 1),
            )
            for row in chosen
        )

    def _take_turn(self, others: list[KnownUptake], count: int) -> list[KnownUptake]:
        if not others or count <= 0:
            return []
        start = self._turn % len(others)
        taken = (others[start:] + others[:start])[:count]
        self._turn = start + len(taken)
        return taken
