"""How a holding changes, from one state to the next."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.ranges import grants
from goldcresthall.ranges import holdings

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import key_ranges

LOST_AFTER_S = 1.0


def resume(assigned: key_ranges.RangeAssignment) -> holdings.Holding:
    """Return the holding of a range whose owner stays over a take-over."""
    return holdings.Holding(
        service=assigned.service,
        keys=assigned.keys,
        owner=assigned.owner,
        fence=assigned.fence,
        phase=holdings.Phase.GRANTING,
        ready=True,
    )


def is_failing(item: holdings.Holding, now_s: float) -> bool:
    """Return whether grants have failed for so long that the owner counts as lost."""
    return item.failing_since_s is not None and now_s - item.failing_since_s >= LOST_AFTER_S


def is_decided(item: holdings.Holding) -> bool:
    """Return whether a new owner or fence is to be recorded."""
    if item.phase is holdings.Phase.FREE:
        return item.target is not None
    return item.needs_fence and item.is_granted and not item.in_flight


def demand_fence(present: holdings.Holding) -> holdings.Holding | None:
    """Return a holding that gets a higher fence before anything else."""
    return dataclasses.replace(present, needs_fence=True) if present.is_granted else None


def assign(fence: int, present: holdings.Holding) -> holdings.Holding | None:
    """Return a holding under a new fence, at its target if nobody holds it."""
    owner = present.target if present.phase is holdings.Phase.FREE else present.owner
    return None if owner is None else assign_to(owner, fence, present)


def assign_to(
    owner: deployment.ServerLife, fence: int, present: holdings.Holding
) -> holdings.Holding:
    """Return a holding that an owner is to be granted under a new fence."""
    return dataclasses.replace(
        present,
        owner=owner,
        fence=fence,
        phase=holdings.Phase.GRANTING,
        target=None,
        unanswered=False,
        needs_fence=False,
        failing_since_s=None,
        due_at_s=-math.inf,
        reached_at_s=present.reached_at_s if owner == present.owner else -math.inf,
    )


def conclude_release(
    outcome: grants.OrderOutcome, present: holdings.Holding
) -> holdings.Holding | None:
    """Return what a release made of a holding; without an answer its grant must run out."""
    if present.phase is not holdings.Phase.RELEASING:
        return None
    if isinstance(outcome, grants.OrderNotSent) and present.target is not None:
        # The owner was not told and does not leave, so it holds the range as before.
        return dataclasses.replace(present, phase=holdings.Phase.HELD, ready=True, target=None)
    if isinstance(outcome, grants.Released):
        return dataclasses.replace(
            present,
            owner=None,
            phase=holdings.Phase.FREE,
            handover=outcome.handover,
            reached_at_s=-math.inf,
        )
    return dataclasses.replace(present, phase=holdings.Phase.EXPIRING, target=None)


def free(present: holdings.Holding) -> holdings.Holding | None:
    """Return a holding without owner; none while a grant is on its way."""
    if present.in_flight or present.phase is holdings.Phase.FREE:
        return None
    return dataclasses.replace(
        present,
        owner=None,
        phase=holdings.Phase.FREE,
        ready=False,
        handover="",
        target=None,
        unanswered=False,
        needs_fence=False,
        failing_since_s=None,
    )


def expire(present: holdings.Holding) -> holdings.Holding | None:
    """Return a holding that is renewed no more; none while a grant is on its way."""
    if present.in_flight or not present.is_granted:
        return None
    return dataclasses.replace(present, phase=holdings.Phase.EXPIRING, ready=False)


def begin_release(
    target: deployment.ServerLife | None, present: holdings.Holding
) -> holdings.Holding | None:
    """Return a holding that its owner is told to give back; none if that proves nothing."""
    if not present.is_movable:
        return None
    return dataclasses.replace(present, phase=holdings.Phase.RELEASING, ready=False, target=target)


def aim(target: deployment.ServerLife, present: holdings.Holding) -> holdings.Holding:
    """Return a holding that a server is to get next."""
    return dataclasses.replace(present, target=target)
