"""Quotas of the front end's threads, so that one service cannot exhaust all of them."""

from __future__ import annotations

import collections
import threading

SPARE_THREADS = 4


class ThreadQuotas:
    """Enforces the thread quota of each service (bulkhead).

    Half of the threads are reserved for the services in equal parts; the other half
    is shared by all of them. `SPARE_THREADS` threads are never assigned, so that a
    thread is always available to refuse a request at once.

    Parameters
    ----------
    thread_count
        Number of threads of the callers' front end.
    """

    def __init__(self, thread_count: int) -> None:
        self._threads = max(1, thread_count - SPARE_THREADS)
        self._lock = threading.Lock()
        self._in_use: collections.Counter[str] = collections.Counter()

    def acquire_thread(self, service: str, services: int) -> bool:
        """Reserve a thread for a service, one of `services`; return whether it got one."""
        reserved = self._threads // (2 * services)
        shared = self._threads - reserved * services
        with self._lock:
            in_use = self._in_use[service]
            if in_use >= reserved:
                shared_in_use = sum(max(0, count - reserved) for count in self._in_use.values())
                if shared_in_use >= shared:
                    return False
            self._in_use[service] = in_use + 1
            return True

    def release_thread(self, service: str) -> None:
        """Release a thread of a service."""
        with self._lock:
            self._in_use[service] -= 1
            if not self._in_use[service]:
                del self._in_use[service]
