"""The front's threads, shared out so that one service cannot hold those of the others."""

from __future__ import annotations

import collections
import threading

SPARE_THREADS = 4


class ThreadQuotas:
    """Counts the threads that each service holds.

    Half of the threads are reserved in equal parts for the services; the other
    half is for whoever needs it. A few stay free, so that there is always one
    that can refuse at once.

    Parameters
    ----------
    threads
        Threads of the callers' front end.
    """

    def __init__(self, thread_count: int) -> None:
        self._threads = max(1, thread_count - SPARE_THREADS)
        self._lock = threading.Lock()
        self._held: collections.Counter[str] = collections.Counter()

    def acquire_thread(self, service: str, services: int) -> bool:
        """Take a thread for a request of one of so many services; return whether it may."""
        reserved = self._threads // (2 * services)
        common = self._threads - reserved * services
        with self._lock:
            held = self._held[service]
            if held >= reserved:
                over = sum(max(0, count - reserved) for count in self._held.values())
                if over >= common:
                    return False
            self._held[service] = held + 1
            return True

    def release_thread(self, service: str) -> None:
        """Give a thread back."""
        with self._lock:
            self._held[service] -= 1
            if not self._held[service]:
                del self._held[service]
