"""Ownership service: proposes owners for partitions without a usable owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import records
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import counters
from goldcresthall.ownership import lookup
from goldcresthall.ownership import placement
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import commits
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import preset
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.replication import state as replicated

MS_PER_S = 1_000
COMMIT_TIMEOUT_S = 5.0
STATE_POLL_INTERVAL_S = 1.0
PLACEMENT_REASON = "partitions had no owner that could serve them"


class OwnershipProposer(service.Service):
    """Proposes owners for partitions that have none, or whose owner never had a lessor.

    Each instance waits for a delay by its rank for the service, so that usually only one
    instance proposes.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        takeover_delay_ms: int,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._takeover_delay_s = takeover_delay_ms / MS_PER_S
        self._task = tasks.LoopTask("ownership", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        leases: settings.LeaseSettings,
    ) -> OwnershipProposer:
        """Return a proposer with the configured delay per rank."""
        return cls(service_kernel, incarnation, leases.takeover_delay_ms)

    def start(self) -> None:
        """Start watching for partitions without a usable owner."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._counters = self._kernel.find(names.LEASE_COUNTERS, counters.LeaseCounters)
        self._task.start()

    def stop(self) -> None:
        """Stop proposing."""
        self._task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        fully_placed: replicated.State | None = None
        while not stop_signal.is_set:
            state = self._replica.state
            if not lookup.has_same_ownership(state, fully_placed):
                fully_placed = state if _is_fully_placed(state) else None
                self._propose_placements(state, stop_signal)
            self._replica.wait_for_newer(state.next_offset, STATE_POLL_INTERVAL_S)

    def _propose_placements(self, state: replicated.State, stop_signal: tasks.StopSignal) -> None:
        if state.preset_in_force is None or state.halted:
            return
        for policy in state.preset_in_force.preset.services:
            if policy.keyed and _plan_moves(policy, state):
                stop_signal.wait(self._get_proposal_delay_s(policy))
                self._propose_placement(policy)

    def _get_proposal_delay_s(self, policy: preset.ServicePolicy) -> float:
        live = [entry.name for entry in self._list.listing.live]
        ranked = rendezvous.rank_names(policy.name, live)
        own_name = self._incarnation.name
        rank = ranked.index(own_name) if own_name in ranked else len(ranked)
        return rank * self._takeover_delay_s

    def _propose_placement(self, policy: preset.ServicePolicy) -> None:
        state = self._replica.state
        moves = _plan_moves(policy, state)
        if not moves:
            return
        record = records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=state.next_offset,
            author=str(self._incarnation),
            reason=PLACEMENT_REASON,
            decided_at=identity.format_utc_now(),
            moves=moves,
            lessor=self._incarnation,
            lessor_epoch=0,
        )
        outcome = self._replica.commit(record, COMMIT_TIMEOUT_S)
        logging.info("placement of unowned partitions of service %s: %s", policy.name, outcome)
        if isinstance(outcome, commits.CommitAccepted):
            self._counters.moves.labels(PLACEMENT_REASON).inc(len(moves))


def _is_fully_placed(state: replicated.State) -> bool:
    if state.preset_in_force is None:
        return False
    services = state.preset_in_force.preset.services
    return not any(policy.keyed and _plan_moves(policy, state) for policy in services)


def _plan_moves(
    policy: preset.ServicePolicy, state: replicated.State
) -> tuple[records.PartitionMove, ...]:
    return placement.plan_initial(policy, state) or placement.plan_orphaned(policy, state)
