"""Leases of keys and running work, as the servers saw them."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of a server."""

    server: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A span in which a server held keys, without a gap.

    Attributes
    ----------
    grants
        The first and the last grant of the span; one if it was never renewed.
    """

    holder: Holder
    keys: range
    began_at_s: float
    ended_at_s: float
    grants: tuple[events.GrantTaken, ...]


def expiry_s(grant: events.GrantTaken) -> float:
    """Return when a lease runs out, which counts from the arrival of the grant."""
    return grant.arrived_at_s + grant.lease_s


def split_keys(recorded: Iterable[events.Event]) -> tuple[range, ...]:
    """Return ranges of keys that no grant and no release divides."""
    bounds: set[int] = set()
    for event in recorded:
        if isinstance(event, events.GrantTaken | events.KeysReleased):
            bounds |= {event.first_key, event.last_key + 1}
    ordered = sorted(bounds)
    return tuple(range(first, end) for first, end in itertools.pairwise(ordered))


def find_segments(
    segments: Sequence[range], event: events.GrantTaken | events.KeysReleased
) -> Iterator[range]:
    """Return the undivided ranges that a grant or a release covers."""
    first = bisect.bisect_left(segments, event.first_key, key=_get_start)
    for segment in segments[first:]:
        if segment.start > event.last_key:
            return
        yield segment


def _get_start(segment: range) -> int:
    return segment.start


class _LeaseCollector:
    """Builds the leases of each undivided range from grants, releases and ends of servers."""

    def __init__(self, segments: Sequence[range]) -> None:
        self.segments = segments
        self.open_leases: dict[tuple[range, Holder], Lease] = {}
        self.leases: dict[range, list[Lease]] = collections.defaultdict(list)

    def add(self, grant: events.GrantTaken, keys: range) -> None:
        """Begin a lease, or extend it if it is still in force."""
        holder = Holder(grant.server, grant.incarnation)
        held = self.open_leases.get((keys, holder))
        if held is not None and held.ended_at_s >= grant.at_s:
            ended_at_s = max(held.ended_at_s, expiry_s(grant))
            renewed = dataclasses.replace(
                held, ended_at_s=ended_at_s, grants=(held.grants[0], grant)
            )
            self.open_leases[keys, holder] = renewed
            return
        if held is not None:
            self.leases[keys].append(held)
        lease = Lease(holder, keys, grant.at_s, expiry_s(grant), (grant,))
        self.open_leases[keys, holder] = lease

    def end(self, keys: range, holder: Holder, at_s: float) -> None:
        """End a lease, if it has not run out before."""
        held = self.open_leases.pop((keys, holder), None)
        if held is not None:
            ended_at_s = min(held.ended_at_s, at_s)
            self.leases[keys].append(dataclasses.replace(held, ended_at_s=ended_at_s))

    def end_all(self, server: str, at_s: float) -> None:
        """End all leases of all incarnations of a server."""
        for keys, holder in list(self.open_leases):
            if holder.server == server:
                self.end(keys, holder, at_s)


def collect_leases(recorded: Sequence[events.Event]) -> dict[range, list[Lease]]:
    """Return the leases of each range of keys that no event divides."""
    collector = _LeaseCollector(split_keys(recorded))
    for event in recorded:
        _collect(event, collector)
    for (keys, _), lease in collector.open_leases.items():
        collector.leases[keys].append(lease)
    return collector.leases


@functools.singledispatch
def _collect(event: events.Event, collector: _LeaseCollector) -> None:
    """Apply what an event says of leases; most say nothing."""


@_collect.register
def _collect_grant(event: events.GrantTaken, collector: _LeaseCollector) -> None:
    for keys in find_segments(collector.segments, event):
        collector.add(event, keys)


@_collect.register
def _collect_release(event: events.KeysReleased, collector: _LeaseCollector) -> None:
    for keys in find_segments(collector.segments, event):
        collector.end(keys, Holder(event.server, event.incarnation), event.at_s)


@_collect.register
def _collect_start(event: events.ServerStarted, collector: _LeaseCollector) -> None:
    collector.end_all(event.server, event.at_s)


@_collect.register
def _collect_end(event: events.ServerEnded, collector: _LeaseCollector) -> None:
    collector.end_all(event.server, event.at_s)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningWork:
    """A request at which a server is at work, and the grant under which it may be."""

    began: events.RequestBegan
    grant: events.GrantTaken
    lease_left_s: float


class WorkTracker:
    """Knows the running requests and the grants of all servers at one point of a record."""

    def __init__(self) -> None:
        self.running: dict[tuple[Holder, str], events.RequestBegan] = {}
        self.grants: dict[Holder, list[events.GrantTaken]] = collections.defaultdict(list)

    def find_work_elsewhere(self, grant: events.GrantTaken) -> Iterator[RunningWork]:
        """Return work of other servers on keys of a grant whose lease would still run."""
        for (holder, _), began in self.running.items():
            if (
                holder.server == grant.server
                or began.key is None
                or not grant.first_key <= began.key <= grant.last_key
            ):
                continue
            latest = self._find_latest_grant(holder, began.key)
            if latest is not None and expiry_s(latest) > grant.at_s:
                yield RunningWork(began, latest, expiry_s(latest) - grant.at_s)

    def _find_latest_grant(self, holder: Holder, key: int) -> events.GrantTaken | None:
        covering = [
            grant for grant in self.grants[holder] if grant.first_key <= key <= grant.last_key
        ]
        return max(covering, key=expiry_s, default=None)

    def forget(self, server: str) -> None:
        """Drop all that a server ran and held, since its process ended."""
        for holder, request_id in list(self.running):
            if holder.server == server:
                del self.running[holder, request_id]


@functools.singledispatch
def track(event: events.Event, tracker: WorkTracker) -> None:
    """Apply an event to a tracker; most change nothing."""


@track.register
def _track_grant(event: events.GrantTaken, tracker: WorkTracker) -> None:
    tracker.grants[Holder(event.server, event.incarnation)].append(event)


@track.register
def _track_begin(event: events.RequestBegan, tracker: WorkTracker) -> None:
    tracker.running[Holder(event.server, event.incarnation), event.request_id] = event


@track.register
def _track_end(event: events.RequestEnded, tracker: WorkTracker) -> None:
    tracker.running.pop((Holder(event.server, event.incarnation), event.request_id), None)


@track.register
def _track_server_start(event: events.ServerStarted, tracker: WorkTracker) -> None:
    tracker.forget(event.server)


@track.register
def _track_server_end(event: events.ServerEnded, tracker: WorkTracker) -> None:
    tracker.forget(event.server)
