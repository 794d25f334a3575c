"""One server's keeper: the task that is its lessor, a candidate for it, or idle."""

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

IDLE_WAIT_S = 1.0


class LeaseManager:
    """Keeps one server: as its lessor, as a candidate to become it, or idle."""

    def __init__(self, service_kernel: kernel.Kernel, shared: lease_context.LeaseContext) -> None:
        self._shared = shared
        self._lessor = lessor_role.LessorRole(service_kernel, shared)
        self._candidate = candidate_role.CandidateRole(shared)
        self._is_retired = False
        self._has_ended = False
        self._has_refused = False

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
        """Return the keeper of one server."""
        shared = lease_context.LeaseContext.from_config(
            service_kernel, incarnation, instance_settings, server_name, wakeup.Wakeup()
        )
        return cls(service_kernel, shared)

    def wake(self) -> None:
        """End the keeper's present wait, as something that concerns it changed."""
        self._shared.wakeup.wake()

    def retire(self, *, is_retired: bool) -> None:
        """End the task once no move is pending, or go on as before.

        Another keeper of the same server would not know of a pending move, and would
        renew the lease that has to rest.
        """
        if is_retired != self._is_retired:
            self._is_retired = is_retired
            self.wake()

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """Keep the server until asked to stop, then hand the lessor's duty over."""
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
        state = self._shared.replica.state
        keyed = lookup.find_keyed_server(self._shared.server_name, state)
        if keyed is not None and self._is_lessor(state):
            handover.hand_over(self._shared, keyed, self._lessor.server_incarnation)

    def _step(self) -> None:
        state = self._shared.replica.state
        keyed = lookup.find_keyed_server(self._shared.server_name, state)
        if keyed is None or state.halted or not keyed.policy.checks_grants:
            self._lessor.leave()
            self._note_refusal(keyed)
            self._shared.wakeup.wait(IDLE_WAIT_S)
        elif self._is_lessor(state):
            self._lessor.step(keyed)
        else:
            self._lessor.leave()
            self._candidate.step(keyed)

    def _note_refusal(self, keyed: lookup.KeyedServer | None) -> None:
        # Nothing but the senders' own word would keep such a server from running work
        # for a key that another owns, so its keys stay where they are.
        refused = keyed is not None and keyed.is_leaving and not keyed.policy.checks_grants
        if refused and not self._has_refused:
            logging.warning(
                "server %s is leaving but does not check grants; its keys do not move",
                self._shared.server_name,
            )
            reason = planned_moves.MoveRefusalReason.GRANTS_NOT_CHECKED.value
            self._shared.counters.refused_moves.labels(reason).inc()
        self._has_refused = refused

    def _is_lessor(self, state: replicated.State) -> bool:
        known = state.servers.get(self._shared.server_name)
        return known is not None and known.lessor == self._shared.incarnation
