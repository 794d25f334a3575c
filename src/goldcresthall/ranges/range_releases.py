"""Releases: an owner is asked to give up a range, for a move or because it drains."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.ranges import grants
from goldcresthall.ranges import transitions

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.kernel import tasks
    from goldcresthall.ranges import lease_renewal
    from goldcresthall.ranges import lease_table
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import range_leases

VIEW_PROPAGATION_S = 0.05
MAX_PUBLICATION_WAIT_S = 0.5


class RangeReleases:
    """Starts releases, each in a task of its own, and records how they end.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    leases
        Leases of the term.
    renewers
        Renewal tasks, which know the last address of each owner.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        leases: lease_table.LeaseTable,
        renewers: lease_renewal.LeaseRenewers,
    ) -> None:
        self._context = context
        self._leases = leases
        self._renewers = renewers
        self._may_begin = True

    def allow(self, *, may_begin: bool) -> None:
        """Set whether releases may begin now."""
        self._may_begin = may_begin

    def start(
        self,
        lease_id: int,
        lease: range_leases.RangeLease,
        target: deployment.ServerIncarnation | None,
    ) -> None:
        """Request the release of a range from its owner.

        If a grant is unanswered, the range gets a higher fencing token first.
        """
        if lease.unanswered:
            self._leases.update(lease_id, transitions.demand_fence)
            return
        begin = functools.partial(transitions.begin_release, target)
        if not self._may_begin or not self._leases.update(lease_id, begin):
            return
        command = grants.ReleaseCommand(lease_id=lease_id, keys=lease.keys, fence=lease.fence)
        self._context.start_task("release", lambda stop: self._run_release(lease, command, stop))

    def _run_release(
        self,
        lease: range_leases.RangeLease,
        command: grants.ReleaseCommand,
        stop_signal: tasks.StopSignal,
    ) -> None:
        # Leaves the instances time to receive the view in which the owner is not ready, so
        # that they stop sending requests to it before the release.
        if not stop_signal.is_set:
            self._leases.wait_for_publication(self._leases.revision, MAX_PUBLICATION_WAIT_S)
        stop_signal.wait(VIEW_PROPAGATION_S)
        server = self._renewers.find_server(lease.owner) if lease.owner is not None else None
        outcome: grants.CommandOutcome = grants.CommandUnanswered("the release task failed")
        try:
            if server is None:
                outcome = grants.CommandNotSent("server address is unknown")
            else:
                outcome = self._context.channel.release(server, command)
        finally:
            complete = functools.partial(transitions.complete_release, outcome)
            changed = self._leases.update(command.lease_id, complete)
        logging.info(
            "range %s of service %s, release by %s: %s, lease changed: %s",
            lease.keys,
            lease.service,
            lease.owner,
            outcome,
            changed,
        )
