"""Tests of lease managers: interleavings with servers and the log.

Each test guards against two owners of a partition at the same time, or against a partition
without an owner for longer than the failure requires.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import move_cancellations
from goldcresthall.core import records
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import revocation
from tests.fakes import lease_simulation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import leases

FIRST_SERVER = "archive-1"
SECOND_SERVER = "archive-2"
LEASE_S = 0.6
TAKEOVER_LIMIT_S = 1.5
AUTHORITY_S = lease_simulation.LEASES.authority_s


@pytest.fixture
def simulation() -> Iterator[lease_simulation.LeaseSimulation]:
    created = lease_simulation.create_simulation(seed=1)
    created.run_for(2.0)
    assert count_held_partitions(created) == 4
    yield created
    created.end()


def count_held_partitions(simulation: lease_simulation.LeaseSimulation) -> int:
    return len(simulation.list_holding_servers())


def count_partitions_held_by(simulation: lease_simulation.LeaseSimulation, server: str) -> int:
    return sum(server in held for held in simulation.list_holding_servers().values())


def sum_counter(simulation: lease_simulation.LeaseSimulation, name: str, **labels: str) -> float:
    return sum(item.read_counter(name, **labels) for item in simulation.instances.values())


def list_other_instances(simulation: lease_simulation.LeaseSimulation, instance: str) -> list[str]:
    return [name for name in simulation.instances if name != instance]


def disconnect_other_instances(
    simulation: lease_simulation.LeaseSimulation, instance: str, target: str
) -> None:
    simulation.broken_links |= {
        (name, target) for name in list_other_instances(simulation, instance)
    }


def find_affected_server(record: records.Record) -> str:
    if isinstance(record, records.PartitionsMoved):
        return record.lost_server
    return record.server if isinstance(record, move_cancellations.MoveCancelled) else ""


def begin_work(simulation: lease_simulation.LeaseSimulation, server: str) -> leases.Grant:
    grant = min(simulation.lease_holders[server]._granted, key=lambda item: item.partition)
    assert simulation.lease_holders[server].begin(grant)
    return grant


def test_lost_server_loses_its_partitions_and_is_marked_returned(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.frozen.add(FIRST_SERVER)
    simulation.run_for(1.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4
    assert simulation.state.servers[FIRST_SERVER].lost
    assert sum_counter(simulation, "lost_servers") == 1
    assert sum_counter(simulation, "moved_partitions", reason="lease ran out") == 2
    simulation.frozen.clear()
    simulation.run_for(4.0)
    assert not simulation.state.servers[FIRST_SERVER].lost
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_renewal_delivered_after_a_server_pause_has_expired(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.frozen.add(FIRST_SERVER)
    buffered: list[lease_simulation.LeaseCall] = []
    while not buffered:
        simulation.run_for(lease_simulation.STEP_S)
        buffered = [
            call for call in simulation.calls if call.server == FIRST_SERVER and call.renewal
        ]
    simulation.run_for(1.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4
    for call in buffered:
        simulation.deliver_request(call)
        simulation.check()


def test_failed_lessor_is_replaced_without_partition_moves(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    before = simulation.state.partitions
    simulation.frozen.add(lessor)
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert simulation.find_lessor(FIRST_SERVER) != lessor
    assert count_held_partitions(simulation) == 4
    simulation.frozen.clear()
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert simulation.find_lessor(FIRST_SERVER) != lessor
    assert simulation.state.partitions == before


def test_lessor_paused_before_its_authority_check_does_not_renew(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    simulation.frozen.add(lessor)
    simulation.run_for(AUTHORITY_S + TAKEOVER_LIMIT_S)
    epoch = simulation.lease_holders[FIRST_SERVER].report().lessor_epoch
    simulation.run_actor(simulation.instances[lessor].actors[FIRST_SERVER])
    for call in [call for call in simulation.calls if call.instance == lessor]:
        if call.report is None:
            simulation.deliver_request(call)
    simulation.check()
    assert simulation.lease_holders[FIRST_SERVER].report().lessor_epoch == epoch


def test_lessor_disconnected_from_the_log_renews_until_its_authority_expires(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    epoch = simulation.state.servers[FIRST_SERVER].epoch
    simulation.broken_links.add((lessor, "log"))
    simulation.run_for(AUTHORITY_S - 0.5)
    assert count_held_partitions(simulation) == 4
    assert simulation.state.servers[FIRST_SERVER].epoch == epoch
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert simulation.find_lessor(FIRST_SERVER) != lessor
    assert count_held_partitions(simulation) == 4


def test_log_outage_within_the_authority_moves_no_partition(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    entries = len(simulation.log)
    simulation.broken_links |= {(name, "log") for name in simulation.instances}
    for _ in range(10):
        simulation.run_for((AUTHORITY_S - 0.3) / 10)
        assert count_held_partitions(simulation) == 4
    assert len(simulation.log) == entries


def test_partitions_of_server_lost_with_its_lessor_move_after_the_authority_expires(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    simulation.frozen |= {FIRST_SERVER, lessor}
    simulation.run_for(AUTHORITY_S)
    assert count_partitions_held_by(simulation, SECOND_SERVER) < 4
    simulation.run_for(AUTHORITY_S + 2.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_lessor_behind_the_log_is_replaced_when_its_server_is_lost(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    simulation.frozen.add(FIRST_SERVER)
    simulation.broken_links.add((lessor, "log"))
    simulation.publish(simulation.list_servers())
    simulation.run_for(0.1)
    simulation.outbox.clear()
    simulation.run_for(2 * AUTHORITY_S + 3.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_candidates_disconnected_from_a_server_do_not_replace_its_lessor(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    epoch = simulation.state.servers[FIRST_SERVER].epoch
    disconnect_other_instances(simulation, simulation.find_lessor(FIRST_SERVER), FIRST_SERVER)
    simulation.run_for(6.0)
    assert simulation.state.servers[FIRST_SERVER].epoch == epoch
    assert count_held_partitions(simulation) == 4


def test_one_of_two_concurrent_takeovers_wins(simulation: lease_simulation.LeaseSimulation) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    others = list_other_instances(simulation, lessor)
    simulation.frozen.add(lessor)
    simulation.broken_links |= {(name, "log") for name in others}
    simulation.run_for(1.4)
    appointments = [
        (name, record)
        for name, record in simulation.outbox
        if isinstance(record, records.LessorsAppointed) and record.choices[0].server == FIRST_SERVER
    ]
    assert {name for name, _ in appointments} == set(others)
    simulation.broken_links.clear()
    simulation.run_for(0.5)
    assert count_held_partitions(simulation) == 4
    assert simulation.find_lessor(FIRST_SERVER) == appointments[0][0]


def test_server_refuses_previous_lessor_once_it_knows_the_successor(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    simulation.broken_links.add((lessor, "log"))
    simulation.appoint(FIRST_SERVER, list_other_instances(simulation, lessor)[0])
    simulation.run_for(0.3)
    disconnect_other_instances(simulation, lessor, FIRST_SERVER)
    simulation.run_for(LEASE_S + TAKEOVER_LIMIT_S)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_restarted_server_is_not_renewed_by_a_fenced_lessor(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    successor = list_other_instances(simulation, lessor)[0]
    simulation.broken_links.add((lessor, "log"))
    simulation.appoint(FIRST_SERVER, successor)
    simulation.run_for(0.3)
    assert (
        simulation.lease_holders[FIRST_SERVER].report().lessor_epoch
        == simulation.state.servers[FIRST_SERVER].epoch
    )
    disconnect_other_instances(simulation, lessor, FIRST_SERVER)
    simulation.restart_server(FIRST_SERVER)
    simulation.run_for(LEASE_S + TAKEOVER_LIMIT_S)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_partitions_move_only_after_a_lease_of_the_previous_lessor_expires(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    successor = list_other_instances(simulation, lessor)[0]
    disconnect_other_instances(simulation, lessor, FIRST_SERVER)
    simulation.broken_links.add((lessor, "log"))
    simulation.appoint(FIRST_SERVER, successor)
    simulation.run_for(AUTHORITY_S - 0.5)
    assert count_partitions_held_by(simulation, FIRST_SERVER) > 0
    simulation.run_for(AUTHORITY_S + 2.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


@pytest.mark.parametrize("first", [records.PartitionsMoved, move_cancellations.MoveCancelled])
def test_first_logged_of_a_pending_move_and_its_cancellation_wins(
    simulation: lease_simulation.LeaseSimulation, first: type[records.Record]
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    owned = count_partitions_held_by(simulation, FIRST_SERVER)
    simulation.frozen |= {FIRST_SERVER, *list_other_instances(simulation, lessor)}
    simulation.run_for(0.2)
    simulation.broken_links.add((lessor, "log"))
    simulation.run_for(0.8)
    simulation.frozen.discard(FIRST_SERVER)
    simulation.run_for(4.0)
    assert count_partitions_held_by(simulation, FIRST_SERVER) == 0
    pending = [item for item in simulation.outbox if find_affected_server(item[1]) == FIRST_SERVER]
    assert {type(record) for _, record in pending} == {
        records.PartitionsMoved,
        move_cancellations.MoveCancelled,
    }
    simulation.outbox = sorted(pending, key=lambda item: type(item[1]) is not first)
    simulation.broken_links.clear()
    simulation.frozen.clear()
    simulation.run_for(1.0)
    expected = owned if first is move_cancellations.MoveCancelled else 0
    assert count_partitions_held_by(simulation, FIRST_SERVER) == expected
    assert count_held_partitions(simulation) == 4


def test_draining_server_loses_its_partitions_without_being_lost(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.publish(simulation.list_servers(draining=FIRST_SERVER))
    simulation.run_for(1.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4
    assert not simulation.state.servers[FIRST_SERVER].lost


def test_removed_server_loses_its_partitions_without_being_lost(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.publish(
        tuple(item for item in simulation.list_servers() if item.name != FIRST_SERVER)
    )
    simulation.run_for(1.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4
    assert not simulation.state.servers[FIRST_SERVER].lost


def test_partition_moves_only_after_its_running_work_finishes(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    grant = begin_work(simulation, FIRST_SERVER)
    simulation.publish(simulation.list_servers(draining=FIRST_SERVER))
    simulation.run_for(2.0)
    assert simulation.lease_holders[FIRST_SERVER].holds(grant)
    assert not simulation.lease_holders[FIRST_SERVER].begin(grant)
    assert count_partitions_held_by(simulation, SECOND_SERVER) < 4
    simulation.lease_holders[FIRST_SERVER].end(grant)
    simulation.run_for(1.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_move_is_withdrawn_when_work_exceeds_the_finish_timeout(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    begin_work(simulation, FIRST_SERVER)
    owned = count_partitions_held_by(simulation, FIRST_SERVER)
    simulation.publish(simulation.list_servers(draining=FIRST_SERVER))
    simulation.run_for(revocation.WORK_FINISH_TIMEOUT_S + 1.0)
    assert count_partitions_held_by(simulation, FIRST_SERVER) == owned
    begin_work(simulation, FIRST_SERVER)


def test_requested_move_is_queued_and_executed_by_the_lessor_only(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    partition = next(
        key for key, owned in simulation.state.partitions.items() if owned.owner == FIRST_SERVER
    )
    request = planned_moves.MoveRequest(partition, SECOND_SERVER, "hot")
    submissions = {
        name: item.planned.submit(request) for name, item in simulation.instances.items()
    }
    assert submissions.pop(lessor) == planned_moves.MoveQueued(FIRST_SERVER)
    assert all(
        isinstance(submission, planned_moves.MoveRefused) for submission in submissions.values()
    )
    simulation.run_for(0.6)
    moved = simulation.state.partitions[partition]
    assert (moved.owner, moved.reason) == (SECOND_SERVER, "hot")
    assert count_held_partitions(simulation) == 4


def test_stopping_instance_hands_lessor_role_over_without_a_lease_gap(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    epoch = simulation.state.servers[FIRST_SERVER].epoch
    for signal in simulation.instances[lessor].stop_signals.values():
        signal.set()
    for wakeup in simulation.instances[lessor].wakeups:
        wakeup.wake()
    for _ in range(10):
        simulation.run_for(0.1)
        assert count_held_partitions(simulation) == 4
    assert simulation.find_lessor(FIRST_SERVER) != lessor
    assert simulation.state.servers[FIRST_SERVER].epoch > epoch


def test_restarted_server_gets_its_grants_back_within_one_lease(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    owned = count_partitions_held_by(simulation, FIRST_SERVER)
    simulation.restart_server(FIRST_SERVER)
    simulation.run_for(LEASE_S)
    assert count_partitions_held_by(simulation, FIRST_SERVER) == owned
    assert not simulation.state.servers[FIRST_SERVER].lost


def test_partitions_move_only_after_a_lease_with_lost_response_expires(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    simulation.broken_links |= {(name, FIRST_SERVER) for name in simulation.instances}
    sent: list[lease_simulation.LeaseCall] = []
    while not sent:
        simulation.run_for(lease_simulation.STEP_S)
        sent = [call for call in simulation.calls if call.instance == lessor and call.renewal]
    simulation.deliver_request(sent[0])
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_lessor_paused_during_its_first_query_does_not_renew_after_replacement(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    disconnect_other_instances(simulation, lessor, FIRST_SERVER)
    simulation.appoint(FIRST_SERVER, lessor)
    queries: list[lease_simulation.LeaseCall] = []
    while not queries:
        simulation.run_for(lease_simulation.STEP_S)
        queries = [
            call
            for call in simulation.calls
            if (call.instance, call.server, call.renewal) == (lessor, FIRST_SERVER, None)
        ]
    simulation.frozen.add(lessor)
    simulation.appoint(FIRST_SERVER, list_other_instances(simulation, lessor)[0])
    simulation.run_for(2 * AUTHORITY_S + 2.0)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4
    simulation.instances[lessor].replica.begin_read()
    simulation.instances[lessor].replica.finish_read()
    simulation.deliver_request(queries[0])
    simulation.deliver_response(queries[0])
    simulation.run_actor(simulation.instances[lessor].actors[FIRST_SERVER])
    for call in [call for call in simulation.calls if call.instance == lessor]:
        simulation.deliver_request(call)
    simulation.check()


def test_lessor_that_does_not_deliver_new_grants_is_replaced(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(SECOND_SERVER)
    if lessor == simulation.find_lessor(FIRST_SERVER):
        simulation.appoint(FIRST_SERVER, list_other_instances(simulation, lessor)[0])
        simulation.run_for(0.3)
    simulation.broken_links.add((lessor, "log"))
    simulation.frozen.add(FIRST_SERVER)
    simulation.run_for(0.6 + TAKEOVER_LIMIT_S)
    assert simulation.find_lessor(SECOND_SERVER) != lessor
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_retired_lease_manager_ends_only_when_no_move_is_pending(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    manager = simulation.instances[lessor].lease_managers[FIRST_SERVER]
    simulation.frozen |= {FIRST_SERVER, *list_other_instances(simulation, lessor)}
    simulation.run_for(0.2)
    simulation.broken_links.add((lessor, "log"))
    simulation.run_for(0.8)
    manager.retire(is_retired=True)
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert not manager.has_ended
    simulation.broken_links.clear()
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert manager.has_ended


def test_partitions_move_soon_when_a_server_is_lost_right_after_its_restart(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST_SERVER)
    disconnect_other_instances(simulation, lessor, FIRST_SERVER)
    epoch = simulation.state.servers[FIRST_SERVER].epoch
    simulation.restart_server(FIRST_SERVER)
    while simulation.state.servers[FIRST_SERVER].epoch == epoch:
        simulation.run_for(lease_simulation.STEP_S)
    simulation.frozen.add(FIRST_SERVER)
    simulation.run_for(TAKEOVER_LIMIT_S)
    assert count_partitions_held_by(simulation, SECOND_SERVER) == 4


def test_draining_server_that_does_not_check_grants_keeps_its_partitions(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    before = simulation.state.partitions
    simulation.publish(simulation.list_servers(draining=FIRST_SERVER), checks_grants=False)
    simulation.run_for(3.0)
    assert simulation.state.partitions == before
    assert sum_counter(simulation, "refused_moves", reason="grants_not_checked") > 0
