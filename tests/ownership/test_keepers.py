"""Interleavings of keepers, servers and the log that would make two owners, or none."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import move_cancellations
from goldcresthall.core import records
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import revocation
from tests.fakes import lease_world

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import leases

FIRST = "archive-1"
SECOND = "archive-2"
LEASE_S = 0.6
TAKEOVER_S = 1.5
AUTHORITY_S = lease_world.LEASES.authority_s


@pytest.fixture
def world() -> Iterator[lease_world.World]:
    created = lease_world.create_world(seed=1)
    created.flow(2.0)
    assert count_held(created) == 4
    yield created
    created.end()


def count_held(world: lease_world.World) -> int:
    return len(world.list_holders())


def count_held_by(world: lease_world.World, server: str) -> int:
    return sum(server in held for held in world.list_holders().values())


def sum_counter(world: lease_world.World, name: str, **labels: str) -> float:
    return sum(item.read_counter(name, **labels) for item in world.instances.values())


def list_others(world: lease_world.World, instance: str) -> list[str]:
    return [name for name in world.instances if name != instance]


def cut_others(world: lease_world.World, instance: str, target: str) -> None:
    world.cut |= {(name, target) for name in list_others(world, instance)}


def find_subject(record: records.Record) -> str:
    if isinstance(record, records.PartitionsMoved):
        return record.lost_server
    return record.server if isinstance(record, move_cancellations.MoveCancelled) else ""


def take_grant(world: lease_world.World, server: str) -> leases.Grant:
    grant = min(world.holders[server]._granted, key=lambda item: item.partition)
    assert world.holders[server].begin(grant)
    return grant


def test_lost_server_gives_its_partitions_up_and_returns(world: lease_world.World) -> None:
    world.frozen.add(FIRST)
    world.flow(1.0)
    assert count_held_by(world, SECOND) == 4
    assert world.state.servers[FIRST].lost
    assert sum_counter(world, "lost_servers") == 1
    assert sum_counter(world, "moved_partitions", reason="lease ran out") == 2
    world.frozen.clear()
    world.flow(4.0)
    assert not world.state.servers[FIRST].lost
    assert count_held_by(world, SECOND) == 4


def test_renewal_read_by_a_server_that_wakes_has_expired(world: lease_world.World) -> None:
    world.frozen.add(FIRST)
    buffered: list[lease_world.Call] = []
    while not buffered:
        world.flow(lease_world.STEP_S)
        buffered = [call for call in world.calls if call.server == FIRST and call.renewal]
    world.flow(1.0)
    assert count_held_by(world, SECOND) == 4
    for call in buffered:
        world.deliver(call)
        world.check()


def test_lost_lessor_is_replaced_and_nothing_moves(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    before = world.state.partitions
    world.frozen.add(lessor)
    world.flow(TAKEOVER_S)
    assert world.find_lessor(FIRST) != lessor
    assert count_held(world) == 4
    world.frozen.clear()
    world.flow(TAKEOVER_S)
    assert world.find_lessor(FIRST) != lessor
    assert world.state.partitions == before


def test_lessor_that_wakes_before_its_check_renews_nothing(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    world.frozen.add(lessor)
    world.flow(AUTHORITY_S + TAKEOVER_S)
    epoch = world.holders[FIRST].report().lessor_epoch
    world.run_actor(world.instances[lessor].actors[FIRST])
    for call in [call for call in world.calls if call.instance == lessor]:
        if call.report is None:
            world.deliver(call)
    world.check()
    assert world.holders[FIRST].report().lessor_epoch == epoch


def test_lessor_cut_from_the_log_renews_until_its_authority_ends(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    epoch = world.state.servers[FIRST].epoch
    world.cut.add((lessor, "log"))
    world.flow(AUTHORITY_S - 0.5)
    assert count_held(world) == 4
    assert world.state.servers[FIRST].epoch == epoch
    world.flow(TAKEOVER_S)
    assert world.find_lessor(FIRST) != lessor
    assert count_held(world) == 4


def test_log_outage_moves_nothing_and_service_goes_on(world: lease_world.World) -> None:
    entries = len(world.log)
    world.cut |= {(name, "log") for name in world.instances}
    for _ in range(10):
        world.flow((AUTHORITY_S - 0.3) / 10)
        assert count_held(world) == 4
    assert len(world.log) == entries


def test_loss_of_server_and_lessor_together_waits_for_the_authority(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    world.frozen |= {FIRST, lessor}
    world.flow(AUTHORITY_S)
    assert count_held_by(world, SECOND) < 4
    world.flow(AUTHORITY_S + 2.0)
    assert count_held_by(world, SECOND) == 4


def test_lessor_that_cannot_follow_the_log_is_replaced_when_its_server_is_lost(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    world.frozen.add(FIRST)
    world.cut.add((lessor, "log"))
    world.publish(world.name_servers())
    world.flow(0.1)
    world.outbox.clear()
    world.flow(2 * AUTHORITY_S + 3.0)
    assert count_held_by(world, SECOND) == 4


def test_candidates_cut_from_a_server_leave_it_to_its_lessor(world: lease_world.World) -> None:
    epoch = world.state.servers[FIRST].epoch
    cut_others(world, world.find_lessor(FIRST), FIRST)
    world.flow(6.0)
    assert world.state.servers[FIRST].epoch == epoch
    assert count_held(world) == 4


def test_both_of_two_candidates_take_over_and_one_wins(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    others = list_others(world, lessor)
    world.frozen.add(lessor)
    world.cut |= {(name, "log") for name in others}
    world.flow(1.4)
    wishes = [
        (name, record)
        for name, record in world.outbox
        if isinstance(record, records.LessorsAppointed) and record.choices[0].server == FIRST
    ]
    assert {name for name, _ in wishes} == set(others)
    world.cut.clear()
    world.flow(0.5)
    assert count_held(world) == 4
    assert world.find_lessor(FIRST) == wishes[0][0]


def test_server_refuses_the_lessor_before_once_it_knows_the_successor(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    world.cut.add((lessor, "log"))
    world.appoint(FIRST, list_others(world, lessor)[0])
    world.flow(0.3)
    cut_others(world, lessor, FIRST)
    world.flow(LEASE_S + TAKEOVER_S)
    assert count_held_by(world, SECOND) == 4


def test_restarted_server_is_not_renewed_by_a_lessor_it_has_refused(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    successor = list_others(world, lessor)[0]
    world.cut.add((lessor, "log"))
    world.appoint(FIRST, successor)
    world.flow(0.3)
    assert world.holders[FIRST].report().lessor_epoch == world.state.servers[FIRST].epoch
    cut_others(world, lessor, FIRST)
    world.restart_server(FIRST)
    world.flow(LEASE_S + TAKEOVER_S)
    assert count_held_by(world, SECOND) == 4


def test_lease_of_the_lessor_before_is_waited_out(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    successor = list_others(world, lessor)[0]
    cut_others(world, lessor, FIRST)
    world.cut.add((lessor, "log"))
    world.appoint(FIRST, successor)
    world.flow(AUTHORITY_S - 0.5)
    assert count_held_by(world, FIRST) > 0
    world.flow(AUTHORITY_S + 2.0)
    assert count_held_by(world, SECOND) == 4


@pytest.mark.parametrize("first", [records.PartitionsMoved, move_cancellations.MoveCancelled])
def test_first_of_a_held_move_and_its_cancellation_wins(
    world: lease_world.World, first: type[records.Record]
) -> None:
    lessor = world.find_lessor(FIRST)
    owned = count_held_by(world, FIRST)
    world.frozen |= {FIRST, *list_others(world, lessor)}
    world.flow(0.2)
    world.cut.add((lessor, "log"))
    world.flow(0.8)
    world.frozen.discard(FIRST)
    world.flow(4.0)
    assert count_held_by(world, FIRST) == 0
    held = [item for item in world.outbox if find_subject(item[1]) == FIRST]
    assert {type(record) for _, record in held} == {
        records.PartitionsMoved,
        move_cancellations.MoveCancelled,
    }
    world.outbox = sorted(held, key=lambda item: type(item[1]) is not first)
    world.cut.clear()
    world.frozen.clear()
    world.flow(1.0)
    expected = owned if first is move_cancellations.MoveCancelled else 0
    assert count_held_by(world, FIRST) == expected
    assert count_held(world) == 4


def test_draining_server_loses_its_partitions_with_no_gap_in_the_rest(
    world: lease_world.World,
) -> None:
    world.publish(world.name_servers(draining=FIRST))
    world.flow(1.0)
    assert count_held_by(world, SECOND) == 4
    assert not world.state.servers[FIRST].lost


def test_removed_server_loses_its_partitions(world: lease_world.World) -> None:
    world.publish(tuple(item for item in world.name_servers() if item.name != FIRST))
    world.flow(1.0)
    assert count_held_by(world, SECOND) == 4
    assert not world.state.servers[FIRST].lost


def test_running_work_finishes_before_its_partition_moves(world: lease_world.World) -> None:
    grant = take_grant(world, FIRST)
    world.publish(world.name_servers(draining=FIRST))
    world.flow(2.0)
    assert world.holders[FIRST].holds(grant)
    assert not world.holders[FIRST].begin(grant)
    assert count_held_by(world, SECOND) < 4
    world.holders[FIRST].end(grant)
    world.flow(1.0)
    assert count_held_by(world, SECOND) == 4


def test_move_is_withdrawn_when_work_takes_too_long(world: lease_world.World) -> None:
    take_grant(world, FIRST)
    owned = count_held_by(world, FIRST)
    world.publish(world.name_servers(draining=FIRST))
    world.flow(revocation.FINISH_LIMIT_S + 1.0)
    assert count_held_by(world, FIRST) == owned
    take_grant(world, FIRST)


def test_wished_move_is_made_by_the_lessor_alone(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    partition = next(key for key, owned in world.state.partitions.items() if owned.owner == FIRST)
    wish = planned_moves.MoveWish(partition, SECOND, "hot")
    answers = {name: item.planned.submit(wish) for name, item in world.instances.items()}
    assert answers.pop(lessor) == planned_moves.MoveQueued(FIRST)
    assert all(isinstance(answer, planned_moves.MoveRefused) for answer in answers.values())
    world.flow(0.6)
    moved = world.state.partitions[partition]
    assert (moved.owner, moved.reason) == (SECOND, "hot")
    assert count_held(world) == 4


def test_instance_that_ends_hands_over_with_no_gap(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    epoch = world.state.servers[FIRST].epoch
    for signal in world.instances[lessor].stop_signals.values():
        signal.set()
    for woken in world.instances[lessor].wakeups:
        woken.wake()
    for _ in range(10):
        world.flow(0.1)
        assert count_held(world) == 4
    assert world.find_lessor(FIRST) != lessor
    assert world.state.servers[FIRST].epoch > epoch


def test_restarted_server_is_served_again_soon(world: lease_world.World) -> None:
    owned = count_held_by(world, FIRST)
    world.restart_server(FIRST)
    world.flow(LEASE_S)
    assert count_held_by(world, FIRST) == owned
    assert not world.state.servers[FIRST].lost


def test_renewal_whose_answer_is_lost_is_waited_out(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    world.cut |= {(name, FIRST) for name in world.instances}
    sent: list[lease_world.Call] = []
    while not sent:
        world.flow(lease_world.STEP_S)
        sent = [call for call in world.calls if call.instance == lessor and call.renewal]
    world.deliver(sent[0])
    world.flow(TAKEOVER_S)
    assert count_held_by(world, SECOND) == 4


def test_lessor_that_asks_frozen_and_wakes_to_an_answer_renews_nothing(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    cut_others(world, lessor, FIRST)
    world.appoint(FIRST, lessor)
    asked: list[lease_world.Call] = []
    while not asked:
        world.flow(lease_world.STEP_S)
        asked = [
            call
            for call in world.calls
            if (call.instance, call.server, call.renewal) == (lessor, FIRST, None)
        ]
    world.frozen.add(lessor)
    world.appoint(FIRST, list_others(world, lessor)[0])
    world.flow(2 * AUTHORITY_S + 2.0)
    assert count_held_by(world, SECOND) == 4
    world.instances[lessor].replica.begin_read()
    world.instances[lessor].replica.finish_read()
    world.deliver(asked[0])
    world.answer(asked[0])
    world.run_actor(world.instances[lessor].actors[FIRST])
    for call in [call for call in world.calls if call.instance == lessor]:
        world.deliver(call)
    world.check()


def test_lessor_that_does_not_pass_new_grants_on_is_replaced(world: lease_world.World) -> None:
    lessor = world.find_lessor(SECOND)
    if lessor == world.find_lessor(FIRST):
        world.appoint(FIRST, list_others(world, lessor)[0])
        world.flow(0.3)
    world.cut.add((lessor, "log"))
    world.frozen.add(FIRST)
    world.flow(0.6 + TAKEOVER_S)
    assert world.find_lessor(SECOND) != lessor
    assert count_held_by(world, SECOND) == 4


def test_keeper_ends_only_when_no_move_is_pending(world: lease_world.World) -> None:
    lessor = world.find_lessor(FIRST)
    ending = world.instances[lessor].keepers[FIRST]
    world.frozen |= {FIRST, *list_others(world, lessor)}
    world.flow(0.2)
    world.cut.add((lessor, "log"))
    world.flow(0.8)
    ending.retire(is_retired=True)
    world.flow(TAKEOVER_S)
    assert not ending.has_ended
    world.cut.clear()
    world.flow(TAKEOVER_S)
    assert ending.has_ended


def test_server_that_restarts_and_is_lost_at_once_is_not_waited_for_long(
    world: lease_world.World,
) -> None:
    lessor = world.find_lessor(FIRST)
    cut_others(world, lessor, FIRST)
    epoch = world.state.servers[FIRST].epoch
    world.restart_server(FIRST)
    while world.state.servers[FIRST].epoch == epoch:
        world.flow(lease_world.STEP_S)
    world.frozen.add(FIRST)
    world.flow(TAKEOVER_S)
    assert count_held_by(world, SECOND) == 4


def test_keys_stay_with_a_leaving_server_that_does_not_check_grants(
    world: lease_world.World,
) -> None:
    before = world.state.partitions
    world.publish(world.name_servers(draining=FIRST), checks_grants=False)
    world.flow(3.0)
    assert world.state.partitions == before
    assert sum_counter(world, "refused_moves", reason="grants_not_checked") > 0
