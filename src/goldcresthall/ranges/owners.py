"""The owners service: looks up the owner of a key and counts the work requested per key."""

from __future__ import annotations

import bisect
import dataclasses
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.load import work_estimates
from goldcresthall.ranges import request_counts

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersView:
    """The owners of all ranges at one revision, in no particular order.

    Attributes
    ----------
    term
        Position in the store of the record with which the lessor took over.
    revision
        Number of changes of the owners within the term.
    """

    term: int = -1
    revision: int = 0
    owners: tuple[key_ranges.RangeOwner, ...] = ()

    @classmethod
    def from_table(cls, table: key_ranges.OwnershipTable) -> OwnersView:
        """Return the owners as stored; all of them count as ready."""
        assigned = tuple(
            key_ranges.RangeOwner(row.service, row.keys, row.owner, ready=True)
            for row in table.assignments
        )
        return cls(table.term, table.revision, assigned)


class Owners(service.Service):
    """The latest view of the owners, and the requests counted since the last report."""

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._changed = threading.Condition()
        self._view = OwnersView()
        self._index: dict[str, tuple[list[int], list[key_ranges.RangeOwner]]] = {}
        self._serial = 0
        self._applied_at_s = 0.0
        self._counter = request_counts.RequestCounter()

    def start(self) -> None:
        """Look up the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    @property
    def view(self) -> OwnersView:
        """The latest view."""
        return self._view

    @property
    def serial(self) -> int:
        """Number of views applied by this instance."""
        return self._serial

    @property
    def age_s(self) -> float:
        """Seconds since the latest view was applied."""
        return self._clock.read_s() - self._applied_at_s

    def apply(self, view: OwnersView) -> None:
        """Apply a view if it is newer than the current one, by term and revision."""
        if (view.term, view.revision) <= (self._view.term, self._view.revision):
            return
        index: dict[str, tuple[list[int], list[key_ranges.RangeOwner]]] = {}
        for range_owner in sorted(view.owners, key=lambda owner: (owner.service, owner.keys)):
            first_keys, range_owners = index.setdefault(range_owner.service, ([], []))
            first_keys.append(range_owner.keys.first)
            range_owners.append(range_owner)
        with self._changed:
            if (view.term, view.revision) <= (self._view.term, self._view.revision):
                return
            self._view = view
            self._index = index
            self._serial += 1
            self._applied_at_s = self._clock.read_s()
            self._changed.notify_all()

    def find(self, service_name: str, key: int) -> key_ranges.RangeOwner | None:
        """Return the owner of a key, or `None` if it has none."""
        first_keys, range_owners = self._index.get(service_name, ([], []))
        position = bisect.bisect_right(first_keys, key) - 1
        if position < 0 or not range_owners[position].keys.contains(key):
            return None
        return range_owners[position]

    def wait_for_newer(self, serial: int, timeout_s: float) -> bool:
        """Wait up to `timeout_s` seconds for a view applied after `serial`.

        Returns whether there is one.
        """
        with self._changed:
            return self._changed.wait_for(lambda: self._serial > serial, timeout_s)

    def count(
        self, service_name: str, key: int, work_s: float = work_estimates.DEFAULT_WORK_S
    ) -> None:
        """Count one request for a key and the seconds of work expected of it."""
        with self._changed:
            self._counter.add(service_name, key, work_s)

    def take_counts(self, now_s: float) -> request_counts.RequestCounts:
        """Return the requests counted since the last call and reset the counts."""
        with self._changed:
            taken, self._counter = self._counter, request_counts.RequestCounter(now_s)
        return taken.finish(now_s)
