"""The owners service: which server holds a key, and how much each key is asked for."""

from __future__ import annotations

import bisect
import dataclasses
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

COUNTED_KEYS_LIMIT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersView:
    """The owners of all ranges, sorted by service and first key.

    Attributes
    ----------
    term
        Offset of the record by which the lessor took over.
    revision
        Counts the lessor's changes within its term.
    """

    term: int = -1
    revision: int = 0
    owners: tuple[key_ranges.RangeOwner, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CountedKeys:
    """Keys of a service that were asked for, once for each request."""

    service: str
    keys: tuple[int, ...]


class Owners(service.Service):
    """The latest view of the owners, and the requests counted since they were reported."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._changed = threading.Condition()
        self._view = OwnersView()
        self._index: dict[str, tuple[list[int], list[key_ranges.RangeOwner]]] = {}
        self._serial = 0
        self._adopted_at_s = 0.0
        self._counts: dict[str, list[int]] = {}

    def start(self) -> None:
        """Find the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    @property
    def view(self) -> OwnersView:
        """The latest view."""
        return self._view

    @property
    def serial(self) -> int:
        """Counts the views adopted here."""
        return self._serial

    @property
    def age_s(self) -> float:
        """Seconds since the latest view was adopted."""
        return self._clock.read_s() - self._adopted_at_s

    def apply(self, view: OwnersView) -> None:
        """Adopt a view unless it is older than the present one."""
        index: dict[str, tuple[list[int], list[key_ranges.RangeOwner]]] = {}
        for owned in sorted(view.owners, key=lambda item: (item.service, item.keys)):
            firsts, found = index.setdefault(owned.service, ([], []))
            firsts.append(owned.keys.first)
            found.append(owned)
        with self._changed:
            if (view.term, view.revision) <= (self._view.term, self._view.revision):
                return
            self._view = view
            self._index = index
            self._serial += 1
            self._adopted_at_s = self._clock.read_s()
            self._changed.notify_all()

    def find(self, service_name: str, key: int) -> key_ranges.RangeOwner | None:
        """Return the owner of a key, or none."""
        firsts, found = self._index.get(service_name, ([], []))
        position = bisect.bisect_right(firsts, key) - 1
        if position < 0 or not found[position].keys.contains(key):
            return None
        return found[position]

    def wait_for_newer(self, serial: int, timeout_s: float) -> bool:
        """Wait for a view adopted after `serial`; return whether there is one."""
        with self._changed:
            return self._changed.wait_for(lambda: self._serial > serial, timeout_s)

    def count(self, service_name: str, key: int) -> None:
        """Count one request for a key."""
        with self._changed:
            keys = self._counts.setdefault(service_name, [])
            if len(keys) < COUNTED_KEYS_LIMIT:
                keys.append(key)

    def take_counts(self) -> tuple[CountedKeys, ...]:
        """Return the requests counted since the last call."""
        with self._changed:
            taken, self._counts = self._counts, {}
        return tuple(CountedKeys(name, tuple(keys)) for name, keys in taken.items())
