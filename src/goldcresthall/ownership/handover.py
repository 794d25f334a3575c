"""Handing a lessor's duty over before the instance ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import identity
from goldcresthall.ownership import appointments
from goldcresthall.ownership import candidates
from goldcresthall.ownership import timestamped_state
from goldcresthall.replication import commits

if TYPE_CHECKING:
    from goldcresthall.ownership import lease_context
    from goldcresthall.ownership import lookup

REASON = "instance is ending"


def hand_over(
    shared: lease_context.LeaseContext, keyed: lookup.KeyedServer, server_incarnation: str
) -> bool:
    """Appoint another live instance as lessor; return whether that was accepted.

    Only the renewal of the lease changes hands; no key moves. Without a successor
    the lease runs out and a candidate takes over.
    """
    base = timestamped_state.TimestampedState.read(shared.replica)
    if not shared.is_log_reachable(base):
        return False
    successor = _find_successor(shared, keyed)
    if successor is None:
        return False
    wish = appointments.Appointment(
        server=shared.server_name,
        lessor=successor,
        server_incarnation=server_incarnation,
        author=shared.incarnation,
        reason=REASON,
    )
    outcome = appointments.appoint(wish, base.state, shared.replica)
    if not isinstance(outcome, commits.CommitAccepted):
        return False
    shared.counters.handovers.inc()
    return True


def _find_successor(
    shared: lease_context.LeaseContext, keyed: lookup.KeyedServer
) -> identity.Incarnation | None:
    live = shared.instance_list.listing.live
    for name in candidates.rank_successors(keyed, live, shared.incarnation.name):
        status = shared.probe.query_status(name)
        if status is not None:
            return identity.Incarnation(status.name, status.incarnation)
    return None
