"""Deadline of a body by its progress: a longest pause, and a minimum rate over a window."""

from __future__ import annotations

import dataclasses
from typing import Final

WINDOW_S: Final = 30.0
# Fifty uploads that share a link of 5 Mbit/s get 12,500 bytes a second each.
MIN_BYTES_PER_S: Final = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressLimits:
    """Limits on the pace of a transfer (seconds; bytes per second).

    Attributes
    ----------
    min_rate
        Bytes per second over each whole window; a transfer that ends within its first window
        may be slower.
    """

    max_pause_s: float
    window_s: float = WINDOW_S
    min_rate: float = MIN_BYTES_PER_S


class Progress:
    """The pace of one transfer.

    Parameters
    ----------
    now_s
        Clock reading in seconds at its start.
    """

    def __init__(self, limits: ProgressLimits, now_s: float) -> None:
        self._limits = limits
        self._window_began_s = now_s
        self._window_bytes = 0
        self._progressed_at_s = now_s

    @property
    def ends_at_s(self) -> float:
        """Clock reading at which the transfer ends unless it progresses before."""
        pause_ends_s = self._progressed_at_s + self._limits.max_pause_s
        if self._window_bytes >= self._limits.min_rate * self._limits.window_s:
            return pause_ends_s
        return min(pause_ends_s, self._window_began_s + self._limits.window_s)

    def add(self, count: int, now_s: float) -> None:
        """Count transferred bytes."""
        if now_s >= self._window_began_s + self._limits.window_s:
            self._window_began_s = now_s
            self._window_bytes = 0
        self._window_bytes += count
        self._progressed_at_s = now_s
