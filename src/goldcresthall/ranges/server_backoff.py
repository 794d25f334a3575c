"""Exponential backoff for servers that failed to acknowledge grants."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment

INITIAL_BACKOFF_S = 5.0
MAX_BACKOFF_S = 40.0
BACKOFF_FACTOR = 2.0
RECOVERY_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Backoff:
    until_s: float
    length_s: float


class ServerBackoff:
    """Excludes failing servers from placement; each further failure doubles the backoff.

    A server without a failure for `RECOVERY_S` after its backoff counts as recovered.
    """

    def __init__(self) -> None:
        self._backoffs: dict[deployment.ServerIncarnation, _Backoff] = {}

    def record_failure(self, incarnation: deployment.ServerIncarnation, now_s: float) -> None:
        """Start or extend a server's backoff; failures during a backoff are not counted again.

        Several ranges of one server usually fail together.
        """
        backoff = self._backoffs.get(incarnation)
        if backoff is None or now_s >= backoff.until_s + RECOVERY_S:
            self._backoffs[incarnation] = _Backoff(now_s + INITIAL_BACKOFF_S, INITIAL_BACKOFF_S)
        elif now_s >= backoff.until_s:
            length_s = min(MAX_BACKOFF_S, backoff.length_s * BACKOFF_FACTOR)
            self._backoffs[incarnation] = _Backoff(now_s + length_s, length_s)

    def is_backing_off(self, incarnation: deployment.ServerIncarnation, now_s: float) -> bool:
        """Return whether a server is excluded from placement at `now_s`."""
        backoff = self._backoffs.get(incarnation)
        return backoff is not None and now_s < backoff.until_s
