"""Failures of the process's tasks, for metrics and readiness."""

from __future__ import annotations

import collections
import threading
import time
from typing import Final

FAILING_FOR_S = 5.0
MIN_REPEATED_FAILURES = 2


class TaskHealth:
    """Counts the tasks that ended by an exception and knows which ones keep failing."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._failed_at_s: dict[str, tuple[float, ...]] = {}

    def record_failure(self, name: str) -> None:
        """Record that a task ended by an exception."""
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        with self._lock:
            self._counts[name] += 1
            recent = (*self._failed_at_s.get(name, ()), now_s)
            self._failed_at_s[name] = recent[-MIN_REPEATED_FAILURES:]

    @property
    def counts(self) -> dict[str, int]:
        """Number of failures by task name."""
        with self._lock:
            return dict(self._counts)

    @property
    def failing(self) -> tuple[str, ...]:
        """Names of the tasks that failed repeatedly within `FAILING_FOR_S`."""
        since_s = time.clock_gettime(time.CLOCK_BOOTTIME) - FAILING_FOR_S
        with self._lock:
            return tuple(
                name
                for name, times_s in self._failed_at_s.items()
                if sum(at_s >= since_s for at_s in times_s) >= MIN_REPEATED_FAILURES
            )


HEALTH: Final = TaskHealth()
