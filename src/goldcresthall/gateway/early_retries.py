"""Early end of attempts whose answer is probably lost, so that a retry can meet the target.

Load condition: a server that is full or cut off never answers. An idempotent request held until
its deadline is late in any case; given up earlier it can still be served by another server.
"""

from __future__ import annotations

import heapq
import itertools
import threading
from typing import TYPE_CHECKING

from goldcresthall.load import work_estimates

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.kernel import clock
    from goldcresthall.kernel import tasks

RECHECK_S = 0.1
MIN_PAUSE_S = 0.02
IDLE_PAUSE_S = 0.5


class AttemptWatch:
    """An attempt in progress.

    Parameters
    ----------
    latest_s
        Clock reading in seconds after which a retry could no longer meet the target.
    should_end
        Whether the server is suspected to have lost the request and a retry can be sent.
    end
        Interrupts the attempt.
    """

    __slots__ = ("_end", "_is_over", "_lock", "is_given_up", "latest_s", "should_end")

    def __init__(
        self, latest_s: float, should_end: Callable[[], bool], end: Callable[[], None]
    ) -> None:
        self.latest_s = latest_s
        self.should_end = should_end
        self.is_given_up = False
        self._end = end
        self._lock = threading.Lock()
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended."""
        return self._is_over

    def finish(self) -> None:
        """Record that the attempt has ended, so that the next one is not interrupted."""
        with self._lock:
            self._is_over = True

    def give_up(self) -> None:
        """Interrupt the attempt unless it has ended."""
        with self._lock:
            if not self._is_over:
                self.is_given_up = True
                self._end()


def find_check_s(began_at_s: float, work_s: float) -> float:
    """Return the clock reading in seconds at which an attempt has taken suspiciously long."""
    return began_at_s + work_estimates.LATE_FACTOR * work_s


def find_latest_s(target_at_s: float, work_s: float) -> float:
    """Return the clock reading in seconds up to which a retry may meet the target."""
    return target_at_s - work_s


class EarlyRetries:
    """Watches attempts from one task and ends those that are probably lost."""

    def __init__(self, monotonic_clock: clock.Clock) -> None:
        self._clock = monotonic_clock
        self._changed = threading.Condition()
        self._serials = itertools.count()
        self._due: list[tuple[float, int, AttemptWatch]] = []

    def add(self, due_s: float, watch: AttemptWatch) -> None:
        """Watch an attempt from a clock reading in seconds on."""
        with self._changed:
            is_first = not self._due or due_s < self._due[0][0]
            heapq.heappush(self._due, (due_s, next(self._serials), watch))
            if is_first:
                self._changed.notify()

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """End lost attempts until asked to stop."""
        while not stop_signal.is_set:
            self.check()
            with self._changed:
                wait_s = IDLE_PAUSE_S
                if self._due:
                    wait_s = min(wait_s, self._due[0][0] - self._clock.read_s())
                self._changed.wait(max(MIN_PAUSE_S, wait_s))

    def check(self) -> None:
        """End the attempts that are due and probably lost; look at the others again later."""
        now_s = self._clock.read_s()
        for watch in self._take_due(now_s):
            if watch.is_over or now_s > watch.latest_s:
                continue
            if watch.should_end():
                watch.give_up()
            else:
                self.add(now_s + RECHECK_S, watch)

    def _take_due(self, now_s: float) -> list[AttemptWatch]:
        taken = []
        with self._changed:
            while self._due and self._due[0][0] <= now_s:
                taken.append(heapq.heappop(self._due)[2])
        return taken
