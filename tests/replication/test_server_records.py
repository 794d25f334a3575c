"""Tests of replay: lessors, cancelled moves and servers that must not lose partitions."""

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


def begin(policy: preset.ServicePolicy) -> list[records.Record]:
    return [
        test_replay.publish(policy, 0),
        test_replay.move(1, "", "archive-1", LESSOR, 0),
        test_replay.appoint(2, "archive-1", LESSOR),
    ]


def cancel(base: int, moved: records.Record) -> records.Record:
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


def lose(base: int) -> records.Record:
    moved = test_replay.move(base, "archive-1", "archive-2", LESSOR, 2)
    assert isinstance(moved, records.PartitionsMoved)
    return dataclasses.replace(moved, lost_server="archive-1")


def change_address(policy: preset.ServicePolicy) -> preset.ServicePolicy:
    elsewhere = identity.Address("127.0.0.2", 1)
    first, *others = policy.servers
    return dataclasses.replace(
        policy, servers=(dataclasses.replace(first, address=elsewhere), *others)
    )


def test_first_of_move_and_cancellation_wins(archive_policy: preset.ServicePolicy) -> None:
    moved = lose(3)
    state, accepted = test_replay.replay_all([*begin(archive_policy), moved, cancel(3, moved)])
    assert accepted[-2:] == [True, False]
    assert state.partitions[PARTITION].owner == "archive-2"
    state, accepted = test_replay.replay_all([*begin(archive_policy), cancel(3, moved), moved])
    assert accepted[-2:] == [True, False]
    assert state.partitions[PARTITION].owner == "archive-1"


def test_restarted_instance_has_none_of_its_earlier_authority(
    archive_policy: preset.ServicePolicy,
) -> None:
    moved = test_replay.move(3, "archive-1", "archive-2", RESTARTED, 2)
    _, accepted = test_replay.replay_all([*begin(archive_policy), moved])
    assert accepted[-1] is False
    appointed = test_replay.appoint(3, "archive-1", RESTARTED)
    late = test_replay.move(4, "archive-1", "archive-2", LESSOR, 2)
    state, accepted = test_replay.replay_all([*begin(archive_policy), appointed, late])
    assert accepted[-2:] == [True, False]
    assert state.servers["archive-1"].succeeded


def test_first_lessor_has_no_predecessor(archive_policy: preset.ServicePolicy) -> None:
    state, _ = test_replay.replay_all(begin(archive_policy))
    assert not state.servers["archive-1"].succeeded


def test_lessor_that_is_appointed_again_succeeds_nobody(
    archive_policy: preset.ServicePolicy,
) -> None:
    again = test_replay.appoint(3, "archive-1", LESSOR)
    state, _ = test_replay.replay_all([*begin(archive_policy), again])
    assert not state.servers["archive-1"].succeeded
    other = test_replay.appoint(4, "archive-1", test_replay.OTHER)
    back = test_replay.appoint(5, "archive-1", LESSOR)
    state, _ = test_replay.replay_all([*begin(archive_policy), again, other, back])
    assert state.servers["archive-1"].succeeded


def test_server_that_never_had_a_lessor_may_be_emptied(
    archive_policy: preset.ServicePolicy,
) -> None:
    emptied = test_replay.move(2, "archive-1", "archive-2", LESSOR, 0)
    _, accepted = test_replay.replay_all([*begin(archive_policy)[:2], emptied])
    assert accepted[-1] is True
    _, accepted = test_replay.replay_all([*begin(archive_policy), emptied])
    assert accepted[-1] is False


def test_planned_move_leaves_a_lost_server_lost(archive_policy: preset.ServicePolicy) -> None:
    marked = dataclasses.replace(lose(3), moves=())
    planned = test_replay.move(4, "archive-1", "archive-2", LESSOR, 2)
    state, accepted = test_replay.replay_all([*begin(archive_policy), marked, planned])
    assert accepted[-2:] == [True, True]
    assert state.servers["archive-1"].lost


def test_server_keeps_its_address_while_it_owns_partitions(
    archive_policy: preset.ServicePolicy,
) -> None:
    elsewhere = change_address(archive_policy)
    _, accepted = test_replay.replay_all(
        [*begin(archive_policy), test_replay.publish(elsewhere, 3, "moved")]
    )
    assert accepted[-1] is False
    emptied = test_replay.move(3, "archive-1", "archive-2", LESSOR, 2)
    _, accepted = test_replay.replay_all(
        [*begin(archive_policy), emptied, test_replay.publish(elsewhere, 4, "moved")]
    )
    assert accepted[-2:] == [True, True]


def test_keys_of_servers_that_do_not_check_grants_never_move(
    archive_policy: preset.ServicePolicy,
) -> None:
    unchecked = dataclasses.replace(archive_policy, checks_grants=False)
    _, accepted = test_replay.replay_all([*begin(unchecked), lose(3)])
    assert accepted == [True, True, True, False]
