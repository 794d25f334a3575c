"""State transitions of a range lease."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.ranges import grants
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from goldcresthall.core import deployment

LOST_AFTER_S = 1.0


def resume(assignment: key_ranges.RangeAssignment) -> range_leases.RangeLease:
    """Return the lease of a range whose owner stays after a takeover."""
    if assignment.owner == key_ranges.UNKNOWN_SERVER:
        return await_unknown_holder(
            range_leases.RangeLease(
                service=assignment.service, keys=assignment.keys, owner=None, fence=assignment.fence
            )
        )
    return range_leases.RangeLease(
        service=assignment.service,
        keys=assignment.keys,
        owner=assignment.owner,
        fence=assignment.fence,
        phase=range_leases.LeasePhase.GRANTING,
        ready=True,
    )


def await_unknown_holder(lease: range_leases.RangeLease) -> range_leases.RangeLease:
    """Return the lease of a range that is free once no earlier lessor's grant can last."""
    return dataclasses.replace(
        lease, owner=key_ranges.UNKNOWN_SERVER, phase=range_leases.LeasePhase.EXPIRING
    )


def is_failing(lease: range_leases.RangeLease, now_s: float) -> bool:
    """Return whether grants have failed for `LOST_AFTER_S`, so that the owner counts as lost."""
    return lease.failing_since_s is not None and now_s - lease.failing_since_s >= LOST_AFTER_S


def needs_recording(lease: range_leases.RangeLease) -> bool:
    """Return whether a new owner or fencing token must be recorded in the store."""
    if lease.phase is range_leases.LeasePhase.FREE:
        return lease.target is not None
    needs_token = lease.needs_higher_fence or (
        lease.needs_proof and lease.phase is range_leases.LeasePhase.HELD
    )
    return needs_token and lease.is_granted and not lease.in_flight


def demand_fence(lease: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return the lease marked to get a higher fencing token; `None` unless it is granted."""
    return dataclasses.replace(lease, needs_higher_fence=True) if lease.is_granted else None


def demand_proof(
    target: deployment.ServerIncarnation | None,
    now_s: float,
    lease: range_leases.RangeLease,
) -> range_leases.RangeLease | None:
    """Return a held lease marked to get a higher fencing token that its owner acknowledges.

    Once it has, no grant under an earlier token can be executed after a release. The range then
    moves to `target`. Nothing is demanded soon after a failed attempt. Returns `None` unless the
    range is held and its renewals succeed.
    """
    if lease.phase is not range_leases.LeasePhase.HELD or lease.failing_since_s is not None:
        return None
    needs_proof = lease.needs_proof or now_s >= lease.proof_after_s
    return dataclasses.replace(lease, needs_proof=needs_proof, target=target)


def assign(fence: int, lease: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return the lease under a new fencing token.

    A free range goes to its target, any other stays with its owner; `None` without either.
    """
    owner = lease.target if lease.phase is range_leases.LeasePhase.FREE else lease.owner
    return None if owner is None else assign_to(owner, fence, lease)


def assign_to(
    owner: deployment.ServerIncarnation, fence: int, lease: range_leases.RangeLease
) -> range_leases.RangeLease:
    """Return the lease as it is to be granted to `owner` under a new fencing token."""
    stays = owner == lease.owner
    return dataclasses.replace(
        lease,
        owner=owner,
        fence=fence,
        phase=range_leases.LeasePhase.GRANTING,
        target=lease.target if stays else None,
        unanswered=False,
        unproven=False,
        needs_higher_fence=False,
        needs_proof=lease.needs_proof and stays,
        proof_after_s=lease.proof_after_s if stays else -math.inf,
        failing_since_s=None,
        misdirected=False,
        due_at_s=-math.inf,
        latest_arrival_at_s=lease.latest_arrival_at_s if stays else -math.inf,
    )


def follow_restart(
    restarted: deployment.ServerIncarnation, lease: range_leases.RangeLease
) -> range_leases.RangeLease | None:
    """Return the lease as it is to be granted to the next incarnation of its owner.

    Renewals to the earlier incarnation may have reached the next one, which then holds the
    range. No other server may get the range before that one has released it or its lease has
    expired. Returns `None` if there is no owner, a grant is in flight or a release in progress.
    """
    if lease.owner is None or lease.in_flight:
        return None
    if lease.phase is range_leases.LeasePhase.RELEASING:
        return None
    return dataclasses.replace(
        lease,
        owner=restarted,
        phase=range_leases.LeasePhase.GRANTING,
        ready=False,
        target=None,
        handover="",
        unanswered=False,
        needs_higher_fence=True,
        needs_proof=False,
        failing_since_s=None,
        misdirected=False,
    )


def complete_release(
    outcome: grants.CommandOutcome, lease: range_leases.RangeLease
) -> range_leases.RangeLease | None:
    """Return the lease after a release attempt.

    Unless the release succeeded, the lease must expire; if the command of a move was not
    sent, the owner keeps the range. Returns `None` if no release is in progress.
    """
    if lease.phase is not range_leases.LeasePhase.RELEASING:
        return None
    if isinstance(outcome, grants.CommandNotSent) and lease.target is not None:
        # Only moves have a target, so the owner is not draining.
        return dataclasses.replace(
            lease, phase=range_leases.LeasePhase.HELD, ready=True, target=None
        )
    if isinstance(outcome, grants.Released):
        return dataclasses.replace(
            lease,
            owner=None,
            phase=range_leases.LeasePhase.FREE,
            handover=outcome.handover,
            latest_arrival_at_s=-math.inf,
        )
    return dataclasses.replace(lease, phase=range_leases.LeasePhase.EXPIRING, target=None)


def free(lease: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return the lease without an owner; `None` if it has none or a grant is in flight."""
    if lease.in_flight or lease.phase is range_leases.LeasePhase.FREE:
        return None
    return dataclasses.replace(
        lease,
        owner=None,
        phase=range_leases.LeasePhase.FREE,
        ready=False,
        handover="",
        target=None,
        unanswered=False,
        unproven=False,
        needs_higher_fence=False,
        needs_proof=False,
        failing_since_s=None,
        misdirected=False,
    )


def begin_expiry(lease: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return the lease without renewal; `None` if not granted or a grant is in flight."""
    if lease.in_flight or not lease.is_granted:
        return None
    return dataclasses.replace(
        lease,
        phase=range_leases.LeasePhase.EXPIRING,
        ready=False,
        target=None,
        needs_proof=False,
    )


def begin_release(
    target: deployment.ServerIncarnation | None, lease: range_leases.RangeLease
) -> range_leases.RangeLease | None:
    """Return the lease in release; `None` unless that would prove that the owner gave it up."""
    if not lease.is_releasable:
        return None
    return dataclasses.replace(
        lease, phase=range_leases.LeasePhase.RELEASING, ready=False, target=target
    )


def join(
    first: range_leases.RangeLease, second: range_leases.RangeLease
) -> range_leases.RangeLease | None:
    """Return one lease on two neighbouring ranges, to be granted under a higher fencing token.

    The owner keeps both ranges until then. Returns `None` unless both are movable and held by
    the same owner.
    """
    if first.owner != second.owner or not (first.is_movable and second.is_movable):
        return None
    return dataclasses.replace(
        first,
        keys=key_ranges.KeyRange(first.keys.first, second.keys.last),
        fence=max(first.fence, second.fence),
        ready=first.ready and second.ready,
        needs_higher_fence=True,
        latest_arrival_at_s=max(first.latest_arrival_at_s, second.latest_arrival_at_s),
        due_at_s=min(first.due_at_s, second.due_at_s),
        unproven=first.unproven or second.unproven,
        handover="",
    )


def cancel_move(lease: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return the lease of a range that stays with its owner; `None` unless it waits for a move."""
    if not lease.is_granted or lease.target is None:
        return None
    return dataclasses.replace(lease, target=None, needs_proof=False)


def drop_target(lease: range_leases.RangeLease) -> range_leases.RangeLease | None:
    """Return a free range without the server that was to get it; `None` unless it is free."""
    if lease.phase is not range_leases.LeasePhase.FREE:
        return None
    return dataclasses.replace(lease, target=None)


def set_target(
    target: deployment.ServerIncarnation, lease: range_leases.RangeLease
) -> range_leases.RangeLease:
    """Return the lease with the server that gets the range next."""
    return dataclasses.replace(lease, target=target)
