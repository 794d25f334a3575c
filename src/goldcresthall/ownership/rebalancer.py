"""The rebalancer service: hands moves by load to the instance's planned moves."""

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

ROUND_S = 10.0
BUDGET_WINDOW_S = 60.0
MOVES_PER_WINDOW = 12
REASON = "server draws too much load"
# A key's entry of its own is not fenced at the servers yet, so keys go with their partition.
LIMITS = rebalance_policy.RebalanceLimits(min_hot_key_fraction=float("inf"))


class MoveBudget:
    """Bounds how many moves are asked for within a window of time."""

    def __init__(self, limit: int, window_s: float) -> None:
        self._limit = limit
        self._window_s = window_s
        self._taken_at_s: collections.deque[float] = collections.deque()

    def take(self, now_s: float) -> bool:
        """Take one move from the budget; return whether there was one left."""
        while self._taken_at_s and now_s - self._taken_at_s[0] >= self._window_s:
            self._taken_at_s.popleft()
        if len(self._taken_at_s) >= self._limit:
            return False
        self._taken_at_s.append(now_s)
        return True


class Rebalancer(service.Service):
    """Lightens the most loaded server, if this instance is its lessor."""

    def __init__(self, service_kernel: kernel.Kernel, incarnation: identity.Incarnation) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._budget = MoveBudget(MOVES_PER_WINDOW, BUDGET_WINDOW_S)
        self._active: dict[str, bool] = {}
        self._task = tasks.Task("rebalancer", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, incarnation: identity.Incarnation
    ) -> Rebalancer:
        """Return the rebalancer of an instance."""
        return cls(service_kernel, incarnation)

    def start(self) -> None:
        """Begin to decide, a round at a time."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._heat = self._kernel.find(names.HEAT, heat.HeatCounter)
        self._planned = self._kernel.find(names.PLANNED_MOVES, planned_moves.PlannedMoves)
        registry = self._kernel.find(names.METRICS, metrics.Metrics).registry
        self._imbalance = prometheus_client.Gauge(
            "goldcresthall_load_imbalance",
            "Largest over mean load of a service's servers, as this instance sees it.",
            ["service"],
            registry=registry,
        )
        self._wished = prometheus_client.Counter(
            "goldcresthall_rebalance_moves",
            "Moves by load that were decided, by what became of them.",
            ["result"],
            registry=registry,
        )
        self._task.start()

    def stop(self) -> None:
        """Stop deciding."""
        self._task.stop()

    def decide_once(self) -> None:
        """Decide one round for each keyed service whose servers check grants."""
        state = self._replica.state
        if state.preset_in_force is None or state.halted:
            return
        report = self._heat.combine_reports()
        for policy in state.preset_in_force.preset.services:
            measured = report.find_service(policy.name)
            if policy.keyed and policy.checks_grants and measured is not None:
                self._decide_for(policy, measured, state)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(ROUND_S):
            self.decide_once()

    def _decide_for(
        self,
        policy: preset.ServicePolicy,
        measured: core_heat.ServiceHeat,
        state: replicated.State,
    ) -> None:
        decision = rebalance_policy.decide_moves(
            create_layout(policy, state),
            measured,
            policy.partitions,
            LIMITS,
            was_active=self._active.get(policy.name, False),
        )
        self._active[policy.name] = decision.is_active
        self._imbalance.labels(policy.name).set(decision.max_to_mean_ratio)
        for shift in decision.moves:
            if self._is_lessor_of(shift.from_server, state):
                self._ask_for(shift, policy)

    def _is_lessor_of(self, server: str, state: replicated.State) -> bool:
        known = state.servers.get(server)
        return known is not None and known.lessor == self._incarnation

    def _ask_for(self, shift: rebalance_policy.ProposedMove, policy: preset.ServicePolicy) -> None:
        if not self._budget.take(self._clock.read_s()):
            self._wished.labels("over_budget").inc()
            return
        answer = self._planned.submit(create_move_request(shift, policy.name))
        queued = isinstance(answer, planned_moves.MoveQueued)
        self._wished.labels("queued" if queued else "refused").inc()
        logging.info("move by load of %s: %s: %s", policy.name, shift, answer)


def create_layout(
    policy: preset.ServicePolicy, state: replicated.State
) -> rebalance_policy.OwnershipLayout:
    """Return who owns what of a service, as a state says."""
    owners = {
        partition.number: owned.owner
        for partition, owned in state.partitions.items()
        if partition.service == policy.name
    }
    alone = {
        key.key: owned.owner for key, owned in state.hot_keys.items() if key.service == policy.name
    }
    return rebalance_policy.OwnershipLayout(owners, alone, placement.list_eligible(policy, state))


@functools.singledispatch
def create_move_request(
    shift: rebalance_policy.ProposedMove, service_name: str
) -> planned_moves.MoveRequest:
    """Return the wish for a move, by the kind of move."""
    raise NotImplementedError(type(shift).__name__)


@create_move_request.register
def _(
    shift: rebalance_policy.ProposedPartitionMove, service_name: str
) -> planned_moves.MoveRequest:
    partition = replicated.PartitionId(service_name, shift.partition)
    return planned_moves.MoveRequest(partition, shift.to_server, REASON)


@create_move_request.register
def _(shift: rebalance_policy.ProposedKeyMove, service_name: str) -> planned_moves.MoveRequest:
    partition = replicated.PartitionId(service_name, shift.partition)
    return planned_moves.MoveRequest(partition, shift.to_server, REASON)
