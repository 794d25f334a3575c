"""Handover of the lessor role before an instance shuts down."""

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

HANDOVER_REASON = "instance is ending"


def hand_over(
    context: lease_context.LeaseContext, keyed: lookup.KeyedServer, server_incarnation: str
) -> bool:
    """Appoint another live instance as lessor; return whether the log accepted it.

    Only the responsibility for renewals changes; no key moves. Without a successor,
    the lease nears its expiry and a candidate takes over.
    """
    observed = timestamped_state.TimestampedState.read(context.replica)
    if not context.is_log_reachable(observed):
        return False
    successor = _find_successor(context, keyed)
    if successor is None:
        return False
    appointment = appointments.Appointment(
        server=context.server_name,
        lessor=successor,
        server_incarnation=server_incarnation,
        author=context.incarnation,
        reason=HANDOVER_REASON,
    )
    outcome = appointments.appoint(appointment, observed.state, context.replica)
    if not isinstance(outcome, commits.CommitAccepted):
        return False
    context.counters.handovers.inc()
    return True


def _find_successor(
    context: lease_context.LeaseContext, keyed: lookup.KeyedServer
) -> identity.Incarnation | None:
    live = context.instance_list.listing.live
    for name in candidates.rank_successors(keyed, live, context.incarnation.name):
        status = context.probe.query_status(name)
        if status is not None:
            return identity.Incarnation(status.name, status.incarnation)
    return None
