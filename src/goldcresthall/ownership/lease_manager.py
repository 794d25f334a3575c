"""Lease management of one server: as its lessor, as a candidate, or idle."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.ownership import candidate_role
from goldcresthall.ownership import handover
from goldcresthall.ownership import lease_context
from goldcresthall.ownership import lessor_role
from goldcresthall.ownership import lookup
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import wakeup

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.kernel import tasks
    from goldcresthall.replication import state as replicated

IDLE_POLL_INTERVAL_S = 1.0


class LeaseManager:
    """Runs the role of this instance for one server: lessor, candidate, or idle."""

    def __init__(self, service_kernel: kernel.Kernel, context: lease_context.LeaseContext) -> None:
        self._context = context
        self._lessor = lessor_role.LessorRole(service_kernel, context)
        self._candidate = candidate_role.CandidateRole(context)
        self._is_retired = False
        self._has_ended = False
        self._has_logged_refusal = False

    @property
    def has_ended(self) -> bool:
        """Whether the task has returned."""
        return self._has_ended

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
        server_name: str,
    ) -> LeaseManager:
        """Return the lease manager of one server."""
        context = lease_context.LeaseContext.from_config(
            service_kernel, incarnation, instance_settings, server_name, wakeup.Wakeup()
        )
        return cls(service_kernel, context)

    def wake(self) -> None:
        """End the current wait because state that this task depends on changed."""
        self._context.wakeup.wake()

    def retire(self, *, is_retired: bool) -> None:
        """Set whether the task ends as soon as no move is pending.

        The task outlives a pending move, because a new task for the same server would
        not know of that move and would renew the lease while it must not be renewed.
        """
        if is_retired != self._is_retired:
            self._is_retired = is_retired
            self.wake()

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """Run until stopped or retired; hand over the lessor role if stopped."""
        try:
            while not stop_signal.is_set and not self._may_end():
                self._step()
            if not self._is_retired:
                self._hand_over()
        finally:
            self._has_ended = True

    def _may_end(self) -> bool:
        return self._is_retired and not self._lessor.is_move_pending

    def _hand_over(self) -> None:
        state = self._context.replica.state
        keyed = lookup.find_keyed_server(self._context.server_name, state)
        if keyed is not None and self._is_lessor(state):
            handover.hand_over(self._context, keyed, self._lessor.server_incarnation)

    def _step(self) -> None:
        state = self._context.replica.state
        keyed = lookup.find_keyed_server(self._context.server_name, state)
        if keyed is None or state.halted or not keyed.policy.checks_grants:
            self._lessor.reset()
            self._report_refused_drain(keyed)
            self._context.wakeup.wait(IDLE_POLL_INTERVAL_S)
        elif self._is_lessor(state):
            self._lessor.step(keyed)
        else:
            self._lessor.reset()
            self._candidate.step(keyed)

    def _report_refused_drain(self, keyed: lookup.KeyedServer | None) -> None:
        # A server that does not check grants would run requests for a key that it no longer
        # owns if an instance with an outdated state sent them. Its keys are never moved.
        is_refused = keyed is not None and keyed.is_leaving and not keyed.policy.checks_grants
        if is_refused and not self._has_logged_refusal:
            logging.warning(
                "server %s is leaving but does not check grants; its keys are not moved",
                self._context.server_name,
            )
            reason = planned_moves.MoveRefusalReason.GRANTS_NOT_CHECKED.value
            self._context.counters.refused_moves.labels(reason).inc()
        self._has_logged_refusal = is_refused

    def _is_lessor(self, state: replicated.State) -> bool:
        server_state = state.servers.get(self._context.server_name)
        return server_state is not None and server_state.lessor == self._context.incarnation
