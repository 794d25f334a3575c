"""Tests of replay of server records: lessors, cancelled moves and address changes."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import move_cancellations
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.replication import state as replicated
from tests.replication import test_replay

LESSOR = test_replay.LESSOR
RESTARTED = identity.Incarnation(LESSOR.name, "another-token")
PARTITION = replicated.PartitionId("archive", 0)


def initial_records(policy: preset.ServicePolicy) -> list[records.Record]:
    return [
        test_replay.publish(policy, 0),
        test_replay.move(1, "", "archive-1", LESSOR, 0),
        test_replay.appoint(2, "archive-1", LESSOR),
    ]


def cancel_move(base: int, moved: records.Record) -> records.Record:
    return move_cancellations.MoveCancelled(
        record_id=identity.create_record_id(),
        base=base,
        author=str(LESSOR),
        reason="test",
        server="archive-1",
        cancelled_id=moved.record_id,
        lessor=LESSOR,
        lessor_epoch=2,
    )


def mark_lost(base: int) -> records.Record:
    moved = test_replay.move(base, "archive-1", "archive-2", LESSOR, 2)
    assert isinstance(moved, records.PartitionsMoved)
    return dataclasses.replace(moved, lost_server="archive-1")


def with_new_address(policy: preset.ServicePolicy) -> preset.ServicePolicy:
    new_address = identity.Address("127.0.0.2", 1)
    first, *others = policy.servers
    return dataclasses.replace(
        policy, servers=(dataclasses.replace(first, address=new_address), *others)
    )


def test_first_of_move_and_its_cancellation_is_accepted(
    archive_policy: preset.ServicePolicy,
) -> None:
    moved = mark_lost(3)
    state, accepted = test_replay.replay_all(
        [*initial_records(archive_policy), moved, cancel_move(3, moved)]
    )
    assert accepted[-2:] == [True, False]
    assert state.partitions[PARTITION].owner == "archive-2"
    state, accepted = test_replay.replay_all(
        [*initial_records(archive_policy), cancel_move(3, moved), moved]
    )
    assert accepted[-2:] == [True, False]
    assert state.partitions[PARTITION].owner == "archive-1"


def test_restarted_instance_loses_authority_of_its_earlier_incarnation(
    archive_policy: preset.ServicePolicy,
) -> None:
    moved = test_replay.move(3, "archive-1", "archive-2", RESTARTED, 2)
    _, accepted = test_replay.replay_all([*initial_records(archive_policy), moved])
    assert accepted[-1] is False
    appointed = test_replay.appoint(3, "archive-1", RESTARTED)
    late = test_replay.move(4, "archive-1", "archive-2", LESSOR, 2)
    state, accepted = test_replay.replay_all([*initial_records(archive_policy), appointed, late])
    assert accepted[-2:] == [True, False]
    assert state.servers["archive-1"].succeeded


def test_first_lessor_of_a_server_has_no_predecessor(archive_policy: preset.ServicePolicy) -> None:
    state, _ = test_replay.replay_all(initial_records(archive_policy))
    assert not state.servers["archive-1"].succeeded


def test_lessor_appointed_again_has_no_predecessor(
    archive_policy: preset.ServicePolicy,
) -> None:
    again = test_replay.appoint(3, "archive-1", LESSOR)
    state, _ = test_replay.replay_all([*initial_records(archive_policy), again])
    assert not state.servers["archive-1"].succeeded
    other = test_replay.appoint(4, "archive-1", test_replay.OTHER)
    back = test_replay.appoint(5, "archive-1", LESSOR)
    state, _ = test_replay.replay_all([*initial_records(archive_policy), again, other, back])
    assert state.servers["archive-1"].succeeded


def test_any_instance_moves_partitions_of_server_without_lessor(
    archive_policy: preset.ServicePolicy,
) -> None:
    emptied = test_replay.move(2, "archive-1", "archive-2", LESSOR, 0)
    _, accepted = test_replay.replay_all([*initial_records(archive_policy)[:2], emptied])
    assert accepted[-1] is True
    _, accepted = test_replay.replay_all([*initial_records(archive_policy), emptied])
    assert accepted[-1] is False


def test_planned_move_does_not_clear_lost_flag(archive_policy: preset.ServicePolicy) -> None:
    marked = dataclasses.replace(mark_lost(3), moves=())
    planned = test_replay.move(4, "archive-1", "archive-2", LESSOR, 2)
    state, accepted = test_replay.replay_all([*initial_records(archive_policy), marked, planned])
    assert accepted[-2:] == [True, True]
    assert state.servers["archive-1"].lost


def test_address_change_is_rejected_while_server_owns_partitions(
    archive_policy: preset.ServicePolicy,
) -> None:
    changed_policy = with_new_address(archive_policy)
    _, accepted = test_replay.replay_all(
        [*initial_records(archive_policy), test_replay.publish(changed_policy, 3, "moved")]
    )
    assert accepted[-1] is False
    emptied = test_replay.move(3, "archive-1", "archive-2", LESSOR, 2)
    _, accepted = test_replay.replay_all(
        [
            *initial_records(archive_policy),
            emptied,
            test_replay.publish(changed_policy, 4, "moved"),
        ]
    )
    assert accepted[-2:] == [True, True]


def test_partitions_of_service_that_does_not_check_grants_never_move(
    archive_policy: preset.ServicePolicy,
) -> None:
    unchecked = dataclasses.replace(archive_policy, checks_grants=False)
    _, accepted = test_replay.replay_all([*initial_records(unchecked), mark_lost(3)])
    assert accepted == [True, True, True, False]
