"""Memory of recent moves, so that keys do not move again before the effect of a move is known."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import key_ranges

# A moved key is slower for some seconds, and after about as long its new owner's load is known.
# At 2 s, keys moved on and on by the noise of rates and capacities.
SETTLING_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    service: str
    keys: key_ranges.KeyRange
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SettlingKeys:
    """Key ranges of one service that moved within `SETTLING_S`."""

    ranges: tuple[key_ranges.KeyRange, ...] = ()

    def covers(self, keys: key_ranges.KeyRange) -> bool:
        """Return whether at least half of the keys of a range moved."""
        moved = sum(
            max(0, min(keys.last, other.last) - max(keys.first, other.first) + 1)
            for other in self.ranges
        )
        return 2 * moved >= keys.size


NOTHING_SETTLES = SettlingKeys()


class RecentMoves:
    """The moves of the last `SETTLING_S` seconds."""

    def __init__(self) -> None:
        self._moves: tuple[_Move, ...] = ()

    def record(self, service: str, keys: key_ranges.KeyRange, now_s: float) -> None:
        """Record the start of a move."""
        recent = (move for move in self._moves if now_s - move.at_s < SETTLING_S)
        self._moves = (*recent, _Move(service, keys, now_s))

    def find_settling(self, service: str, now_s: float) -> SettlingKeys:
        """Return the keys of a service that moved recently."""
        return SettlingKeys(
            tuple(
                move.keys
                for move in self._moves
                if move.service == service and now_s - move.at_s < SETTLING_S
            )
        )
