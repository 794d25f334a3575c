"""Effects of a grant's outcome on the lease."""

from __future__ import annotations

import dataclasses
import functools

from absl import logging

from goldcresthall.ranges import grants
from goldcresthall.ranges import range_leases

RENEW_INTERVAL_S = 1.0
GRANT_RETRY_INTERVAL_S = 0.15
PROOF_RETRY_INTERVAL_S = 1.0


@functools.singledispatch
def apply_outcome(
    outcome: grants.CommandOutcome, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    """Return a lease after a grant or renewal under its fencing token ended at `now_s`."""
    raise NotImplementedError(type(outcome).__name__)


@apply_outcome.register
def _(
    outcome: grants.Granted, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    is_granting = lease.phase is range_leases.LeasePhase.GRANTING
    return dataclasses.replace(
        lease,
        phase=range_leases.LeasePhase.HELD if is_granting else lease.phase,
        ready=lease.ready or is_granting,
        latest_arrival_at_s=now_s,
        due_at_s=now_s + RENEW_INTERVAL_S,
        failing_since_s=None,
        misdirected=False,
        handover="",
        unproven=lease.unproven or outcome.may_be_copy,
    )


@apply_outcome.register
def _(
    outcome: grants.StaleFence, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning(
        "server rejected grant of %s as stale: %s has seen a fencing token above %d, %s",
        lease.keys,
        lease.owner,
        lease.fence,
        outcome.detail,
    )
    return dataclasses.replace(_record_refusal(outcome, lease, now_s), needs_higher_fence=True)


@apply_outcome.register
def _(
    outcome: grants.CommandUnanswered, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.info("no response to grant of %s from %s: %s", lease.keys, lease.owner, outcome.detail)
    return _record_failure(_record_arrival(lease, now_s), now_s)


@apply_outcome.register
def _(
    outcome: grants.CommandNotSent, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    return _record_failure(lease, now_s)


@apply_outcome.register
def _(
    outcome: grants.CommandRejected, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning("grant of %s was rejected by %s: %s", lease.keys, lease.owner, outcome.detail)
    return _record_failure(_record_refusal(outcome, lease, now_s), now_s)


@apply_outcome.register
def _(
    outcome: grants.CommandMisdirected, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning("grant of %s did not reach %s: %s", lease.keys, lease.owner, outcome.detail)
    failing = _record_failure(_record_refusal(outcome, lease, now_s), now_s)
    return dataclasses.replace(failing, misdirected=not outcome.may_be_executed)


def apply_proof_outcome(
    outcome: grants.CommandOutcome, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    """Return a lease after a grant that should have proved its execution ended at `now_s`.

    If it did not, grants go over kept connections again and the next attempt waits. An overloaded
    server rejects new connections; that is no failure of its lease, so the grant is sent again at
    once.
    """
    if isinstance(outcome, grants.Granted) and not outcome.may_be_copy:
        return dataclasses.replace(apply_outcome(outcome, lease, now_s), needs_proof=False)
    logging.info(
        "grant of %s to %s under fencing token %d is not proven: %s",
        lease.keys,
        lease.owner,
        lease.fence,
        outcome,
    )
    postponed = dataclasses.replace(
        lease, needs_proof=False, proof_after_s=now_s + PROOF_RETRY_INTERVAL_S, due_at_s=now_s
    )
    if isinstance(outcome, grants.CommandNotSent):
        return postponed
    return apply_outcome(outcome, postponed, now_s)


def _record_refusal(
    outcome: grants.Refusal, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    return _record_arrival(lease, now_s) if outcome.may_be_executed else lease


def _record_arrival(lease: range_leases.RangeLease, now_s: float) -> range_leases.RangeLease:
    """Return the lease after a grant that the server may have executed or may yet execute."""
    return dataclasses.replace(lease, unanswered=True, latest_arrival_at_s=now_s)


def _record_failure(lease: range_leases.RangeLease, now_s: float) -> range_leases.RangeLease:
    since_s = now_s if lease.failing_since_s is None else lease.failing_since_s
    return dataclasses.replace(
        lease, due_at_s=now_s + GRANT_RETRY_INTERVAL_S, failing_since_s=since_s, misdirected=False
    )
