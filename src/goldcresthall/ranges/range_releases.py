"""Releases: an owner is asked to give up a range, for a move or because it drains."""

from __future__ import annotations

import functools
import math
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
        self._predecessors_end_s = -math.inf

    def allow(self, *, may_begin: bool, predecessors_end_s: float) -> None:
        """Set whether releases may begin now, and when earlier lessors stopped granting."""
        self._may_begin = may_begin
        self._predecessors_end_s = predecessors_end_s

    @property
    def may_begin(self) -> bool:
        """Whether releases may begin now."""
        return self._may_begin

    def start(
        self,
        lease_id: int,
        lease: range_leases.RangeLease,
        target: deployment.ServerIncarnation | None,
        *,
        is_optional: bool = False,
    ) -> None:
        """Request the release of a range from its owner.

        If a grant may still be executed, the owner must acknowledge a higher fencing token first;
        until then it keeps the range. The caller requests the release again in the next step.

        Parameters
        ----------
        target
            Server that gets the range next; `None` if it is chosen after the release.
        is_optional
            Whether the owner stays and goes on serving the range if it acknowledges nothing.
        """
        if not self._may_begin:
            return
        # A grant of an earlier lessor may have arrived after an earlier acknowledgement at a
        # server that had started again, which may execute it later.
        is_unproven = lease.unproven or lease.latest_arrival_at_s < self._predecessors_end_s
        if lease.unanswered or is_unproven:
            self._demand_proof(
                lease_id, lease, target, is_optional=is_optional or target is not None
            )
            return
        begin = functools.partial(transitions.begin_release, target)
        if not self._leases.update(lease_id, begin):
            return
        command = grants.ReleaseCommand(lease_id=lease_id, keys=lease.keys, fence=lease.fence)
        self._context.start_task("release", lambda stop: self._run_release(lease, command, stop))

    def _demand_proof(
        self,
        lease_id: int,
        lease: range_leases.RangeLease,
        target: deployment.ServerIncarnation | None,
        *,
        is_optional: bool,
    ) -> None:
        """Demand that the owner acknowledges a higher token, before the range is released.

        An owner that leaves may reject new connections until its end. Instances send it nothing
        more by then, so its lease rather runs out from now on. One that stays, such as a cold
        one, keeps the range until the next attempt.
        """
        now_s = self._context.clock.read_s()
        if not is_optional and now_s < lease.proof_after_s:
            self._leases.update(lease_id, transitions.begin_expiry)
            return
        demand = functools.partial(transitions.demand_proof, target, now_s)
        self._leases.update(lease_id, demand)

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
