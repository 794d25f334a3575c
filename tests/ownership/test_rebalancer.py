"""Tests of the rebalancer service: lessor check, grant check and move budget."""

from __future__ import annotations

import dataclasses

import pyrsistent
import pytest

from goldcresthall.core import heat as core_heat
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import metrics
from goldcresthall.ownership import counters
from goldcresthall.ownership import heat
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import rebalancer
from goldcresthall.replication import state as replicated
from tests.fakes import clock
from tests.fakes import replica

OWN_INCARNATION = identity.Incarnation("entry-1", "one")
OTHER_INCARNATION = identity.Incarnation("entry-2", "two")
RATES = (30.0, 1.0, 1.0, 20.0, 1.0, 1.0)


def create_state(policy: preset.ServicePolicy, lessor: identity.Incarnation) -> replicated.State:
    servers = [server.name for server in policy.servers]
    owners = {
        replicated.PartitionId("archive", number): replicated.Ownership(
            servers[number % len(servers)], 1, "test", "test"
        )
        for number in range(policy.partitions)
    }
    return dataclasses.replace(
        replicated.State.create_empty(),
        next_offset=5,
        preset_in_force=replicated.PresetInForce(
            preset.Preset(name="day", services=(policy,)), 0, "test", "test"
        ),
        partitions=pyrsistent.pmap(owners),
        servers=pyrsistent.pmap({name: replicated.ServerState(lessor, 2, 2) for name in servers}),
    )


@dataclasses.dataclass
class RebalancerHarness:
    replica: replica.SettableReplica
    planned: planned_moves.PlannedMoves
    rebalancer: rebalancer.Rebalancer
    metrics: metrics.Metrics


@pytest.fixture
def harness(archive_policy: preset.ServicePolicy) -> RebalancerHarness:
    service_kernel = kernel.Kernel()
    fake_replica = replica.SettableReplica(create_state(archive_policy, OWN_INCARNATION))
    counter = heat.HeatCounter()
    measured = core_heat.ServiceHeat(
        service="archive",
        rate_per_s=sum(RATES),
        partitions=tuple(core_heat.PartitionHeat(*item) for item in enumerate(RATES)),
        keys=(core_heat.KeyHeat("molde", 0, 30.0),),
    )
    counter.update_peer_report("entry-3", core_heat.HeatReport((measured,)))
    metrics_service = metrics.Metrics()
    service_kernel.register(names.CLOCK, clock.ManualClock())
    service_kernel.register(names.METRICS, metrics_service)
    service_kernel.register(names.REPLICA, fake_replica)
    service_kernel.register(names.HEAT, counter)
    service_kernel.register(
        names.LEASE_COUNTERS, counters.LeaseCounters.from_config(service_kernel)
    )
    planned = planned_moves.PlannedMoves.from_config(service_kernel, OWN_INCARNATION)
    service_kernel.register(names.PLANNED_MOVES, planned)
    started = rebalancer.Rebalancer.from_config(service_kernel, OWN_INCARNATION)
    planned.start()
    started.start()
    started.stop()
    return RebalancerHarness(fake_replica, planned, started, metrics_service)


def test_lessor_of_the_most_loaded_server_requests_moves(harness: RebalancerHarness) -> None:
    harness.rebalancer.decide_once()
    requests = harness.planned.take("archive-1", 10)
    assert [request.partition.number for request in requests] == [3]
    assert requests[0].to_server != "archive-1"
    assert requests[0].reason == rebalancer.REBALANCE_REASON
    assert b'rebalance_moves_total{result="queued"} 1.0' in harness.metrics.render()


def test_servers_of_another_lessor_are_not_rebalanced(
    harness: RebalancerHarness, archive_policy: preset.ServicePolicy
) -> None:
    harness.replica.set_state(create_state(archive_policy, OTHER_INCARNATION))
    harness.rebalancer.decide_once()
    assert harness.planned.take("archive-1", 10) == ()


def test_servers_that_do_not_check_grants_are_not_rebalanced(
    harness: RebalancerHarness, archive_policy: preset.ServicePolicy
) -> None:
    unchecked = dataclasses.replace(archive_policy, checks_grants=False)
    harness.replica.set_state(create_state(unchecked, OWN_INCARNATION))
    harness.rebalancer.decide_once()
    assert harness.planned.take("archive-1", 10) == ()


def test_moves_beyond_the_budget_are_counted_and_not_queued(harness: RebalancerHarness) -> None:
    for _ in range(rebalancer.MOVES_PER_WINDOW + 3):
        harness.rebalancer.decide_once()
    assert len(harness.planned.take("archive-1", 100)) == rebalancer.MOVES_PER_WINDOW
    assert b'rebalance_moves_total{result="over_budget"} 3.0' in harness.metrics.render()


def test_budget_is_replenished_after_its_window() -> None:
    budget = rebalancer.MoveBudget(2, 60.0)
    assert [budget.take(now_s) for now_s in (0.0, 1.0, 2.0, 60.5, 60.6)] == [
        True,
        True,
        False,
        True,
        False,
    ]
