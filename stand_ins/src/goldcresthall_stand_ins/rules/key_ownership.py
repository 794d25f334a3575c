"""OWNER: a key has one holder at a time, and its fence rises from holder to holder."""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import key_leases
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall_stand_ins.rules import record as records

RULE = "OWNER"
MAX_OVERLAP_S = 0.5


def check(record: records.Record) -> list[violations.Violation]:
    """Check that no two servers own a key, and that fences rise."""
    log = disturbances.DisturbanceLog(record)
    late = {
        id(grant)
        for grant in record.select(events.GrantTaken)
        if log.may_be_late(grant, record.bounds.thaw_s)
    }
    counted = [event for event in record.events if id(event) not in late]
    timely = [event for event in counted if not _is_delayed(event, record.bounds.thaw_s)]
    return [
        *_check_shared_requests(counted),
        *_check_fences(counted),
        *_check_overlaps(timely),
        *_check_running_work(timely),
    ]


@functools.singledispatch
def _is_delayed(event: events.Event, allowed_s: float) -> bool:
    """Return whether the event is a grant that was held up on its way or taken late."""
    return False


@_is_delayed.register
def _is_grant_delayed(event: events.GrantTaken, allowed_s: float) -> bool:
    sent_at_s = event.arrived_at_s if event.sent_at_s is None else event.sent_at_s
    return event.at_s - sent_at_s > allowed_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Overlap:
    """Two leases of the same keys that were in force at the same time."""

    first: key_leases.Lease
    second: key_leases.Lease

    @property
    def began_at_s(self) -> float:
        return max(self.first.began_at_s, self.second.began_at_s)

    @property
    def ended_at_s(self) -> float:
        return min(self.first.ended_at_s, self.second.ended_at_s)

    def describe(self) -> str:
        keys = self.first.keys
        return (
            f"{self.first.holder.server} and {self.second.holder.server} hold keys "
            f"{keys.start} to {keys.stop - 1} for {self.ended_at_s - self.began_at_s:.3f} s"
        )


def _find_overlaps(counted: list[events.Event]) -> Iterator[_Overlap]:
    for leases in key_leases.collect_leases(counted).values():
        for first, second in itertools.combinations(leases, 2):
            overlap = _Overlap(first, second)
            if first.holder != second.holder and overlap.began_at_s < overlap.ended_at_s:
                yield overlap


def _check_shared_requests(counted: list[events.Event]) -> Iterator[violations.Violation]:
    """Report servers that hold the same keys and both begin requests on them meanwhile."""
    began = [event for event in counted if isinstance(event, events.RequestBegan)]
    for overlap in _find_overlaps(counted):
        first = _find_begun(began, overlap, overlap.first)
        second = _find_begun(began, overlap, overlap.second)
        if first is not None and second is not None:
            evidence = (*overlap.first.grants, *overlap.second.grants, first, second)
            what = f"{overlap.describe()} and both begin requests"
            at_s = max(first.at_s, second.at_s)
            yield violations.Violation(RULE, at_s, what, evidence)


def _find_begun(
    began: list[events.RequestBegan], overlap: _Overlap, lease: key_leases.Lease
) -> events.RequestBegan | None:
    """Return the first request that the holder of a lease began during the overlap."""
    for event in began:
        if (
            key_leases.Holder(event.server, event.incarnation) == lease.holder
            and event.key is not None
            and event.key in lease.keys
            and overlap.began_at_s <= event.at_s < overlap.ended_at_s
        ):
            return event
    return None


def _check_fences(counted: list[events.Event]) -> Iterator[violations.Violation]:
    """Report grants whose fence is not above all that other servers had on their keys."""
    grants = [event for event in counted if isinstance(event, events.GrantTaken)]
    segments = key_leases.split_keys(grants)
    highest: dict[range, dict[str, events.GrantTaken]] = collections.defaultdict(dict)
    for grant in grants:
        for keys in key_leases.find_segments(segments, grant):
            earlier = _find_higher_fence(highest[keys], grant)
            if earlier is not None:
                what = (
                    f"{grant.server} takes fence {grant.fence} on keys {keys.start} to "
                    f"{keys.stop - 1} after {earlier.server} had fence {earlier.fence}"
                )
                yield violations.Violation(RULE, grant.at_s, what, (earlier, grant))
            own = highest[keys].get(grant.server)
            if own is None or own.fence < grant.fence:
                highest[keys][grant.server] = grant


def _find_higher_fence(
    highest: dict[str, events.GrantTaken], grant: events.GrantTaken
) -> events.GrantTaken | None:
    """Return an earlier grant to another server whose fence the grant does not exceed."""
    for server, earlier in highest.items():
        if server != grant.server and earlier.fence >= grant.fence:
            return earlier
    return None


def _check_overlaps(timely: list[events.Event]) -> Iterator[violations.Violation]:
    """Report servers that hold the same keys for too long, with or without requests."""
    for overlap in _find_overlaps(timely):
        if overlap.ended_at_s - overlap.began_at_s > MAX_OVERLAP_S:
            at_s = overlap.began_at_s + MAX_OVERLAP_S
            evidence = (*overlap.first.grants, *overlap.second.grants)
            yield violations.Violation(RULE, at_s, overlap.describe(), evidence)


def _check_running_work(timely: list[events.Event]) -> Iterator[violations.Violation]:
    """Report keys given on while their last holder works and its lease would still run."""
    tracker = key_leases.WorkTracker()
    for event in timely:
        if isinstance(event, events.GrantTaken):
            for work in tracker.find_work_elsewhere(event):
                what = (
                    f"{event.server} is given key {work.began.key} while {work.began.server} is "
                    f"still at work on it, {work.lease_left_s:.3f} s before its lease ends"
                )
                evidence = (work.grant, work.began, event)
                yield violations.Violation(RULE, event.at_s, what, evidence)
        key_leases.track(event, tracker)
