"""Rebalancer service: submits load-based moves to the planned moves service."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

import prometheus_client
from absl import logging

from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.observability import metrics
from goldcresthall.ownership import heat
from goldcresthall.ownership import placement
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import rebalance_policy
from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from goldcresthall.core import heat as core_heat
    from goldcresthall.core import identity
    from goldcresthall.core import preset
    from goldcresthall.kernel import kernel

ROUND_INTERVAL_S = 10.0
BUDGET_WINDOW_S = 60.0
MOVES_PER_WINDOW = 12
REBALANCE_REASON = "server draws too much load"
# Servers do not fence hot key entries yet, so a key moves only with its partition.
REBALANCE_LIMITS = rebalance_policy.RebalanceLimits(min_hot_key_fraction=float("inf"))


class MoveBudget:
    """Limits the number of moves requested within a sliding time window."""

    def __init__(self, limit: int, window_s: float) -> None:
        self._limit = limit
        self._window_s = window_s
        self._taken_at_s: collections.deque[float] = collections.deque()

    def take(self, now_s: float) -> bool:
        """Consume one move of the budget; return whether one was available."""
        while self._taken_at_s and now_s - self._taken_at_s[0] >= self._window_s:
            self._taken_at_s.popleft()
        if len(self._taken_at_s) >= self._limit:
            return False
        self._taken_at_s.append(now_s)
        return True


class Rebalancer(service.Service):
    """Moves load away from the most loaded server if this instance is its lessor."""

    def __init__(self, service_kernel: kernel.Kernel, incarnation: identity.Incarnation) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._budget = MoveBudget(MOVES_PER_WINDOW, BUDGET_WINDOW_S)
        self._active: dict[str, bool] = {}
        self._task = tasks.LoopTask("rebalancer", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, incarnation: identity.Incarnation
    ) -> Rebalancer:
        """Return the rebalancer of an instance."""
        return cls(service_kernel, incarnation)

    def start(self) -> None:
        """Start the periodic rebalancing rounds."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)
        self._planned_moves = self._kernel.find(names.PLANNED_MOVES, planned_moves.PlannedMoves)
        registry = self._kernel.find(names.METRICS, metrics.Metrics).registry
        self._imbalance = prometheus_client.Gauge(
            "goldcresthall_load_imbalance",
            "Ratio of the maximum to the mean server load of a service, as seen by this instance.",
            ["service"],
            registry=registry,
        )
        self._move_counter = prometheus_client.Counter(
            "goldcresthall_rebalance_moves",
            "Load-based moves, by result of their request.",
            ["result"],
            registry=registry,
        )
        self._task.start()

    def stop(self) -> None:
        """Stop rebalancing."""
        self._task.stop()

    def decide_once(self) -> None:
        """Run one rebalancing round for each keyed service whose servers check grants."""
        state = self._replica.state
        if state.preset_in_force is None or state.halted:
            return
        report = self._heat.combine_reports()
        for policy in state.preset_in_force.preset.services:
            measured = report.find_service(policy.name)
            if policy.keyed and policy.checks_grants and measured is not None:
                self._rebalance_service(policy, measured, state)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(ROUND_INTERVAL_S):
            self.decide_once()

    def _rebalance_service(
        self,
        policy: preset.ServicePolicy,
        measured: core_heat.ServiceHeat,
        state: replicated.State,
    ) -> None:
        decision = rebalance_policy.decide_moves(
            create_layout(policy, state),
            measured,
            policy.partitions,
            REBALANCE_LIMITS,
            was_active=self._active.get(policy.name, False),
        )
        self._active[policy.name] = decision.is_active
        self._imbalance.labels(policy.name).set(decision.max_to_mean_ratio)
        for move in decision.moves:
            if self._is_lessor_of(move.from_server, state):
                self._submit_move(move, policy)

    def _is_lessor_of(self, server: str, state: replicated.State) -> bool:
        server_state = state.servers.get(server)
        return server_state is not None and server_state.lessor == self._incarnation

    def _submit_move(
        self, move: rebalance_policy.ProposedMove, policy: preset.ServicePolicy
    ) -> None:
        if not self._budget.take(self._clock.read_s()):
            self._move_counter.labels("over_budget").inc()
            return
        submission = self._planned_moves.submit(create_move_request(move, policy.name))
        is_queued = isinstance(submission, planned_moves.MoveQueued)
        self._move_counter.labels("queued" if is_queued else "refused").inc()
        logging.info("load-based move in service %s: %s: %s", policy.name, move, submission)


def create_layout(
    policy: preset.ServicePolicy, state: replicated.State
) -> rebalance_policy.OwnershipLayout:
    """Return the ownership of a service's partitions and hot keys in a state."""
    owners = {
        partition.number: owned.owner
        for partition, owned in state.partitions.items()
        if partition.service == policy.name
    }
    hot_key_owners = {
        key.key: owned.owner for key, owned in state.hot_keys.items() if key.service == policy.name
    }
    return rebalance_policy.OwnershipLayout(
        owners, hot_key_owners, placement.list_eligible(policy, state)
    )


@functools.singledispatch
def create_move_request(
    move: rebalance_policy.ProposedMove, service_name: str
) -> planned_moves.MoveRequest:
    """Return the move request for a proposed move."""
    raise NotImplementedError(type(move).__name__)


@create_move_request.register
def _(move: rebalance_policy.ProposedPartitionMove, service_name: str) -> planned_moves.MoveRequest:
    partition = replicated.PartitionId(service_name, move.partition)
    return planned_moves.MoveRequest(partition, move.to_server, REBALANCE_REASON)


@create_move_request.register
def _(move: rebalance_policy.ProposedKeyMove, service_name: str) -> planned_moves.MoveRequest:
    partition = replicated.PartitionId(service_name, move.partition)
    return planned_moves.MoveRequest(partition, move.to_server, REBALANCE_REASON)
