"""Most frequent keys in bounded memory with the Space-Saving algorithm.

Source: Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and
top-k elements in data streams", ICDT 2005. A new key replaces the monitored key with
the lowest count and inherits that count as its error.
"""

from __future__ import annotations

import dataclasses
import heapq

NEGLIGIBLE_COUNT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class MonitoredKey:
    """A key with its estimated count; the true count is at least `count - error`."""

    key: str
    count: float
    error: float


class SpaceSaving:
    """Monitors at most `capacity` keys, independent of the number of distinct keys."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    @property
    def size(self) -> int:
        """Number of monitored keys."""
        return len(self._counts)

    def count(self, key: str) -> None:
        """Count one occurrence of a key."""
        current = self._counts.get(key)
        if current is not None:
            self._counts[key] = current + 1.0
        elif len(self._counts) < self._capacity:
            self._monitor(key, 0.0)
        else:
            self._monitor(key, self._evict_least())

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor below one; drop keys with negligible counts."""
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > NEGLIGIBLE_COUNT
        }
        self._errors = {key: self._errors[key] * factor for key in self._counts}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)

    def list_top(self, limit: int) -> tuple[MonitoredKey, ...]:
        """Return up to `limit` keys, most frequent first."""
        top = heapq.nlargest(limit, self._counts.items(), key=lambda item: (item[1], item[0]))
        return tuple(MonitoredKey(key, count, self._errors[key]) for key, count in top)

    def _monitor(self, key: str, inherited: float) -> None:
        self._counts[key] = inherited + 1.0
        self._errors[key] = inherited
        heapq.heappush(self._heap, (inherited + 1.0, key))

    def _evict_least(self) -> float:
        # The heap contains each key once, with a possibly outdated, lower count.
        while True:
            heap_count, key = self._heap[0]
            count = self._counts[key]
            if heap_count == count:
                heapq.heappop(self._heap)
                del self._counts[key]
                del self._errors[key]
                return count
            heapq.heapreplace(self._heap, (count, key))
