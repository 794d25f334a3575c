"""The clock service: one clock for each process that never goes back."""

from __future__ import annotations

import abc
import time

from goldcresthall.kernel import service


class Clock(service.Service):
    """A monotonic clock; its readings mean nothing to another process."""

    @abc.abstractmethod
    def read_s(self) -> float:
        """Return the present reading in seconds."""

    def start(self) -> None:
        """Do nothing; a clock needs no start."""

    def stop(self) -> None:
        """Do nothing; a clock needs no stop."""


class MonotonicClock(Clock):
    """The operating system's monotonic clock, which also counts while it is suspended."""

    def read_s(self) -> float:
        """Return the present reading in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
