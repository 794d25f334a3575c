"""Queues of this instance's requests that wait for capacity at busy servers.

Load condition: all usable servers are at their limit of requests. A freed place goes to the most
urgent request that can still meet its target; waking all of them cost processor time and let the
fastest thread take the place.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

    from goldcresthall.kernel import clock

# The request that waits longest is passed over this often by more urgent ones that came later.
MAX_PASSED_OVER = 3
# Among the places of a full queue, this fraction can't be taken from less urgent requests.
PROTECTED_FRACTION = 0.25
BUCKET_COUNT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityWait:
    """What a request may wait for when all usable servers are at their limit.

    Attributes
    ----------
    queue
        Name of the server or service whose capacity it waits for.
    max_requests
        Number of this instance's requests that may wait there and still meet their targets.
    service_time_s
        Expected seconds from the end of the wait to the response.
    """

    queue: str
    max_requests: int
    service_time_s: float


class WaitEnd(enum.Enum):
    """How a wait for capacity ended."""

    TURN = "look for capacity again"
    DISPLACED = "a more urgent request took the place in the queue"


class _Waiter:
    """One request in a queue.

    Attributes
    ----------
    latest_s
        Clock reading in seconds after which it can no longer meet its target.
    has_turn
        Whether it was woken for a free place and has not looked for it yet.
    """

    def __init__(self, lock: threading.Lock, priority: int, serial: int, latest_s: float) -> None:
        self.woken = threading.Condition(lock)
        self.priority = priority
        self.serial = serial
        self.latest_s = latest_s
        self.has_turn = False
        self.is_displaced = False

    @property
    def rank(self) -> tuple[int, int]:
        """Order among the waiters: by priority, then by arrival."""
        return (self.priority, self.serial)


@dataclasses.dataclass(slots=True)
class _Queue:
    waiters: list[_Waiter] = dataclasses.field(default_factory=list)
    passed_over: int = 0

    def choose_next(self, now_s: float) -> _Waiter | None:
        """Return the waiter that gets a free place; `None` if there is none."""
        in_time = [
            waiter for waiter in self.waiters if not waiter.has_turn and waiter.latest_s > now_s
        ]
        if not in_time:
            return None
        earliest = min(in_time, key=lambda waiter: waiter.serial)
        first = min(in_time, key=lambda waiter: waiter.rank)
        if first is earliest or self.passed_over >= MAX_PASSED_OVER:
            self.passed_over = 0
            return earliest
        self.passed_over += 1
        return first

    def find_displaceable(self, priority: int, max_requests: int) -> _Waiter | None:
        """Return the waiter whose place a request of a priority may take; `None` if none."""
        less_urgent = [
            waiter for waiter in self.waiters if waiter.priority > priority and not waiter.has_turn
        ]
        if len(less_urgent) <= PROTECTED_FRACTION * max_requests:
            return None
        return max(less_urgent, key=lambda waiter: waiter.rank)


class QueueEntry:
    """One request, which may enter a queue; leaving the context leaves the queue."""

    def __init__(self, queues: CapacityQueues, priority: int, target_at_s: float) -> None:
        self._capacity_queues = queues
        self._priority = priority
        self._target_at_s = target_at_s
        self._serial = next(queues.serials)
        self._freed_before = 0
        self._queue: str | None = None
        self._waiter: _Waiter | None = None

    def __enter__(self) -> QueueEntry:
        """Return the entry, which is in no queue yet."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Leave the queue."""
        self.leave()

    def record_freed_count(self) -> None:
        """Record how many places became free so far; call it before looking for capacity."""
        self._freed_before = self._capacity_queues.freed_count

    def may_proceed(self, queue: str) -> bool:
        """Return whether a request that found capacity may take it.

        A new request may not pass those that wait in the queue, unless it is more urgent. The
        first of them is woken instead.
        """
        if self._queue == queue:
            return True
        return self._capacity_queues.has_none_ahead(queue, self._priority)

    def enter(self, wait: CapacityWait) -> bool:
        """Enter a queue unless it is full; return whether the request is in it."""
        if self._queue == wait.queue:
            return True
        self.leave()
        waiter = _Waiter(
            self._capacity_queues.lock,
            self._priority,
            self._serial,
            self._target_at_s - wait.service_time_s,
        )
        if self._capacity_queues.add(wait, waiter, self._freed_before):
            self._queue, self._waiter = wait.queue, waiter
            return True
        return False

    def await_turn(self, recheck_s: float, remaining_s: float) -> WaitEnd:
        """Wait for a free place.

        Parameters
        ----------
        recheck_s
            Seconds after which the first in the queue looks for capacity in any case, because
            not every change of a server's load is seen here.
        remaining_s
            Seconds until the wait is useless.
        """
        if self._queue is None or self._waiter is None:
            return WaitEnd.TURN
        return self._capacity_queues.await_turn(self._queue, self._waiter, recheck_s, remaining_s)

    def leave(self) -> None:
        """Leave the queue, if the request is in one, and wake the next one there."""
        if self._queue is not None and self._waiter is not None:
            self._capacity_queues.remove(self._queue, self._waiter)
        self._queue = self._waiter = None


class CapacityQueues:
    """The requests that wait, by queue.

    Each place that becomes free wakes one request. A woken request that finds capacity leaves its
    queue and thereby wakes the next one, and so does one that gives up; so no free place is lost.
    """

    def __init__(self, monotonic_clock: clock.Clock) -> None:
        self._clock = monotonic_clock
        self.lock = threading.Lock()
        self.serials = itertools.count()
        self._queues: dict[str, _Queue] = {}
        self._freed_count = 0
        self._freed_at = [0] * BUCKET_COUNT

    @property
    def freed_count(self) -> int:
        """Number of places that became free so far."""
        return self._freed_count

    @property
    def is_idle(self) -> bool:
        """Whether no request waits."""
        return not self._queues

    def create_entry(self, priority: int, target_at_s: float) -> QueueEntry:
        """Return the entry of one request, which is in no queue yet.

        Parameters
        ----------
        priority
            0 is the most urgent.
        target_at_s
            Clock reading in seconds of the request's latency target.
        """
        return QueueEntry(self, priority, target_at_s)

    def notify_freed(self, *queues: str) -> None:
        """Wake one request of each queue, because a place that it may wait for became free."""
        with self.lock:
            self._freed_count += 1
            for queue in queues:
                self._freed_at[hash(queue) % BUCKET_COUNT] = self._freed_count
                self._wake_next(queue)

    def has_none_ahead(self, queue: str, priority: int) -> bool:
        """Return whether no request waits that goes before a new one; else wake the first."""
        if queue not in self._queues:
            return True
        with self.lock:
            waiting = self._queues.get(queue)
            if waiting is None:
                return True
            if all(waiter.priority > priority for waiter in waiting.waiters):
                if not any(waiter.has_turn for waiter in waiting.waiters):
                    return True
                # The place may be the one that a slow thread was woken for.
                if waiting.passed_over < MAX_PASSED_OVER:
                    waiting.passed_over += 1
                    return True
            if not any(waiter.has_turn for waiter in waiting.waiters):
                self._wake_next(queue)
            return False

    def add(self, wait: CapacityWait, waiter: _Waiter, freed_before: int) -> bool:
        """Add a waiter if the queue's limit allows it or a less urgent one can be displaced.

        Parameters
        ----------
        freed_before
            Number of places freed before the waiter looked for capacity. It looks again at once
            if one of its queue became free since.
        """
        with self.lock:
            queue = self._queues.get(wait.queue) or _Queue()
            if len(queue.waiters) >= wait.max_requests:
                displaced = queue.find_displaceable(waiter.priority, wait.max_requests)
                if displaced is None:
                    return False
                queue.waiters.remove(displaced)
                displaced.is_displaced = True
                displaced.woken.notify()
            waiter.has_turn = self._freed_at[hash(wait.queue) % BUCKET_COUNT] > freed_before
            queue.waiters.append(waiter)
            self._queues[wait.queue] = queue
            return True

    def await_turn(
        self, queue: str, waiter: _Waiter, recheck_s: float, remaining_s: float
    ) -> WaitEnd:
        """Wait until a waiter is woken, is displaced, or its time is over."""
        with self.lock:
            if not waiter.has_turn and not waiter.is_displaced:
                waiting = self._queues[queue].waiters
                is_first = waiter is min(waiting, key=lambda other: other.rank)
                waiter.woken.wait(min(recheck_s, remaining_s) if is_first else remaining_s)
            waiter.has_turn = False
            return WaitEnd.DISPLACED if waiter.is_displaced else WaitEnd.TURN

    def remove(self, queue: str, waiter: _Waiter) -> None:
        """Remove a waiter and wake the next one, and the one that is now to recheck."""
        with self.lock:
            waiting = self._queues.get(queue)
            if waiting is None or waiter.is_displaced:
                return
            waiting.waiters.remove(waiter)
            if waiting.waiters:
                self._wake_next(queue)
                # Only the first by rank rechecks, and it may have begun to wait as a later one.
                min(waiting.waiters, key=lambda other: other.rank).woken.notify()
            else:
                del self._queues[queue]

    def _wake_next(self, queue: str) -> None:
        waiting = self._queues.get(queue)
        waiter = waiting.choose_next(self._clock.read_s()) if waiting is not None else None
        if waiter is not None:
            waiter.has_turn = True
            waiter.woken.notify()
