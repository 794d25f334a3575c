"""Clock service: one monotonic clock per process."""

from __future__ import annotations

import abc
import time

from goldcresthall.kernel import service


class Clock(service.Service):
    """A monotonic clock; readings are only comparable within one process."""

    @abc.abstractmethod
    def read_s(self) -> float:
        """Return the current reading in seconds."""

    def start(self) -> None:
        """Do nothing; a clock has nothing to start."""

    def stop(self) -> None:
        """Do nothing; a clock has nothing to stop."""


class MonotonicClock(Clock):
    """The operating system's boot-time clock, which also counts while the machine is suspended."""

    def read_s(self) -> float:
        """Return the current reading in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
