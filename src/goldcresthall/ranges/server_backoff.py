"""Servers that failed to take grants, which get no keys for a while."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment

FIRST_PAUSE_S = 5.0
LONGEST_PAUSE_S = 40.0
PAUSE_GROWTH = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    until_s: float
    length_s: float


class ServerBackoff:
    """Each failure of a server doubles the time for which it is avoided."""

    def __init__(self) -> None:
        self._pauses: dict[deployment.ServerIncarnation, _Pause] = {}

    def note_failure(self, incarnation: deployment.ServerIncarnation, now_s: float) -> None:
        """Avoid a server from now on; several ranges that fail together count once."""
        known = self._pauses.get(incarnation)
        if known is None:
            self._pauses[incarnation] = _Pause(now_s + FIRST_PAUSE_S, FIRST_PAUSE_S)
        elif now_s >= known.until_s:
            length_s = min(LONGEST_PAUSE_S, known.length_s * PAUSE_GROWTH)
            self._pauses[incarnation] = _Pause(now_s + length_s, length_s)

    def is_backing_off(self, incarnation: deployment.ServerIncarnation, now_s: float) -> bool:
        """Return whether a server is avoided now."""
        known = self._pauses.get(incarnation)
        return known is not None and now_s < known.until_s
