"""A clock that tests set."""

from __future__ import annotations

from goldcresthall.kernel import clock


class ManualClock(clock.Clock):
    """Stands still until a test advances it."""

    def __init__(self, now_s: float = 1_000.0) -> None:
        self._now_s = now_s

    def read_s(self) -> float:
        """Return the reading the test has set, in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock on."""
        self._now_s += seconds
