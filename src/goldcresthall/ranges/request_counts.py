"""Requests and their expected work per key, as counted between two reports."""

from __future__ import annotations

import dataclasses
import math

from goldcresthall.load import work_table

MAX_COUNTED_REQUESTS = 20_000
# The longest time that a report stands for. After a gap, as at the start of a lessor's term, the
# work is scaled to it, so that the lessor does not take the backlog for a burst.
MAX_SPAN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CountedKeys:
    """Requested keys of a service; a key appears once for each request."""

    service: str
    keys: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCounts:
    """The requests counted since the last report.

    Attributes
    ----------
    keys
        Requested keys, for lessors of earlier releases, which do not read `work`.
    work
        Expected work of the same requests.
    """

    keys: tuple[CountedKeys, ...] = ()
    work: tuple[work_table.KeyWork, ...] = ()


class RequestCounter:
    """Counts requests and their work by service and key; not safe for use by several tasks.

    Parameters
    ----------
    now_s
        Clock reading in seconds at which the count begins; infinite if unknown.
    """

    def __init__(self, now_s: float = math.inf) -> None:
        self._began_at_s = now_s
        self._keys: dict[str, list[int]] = {}
        self._work_s: dict[str, dict[int, float]] = {}

    def add(self, service_name: str, key: int, work_s: float) -> None:
        """Count one request, up to `MAX_COUNTED_REQUESTS` per service and report."""
        keys = self._keys.setdefault(service_name, [])
        if len(keys) < MAX_COUNTED_REQUESTS:
            keys.append(key)
            work = self._work_s.setdefault(service_name, {})
            work[key] = work.get(key, 0.0) + work_s

    def finish(self, now_s: float) -> RequestCounts:
        """Return the counts up to `now_s`."""
        scale = MAX_SPAN_S / max(MAX_SPAN_S, now_s - self._began_at_s)
        return RequestCounts(
            tuple(CountedKeys(name, tuple(keys)) for name, keys in self._keys.items()),
            tuple(
                work_table.KeyWork(
                    name, tuple(work), tuple(work_s * scale for work_s in work.values())
                )
                for name, work in self._work_s.items()
            ),
        )
