"""Interleavings of keepers, servers and the log that would make two owners, or none."""

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

FIRST = "archive-1"
SECOND = "archive-2"
LEASE_S = 0.6
TAKEOVER_S = 1.5
AUTHORITY_S = lease_simulation.LEASES.authority_s


@pytest.fixture
def simulation() -> Iterator[lease_simulation.LeaseSimulation]:
    created = lease_simulation.create_simulation(seed=1)
    created.run_for(2.0)
    assert count_held(created) == 4
    yield created
    created.end()


def count_held(simulation: lease_simulation.LeaseSimulation) -> int:
    return len(simulation.list_holding_servers())


def count_held_by(simulation: lease_simulation.LeaseSimulation, server: str) -> int:
    return sum(server in held for held in simulation.list_holding_servers().values())


def sum_counter(simulation: lease_simulation.LeaseSimulation, name: str, **labels: str) -> float:
    return sum(item.read_counter(name, **labels) for item in simulation.instances.values())


def list_others(simulation: lease_simulation.LeaseSimulation, instance: str) -> list[str]:
    return [name for name in simulation.instances if name != instance]


def cut_others(simulation: lease_simulation.LeaseSimulation, instance: str, target: str) -> None:
    simulation.broken_links |= {(name, target) for name in list_others(simulation, instance)}


def find_subject(record: records.Record) -> str:
    if isinstance(record, records.PartitionsMoved):
        return record.lost_server
    return record.server if isinstance(record, move_cancellations.MoveCancelled) else ""


def take_grant(simulation: lease_simulation.LeaseSimulation, server: str) -> leases.Grant:
    grant = min(simulation.lease_holders[server]._granted, key=lambda item: item.partition)
    assert simulation.lease_holders[server].begin(grant)
    return grant


def test_lost_server_gives_its_partitions_up_and_returns(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.frozen.add(FIRST)
    simulation.run_for(1.0)
    assert count_held_by(simulation, SECOND) == 4
    assert simulation.state.servers[FIRST].lost
    assert sum_counter(simulation, "lost_servers") == 1
    assert sum_counter(simulation, "moved_partitions", reason="lease ran out") == 2
    simulation.frozen.clear()
    simulation.run_for(4.0)
    assert not simulation.state.servers[FIRST].lost
    assert count_held_by(simulation, SECOND) == 4


def test_renewal_read_by_a_server_that_wakes_has_expired(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.frozen.add(FIRST)
    buffered: list[lease_simulation.LeaseCall] = []
    while not buffered:
        simulation.run_for(lease_simulation.STEP_S)
        buffered = [call for call in simulation.calls if call.server == FIRST and call.renewal]
    simulation.run_for(1.0)
    assert count_held_by(simulation, SECOND) == 4
    for call in buffered:
        simulation.deliver_request(call)
        simulation.check()


def test_lost_lessor_is_replaced_and_nothing_moves(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    before = simulation.state.partitions
    simulation.frozen.add(lessor)
    simulation.run_for(TAKEOVER_S)
    assert simulation.find_lessor(FIRST) != lessor
    assert count_held(simulation) == 4
    simulation.frozen.clear()
    simulation.run_for(TAKEOVER_S)
    assert simulation.find_lessor(FIRST) != lessor
    assert simulation.state.partitions == before


def test_lessor_that_wakes_before_its_check_renews_nothing(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    simulation.frozen.add(lessor)
    simulation.run_for(AUTHORITY_S + TAKEOVER_S)
    epoch = simulation.lease_holders[FIRST].report().lessor_epoch
    simulation.run_actor(simulation.instances[lessor].actors[FIRST])
    for call in [call for call in simulation.calls if call.instance == lessor]:
        if call.report is None:
            simulation.deliver_request(call)
    simulation.check()
    assert simulation.lease_holders[FIRST].report().lessor_epoch == epoch


def test_lessor_cut_from_the_log_renews_until_its_authority_ends(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    epoch = simulation.state.servers[FIRST].epoch
    simulation.broken_links.add((lessor, "log"))
    simulation.run_for(AUTHORITY_S - 0.5)
    assert count_held(simulation) == 4
    assert simulation.state.servers[FIRST].epoch == epoch
    simulation.run_for(TAKEOVER_S)
    assert simulation.find_lessor(FIRST) != lessor
    assert count_held(simulation) == 4


def test_log_outage_moves_nothing_and_service_goes_on(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    entries = len(simulation.log)
    simulation.broken_links |= {(name, "log") for name in simulation.instances}
    for _ in range(10):
        simulation.run_for((AUTHORITY_S - 0.3) / 10)
        assert count_held(simulation) == 4
    assert len(simulation.log) == entries


def test_loss_of_server_and_lessor_together_waits_for_the_authority(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    simulation.frozen |= {FIRST, lessor}
    simulation.run_for(AUTHORITY_S)
    assert count_held_by(simulation, SECOND) < 4
    simulation.run_for(AUTHORITY_S + 2.0)
    assert count_held_by(simulation, SECOND) == 4


def test_lessor_that_cannot_follow_the_log_is_replaced_when_its_server_is_lost(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    simulation.frozen.add(FIRST)
    simulation.broken_links.add((lessor, "log"))
    simulation.publish(simulation.list_servers())
    simulation.run_for(0.1)
    simulation.outbox.clear()
    simulation.run_for(2 * AUTHORITY_S + 3.0)
    assert count_held_by(simulation, SECOND) == 4


def test_candidates_cut_from_a_server_leave_it_to_its_lessor(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    epoch = simulation.state.servers[FIRST].epoch
    cut_others(simulation, simulation.find_lessor(FIRST), FIRST)
    simulation.run_for(6.0)
    assert simulation.state.servers[FIRST].epoch == epoch
    assert count_held(simulation) == 4


def test_both_of_two_candidates_take_over_and_one_wins(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    others = list_others(simulation, lessor)
    simulation.frozen.add(lessor)
    simulation.broken_links |= {(name, "log") for name in others}
    simulation.run_for(1.4)
    wishes = [
        (name, record)
        for name, record in simulation.outbox
        if isinstance(record, records.LessorsAppointed) and record.choices[0].server == FIRST
    ]
    assert {name for name, _ in wishes} == set(others)
    simulation.broken_links.clear()
    simulation.run_for(0.5)
    assert count_held(simulation) == 4
    assert simulation.find_lessor(FIRST) == wishes[0][0]


def test_server_refuses_the_lessor_before_once_it_knows_the_successor(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    simulation.broken_links.add((lessor, "log"))
    simulation.appoint(FIRST, list_others(simulation, lessor)[0])
    simulation.run_for(0.3)
    cut_others(simulation, lessor, FIRST)
    simulation.run_for(LEASE_S + TAKEOVER_S)
    assert count_held_by(simulation, SECOND) == 4


def test_restarted_server_is_not_renewed_by_a_lessor_it_has_refused(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    successor = list_others(simulation, lessor)[0]
    simulation.broken_links.add((lessor, "log"))
    simulation.appoint(FIRST, successor)
    simulation.run_for(0.3)
    assert (
        simulation.lease_holders[FIRST].report().lessor_epoch
        == simulation.state.servers[FIRST].epoch
    )
    cut_others(simulation, lessor, FIRST)
    simulation.restart_server(FIRST)
    simulation.run_for(LEASE_S + TAKEOVER_S)
    assert count_held_by(simulation, SECOND) == 4


def test_lease_of_the_lessor_before_is_waited_out(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    successor = list_others(simulation, lessor)[0]
    cut_others(simulation, lessor, FIRST)
    simulation.broken_links.add((lessor, "log"))
    simulation.appoint(FIRST, successor)
    simulation.run_for(AUTHORITY_S - 0.5)
    assert count_held_by(simulation, FIRST) > 0
    simulation.run_for(AUTHORITY_S + 2.0)
    assert count_held_by(simulation, SECOND) == 4


@pytest.mark.parametrize("first", [records.PartitionsMoved, move_cancellations.MoveCancelled])
def test_first_of_a_held_move_and_its_cancellation_wins(
    simulation: lease_simulation.LeaseSimulation, first: type[records.Record]
) -> None:
    lessor = simulation.find_lessor(FIRST)
    owned = count_held_by(simulation, FIRST)
    simulation.frozen |= {FIRST, *list_others(simulation, lessor)}
    simulation.run_for(0.2)
    simulation.broken_links.add((lessor, "log"))
    simulation.run_for(0.8)
    simulation.frozen.discard(FIRST)
    simulation.run_for(4.0)
    assert count_held_by(simulation, FIRST) == 0
    held = [item for item in simulation.outbox if find_subject(item[1]) == FIRST]
    assert {type(record) for _, record in held} == {
        records.PartitionsMoved,
        move_cancellations.MoveCancelled,
    }
    simulation.outbox = sorted(held, key=lambda item: type(item[1]) is not first)
    simulation.broken_links.clear()
    simulation.frozen.clear()
    simulation.run_for(1.0)
    expected = owned if first is move_cancellations.MoveCancelled else 0
    assert count_held_by(simulation, FIRST) == expected
    assert count_held(simulation) == 4


def test_draining_server_loses_its_partitions_with_no_gap_in_the_rest(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    simulation.publish(simulation.list_servers(draining=FIRST))
    simulation.run_for(1.0)
    assert count_held_by(simulation, SECOND) == 4
    assert not simulation.state.servers[FIRST].lost


def test_removed_server_loses_its_partitions(simulation: lease_simulation.LeaseSimulation) -> None:
    simulation.publish(tuple(item for item in simulation.list_servers() if item.name != FIRST))
    simulation.run_for(1.0)
    assert count_held_by(simulation, SECOND) == 4
    assert not simulation.state.servers[FIRST].lost


def test_running_work_finishes_before_its_partition_moves(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    grant = take_grant(simulation, FIRST)
    simulation.publish(simulation.list_servers(draining=FIRST))
    simulation.run_for(2.0)
    assert simulation.lease_holders[FIRST].holds(grant)
    assert not simulation.lease_holders[FIRST].begin(grant)
    assert count_held_by(simulation, SECOND) < 4
    simulation.lease_holders[FIRST].end(grant)
    simulation.run_for(1.0)
    assert count_held_by(simulation, SECOND) == 4


def test_move_is_withdrawn_when_work_takes_too_long(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    take_grant(simulation, FIRST)
    owned = count_held_by(simulation, FIRST)
    simulation.publish(simulation.list_servers(draining=FIRST))
    simulation.run_for(revocation.FINISH_LIMIT_S + 1.0)
    assert count_held_by(simulation, FIRST) == owned
    take_grant(simulation, FIRST)


def test_wished_move_is_made_by_the_lessor_alone(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    partition = next(
        key for key, owned in simulation.state.partitions.items() if owned.owner == FIRST
    )
    wish = planned_moves.MoveRequest(partition, SECOND, "hot")
    answers = {name: item.planned.submit(wish) for name, item in simulation.instances.items()}
    assert answers.pop(lessor) == planned_moves.MoveQueued(FIRST)
    assert all(isinstance(answer, planned_moves.MoveRefused) for answer in answers.values())
    simulation.run_for(0.6)
    moved = simulation.state.partitions[partition]
    assert (moved.owner, moved.reason) == (SECOND, "hot")
    assert count_held(simulation) == 4


def test_instance_that_ends_hands_over_with_no_gap(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    epoch = simulation.state.servers[FIRST].epoch
    for signal in simulation.instances[lessor].stop_signals.values():
        signal.set()
    for woken in simulation.instances[lessor].wakeups:
        woken.wake()
    for _ in range(10):
        simulation.run_for(0.1)
        assert count_held(simulation) == 4
    assert simulation.find_lessor(FIRST) != lessor
    assert simulation.state.servers[FIRST].epoch > epoch


def test_restarted_server_is_served_again_soon(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    owned = count_held_by(simulation, FIRST)
    simulation.restart_server(FIRST)
    simulation.run_for(LEASE_S)
    assert count_held_by(simulation, FIRST) == owned
    assert not simulation.state.servers[FIRST].lost


def test_renewal_whose_answer_is_lost_is_waited_out(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    simulation.broken_links |= {(name, FIRST) for name in simulation.instances}
    sent: list[lease_simulation.LeaseCall] = []
    while not sent:
        simulation.run_for(lease_simulation.STEP_S)
        sent = [call for call in simulation.calls if call.instance == lessor and call.renewal]
    simulation.deliver_request(sent[0])
    simulation.run_for(TAKEOVER_S)
    assert count_held_by(simulation, SECOND) == 4


def test_lessor_that_asks_frozen_and_wakes_to_an_answer_renews_nothing(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    cut_others(simulation, lessor, FIRST)
    simulation.appoint(FIRST, lessor)
    asked: list[lease_simulation.LeaseCall] = []
    while not asked:
        simulation.run_for(lease_simulation.STEP_S)
        asked = [
            call
            for call in simulation.calls
            if (call.instance, call.server, call.renewal) == (lessor, FIRST, None)
        ]
    simulation.frozen.add(lessor)
    simulation.appoint(FIRST, list_others(simulation, lessor)[0])
    simulation.run_for(2 * AUTHORITY_S + 2.0)
    assert count_held_by(simulation, SECOND) == 4
    simulation.instances[lessor].replica.begin_read()
    simulation.instances[lessor].replica.finish_read()
    simulation.deliver_request(asked[0])
    simulation.deliver_response(asked[0])
    simulation.run_actor(simulation.instances[lessor].actors[FIRST])
    for call in [call for call in simulation.calls if call.instance == lessor]:
        simulation.deliver_request(call)
    simulation.check()


def test_lessor_that_does_not_pass_new_grants_on_is_replaced(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(SECOND)
    if lessor == simulation.find_lessor(FIRST):
        simulation.appoint(FIRST, list_others(simulation, lessor)[0])
        simulation.run_for(0.3)
    simulation.broken_links.add((lessor, "log"))
    simulation.frozen.add(FIRST)
    simulation.run_for(0.6 + TAKEOVER_S)
    assert simulation.find_lessor(SECOND) != lessor
    assert count_held_by(simulation, SECOND) == 4


def test_keeper_ends_only_when_no_move_is_pending(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    ending = simulation.instances[lessor].lease_managers[FIRST]
    simulation.frozen |= {FIRST, *list_others(simulation, lessor)}
    simulation.run_for(0.2)
    simulation.broken_links.add((lessor, "log"))
    simulation.run_for(0.8)
    ending.retire(is_retired=True)
    simulation.run_for(TAKEOVER_S)
    assert not ending.has_ended
    simulation.broken_links.clear()
    simulation.run_for(TAKEOVER_S)
    assert ending.has_ended


def test_server_that_restarts_and_is_lost_at_once_is_not_waited_for_long(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    lessor = simulation.find_lessor(FIRST)
    cut_others(simulation, lessor, FIRST)
    epoch = simulation.state.servers[FIRST].epoch
    simulation.restart_server(FIRST)
    while simulation.state.servers[FIRST].epoch == epoch:
        simulation.run_for(lease_simulation.STEP_S)
    simulation.frozen.add(FIRST)
    simulation.run_for(TAKEOVER_S)
    assert count_held_by(simulation, SECOND) == 4


def test_keys_stay_with_a_leaving_server_that_does_not_check_grants(
    simulation: lease_simulation.LeaseSimulation,
) -> None:
    before = simulation.state.partitions
    simulation.publish(simulation.list_servers(draining=FIRST), checks_grants=False)
    simulation.run_for(3.0)
    assert simulation.state.partitions == before
    assert sum_counter(simulation, "refused_moves", reason="grants_not_checked") > 0
