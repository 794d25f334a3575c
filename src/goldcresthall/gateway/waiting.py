"""Limits on the requests of this instance that wait for capacity at busy servers."""

from __future__ import annotations

import collections
import dataclasses
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType


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


class WaitingPlace:
    """The place of one request among those that wait; leaving the context gives it up."""

    def __init__(self, places: WaitingPlaces) -> None:
        self._places = places
        self._queue: str | None = None

    def __enter__(self) -> WaitingPlace:
        """Return the place, which is in no queue yet."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Leave the queue."""
        self.leave()

    def enter(self, wait: CapacityWait) -> bool:
        """Enter a queue unless it is full; return whether the request is in it."""
        if self._queue == wait.queue:
            return True
        self.leave()
        if self._places.take(wait):
            self._queue = wait.queue
            return True
        return False

    def leave(self) -> None:
        """Leave the queue, if the request is in one."""
        if self._queue is not None:
            self._places.release(self._queue)
            self._queue = None


class WaitingPlaces:
    """Numbers of waiting requests by queue."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()

    def create_place(self) -> WaitingPlace:
        """Return a place for one request."""
        return WaitingPlace(self)

    def take(self, wait: CapacityWait) -> bool:
        """Count one more waiting request if the queue's limit allows it."""
        with self._lock:
            if self._counts[wait.queue] >= wait.max_requests:
                return False
            self._counts[wait.queue] += 1
            return True

    def release(self, queue: str) -> None:
        """Count one waiting request less."""
        with self._lock:
            self._counts[queue] -= 1
            if not self._counts[queue]:
                del self._counts[queue]
