"""A clock controlled by tests."""

from __future__ import annotations

from goldcresthall.kernel import clock


class ManualClock(clock.Clock):
    """A clock that advances only by calls of `advance`."""

    def __init__(self, now_s: float = 1_000.0) -> None:
        self._now_s = now_s

    def read_s(self) -> float:
        """Return the current reading in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self._now_s += seconds
