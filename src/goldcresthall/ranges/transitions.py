"""How a holding changes, from one state to the next."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.ranges import grants
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import key_ranges

LOST_AFTER_S = 1.0


def resume(assigned: key_ranges.RangeAssignment) -> range_leases.RangeLease:
    """Return the holding of a range whose owner stays over a take-over."""
    return range_leases.RangeLease(
        service=assigned.service,
        keys=assigned.keys,
        owner=assigned.owner,
        fence=assigned.fence,
        phase=range_leases.LeasePhase.GRANTING,
        ready=True,
    )


def is_failing(item: range_leases.RangeLease, now_s: float) -> bool:
    """Return whether grants have failed for so long that the owner counts as lost."""
    return item.failing_since_s is not None and now_s - item.failing_since_s >= LOST_AFTER_S


def needs_recording(item: range_leases.RangeLease) -> bool:
    """Return whether a new owner or fence is to be recorded."""
    if item.phase is range_leases.LeasePhase.FREE:
        return item.target is not None
    return item.needs_higher_fence and item.is_granted and not item.in_flight


def demand_fence(present: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return a holding that gets a higher fence before anything else."""
    return dataclasses.replace(present, needs_higher_fence=True) if present.is_granted else None


def assign(fence: int, present: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return a holding under a new fence, at its target if nobody holds it."""
    owner = present.target if present.phase is range_leases.LeasePhase.FREE else present.owner
    return None if owner is None else assign_to(owner, fence, present)


def assign_to(
    owner: deployment.ServerIncarnation, fence: int, present: range_leases.RangeLease
) -> range_leases.RangeLease:
    """Return a holding that an owner is to be granted under a new fence."""
    return dataclasses.replace(
        present,
        owner=owner,
        fence=fence,
        phase=range_leases.LeasePhase.GRANTING,
        target=None,
        unanswered=False,
        needs_higher_fence=False,
        failing_since_s=None,
        due_at_s=-math.inf,
        latest_arrival_at_s=present.latest_arrival_at_s if owner == present.owner else -math.inf,
    )


def complete_release(
    outcome: grants.CommandOutcome, present: range_leases.RangeLease
) -> range_leases.RangeLease | None:
    """Return what a release made of a holding; without an answer its grant must run out."""
    if present.phase is not range_leases.LeasePhase.RELEASING:
        return None
    if isinstance(outcome, grants.CommandNotSent) and present.target is not None:
        # The owner was not told and does not leave, so it holds the range as before.
        return dataclasses.replace(
            present, phase=range_leases.LeasePhase.HELD, ready=True, target=None
        )
    if isinstance(outcome, grants.Released):
        return dataclasses.replace(
            present,
            owner=None,
            phase=range_leases.LeasePhase.FREE,
            handover=outcome.handover,
            latest_arrival_at_s=-math.inf,
        )
    return dataclasses.replace(present, phase=range_leases.LeasePhase.EXPIRING, target=None)


def free(present: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return a holding without owner; none while a grant is on its way."""
    if present.in_flight or present.phase is range_leases.LeasePhase.FREE:
        return None
    return dataclasses.replace(
        present,
        owner=None,
        phase=range_leases.LeasePhase.FREE,
        ready=False,
        handover="",
        target=None,
        unanswered=False,
        needs_higher_fence=False,
        failing_since_s=None,
    )


def begin_expiry(present: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return a holding that is renewed no more; none while a grant is on its way."""
    if present.in_flight or not present.is_granted:
        return None
    return dataclasses.replace(present, phase=range_leases.LeasePhase.EXPIRING, ready=False)


def begin_release(
    target: deployment.ServerIncarnation | None, present: range_leases.RangeLease
) -> range_leases.RangeLease | None:
    """Return a holding that its owner is told to give back; none if that proves nothing."""
    if not present.is_movable:
        return None
    return dataclasses.replace(
        present, phase=range_leases.LeasePhase.RELEASING, ready=False, target=target
    )


def set_target(
    target: deployment.ServerIncarnation, present: range_leases.RangeLease
) -> range_leases.RangeLease:
    """Return a holding that a server is to get next."""
    return dataclasses.replace(present, target=target)
