"""Tests of replay: accepted records change the state, stale ones are rejected."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import log_entries
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from collections.abc import Iterable

LESSOR = identity.Incarnation("router-1", "one")
OTHER = identity.Incarnation("router-2", "two")


def replay_all(entries: Iterable[records.Record]) -> tuple[replicated.State, list[bool]]:
    state = replicated.State.create_empty()
    accepted = []
    for record in entries:
        replayed = replay.replay_entry(log_entries.encode_record(record), state)
        state = replayed.state
        accepted.append(isinstance(replayed.decision, replay.Accepted))
    return state, accepted


def publish(policy: preset.ServicePolicy, base: int, name: str = "day") -> records.Record:
    return records.PresetPublished(
        record_id=identity.create_record_id(),
        base=base,
        author="operator",
        reason="test",
        preset=preset.Preset(name=name, services=(policy,)),
    )


def move(
    base: int, from_server: str, to_server: str, lessor: identity.Incarnation, epoch: int
) -> records.Record:
    return records.PartitionsMoved(
        record_id=identity.create_record_id(),
        base=base,
        author=str(lessor),
        reason="test",
        moves=(records.PartitionMove("archive", 0, from_server, to_server),),
        lessor=lessor,
        lessor_epoch=epoch,
    )


def appoint(base: int, server: str, lessor: identity.Incarnation) -> records.Record:
    return records.LessorsAppointed(
        record_id=identity.create_record_id(),
        base=base,
        author=str(lessor),
        reason="test",
        choices=(records.LessorChoice(server, lessor),),
    )


def test_second_of_two_concurrent_presets_is_rejected(archive_policy: preset.ServicePolicy) -> None:
    state, accepted = replay_all(
        [publish(archive_policy, 0, "first"), publish(archive_policy, 0, "second")]
    )
    assert accepted == [True, False]
    assert state.preset_in_force is not None
    assert state.preset_in_force.preset.name == "first"


def test_only_the_current_lessor_moves_partitions(archive_policy: preset.ServicePolicy) -> None:
    _, accepted = replay_all(
        [
            publish(archive_policy, 0),
            move(1, "", "archive-1", LESSOR, 0),
            appoint(2, "archive-1", LESSOR),
            appoint(3, "archive-1", OTHER),
            move(4, "archive-1", "archive-2", LESSOR, 2),
            move(4, "archive-1", "archive-2", OTHER, 3),
        ]
    )
    assert accepted == [True, True, True, True, False, True]


def test_move_is_rejected_after_appointment_on_the_same_base(
    archive_policy: preset.ServicePolicy,
) -> None:
    state, accepted = replay_all(
        [
            publish(archive_policy, 0),
            move(1, "", "archive-1", LESSOR, 0),
            appoint(2, "archive-1", LESSOR),
            appoint(3, "archive-1", OTHER),
            move(3, "archive-1", "archive-2", LESSOR, 2),
        ]
    )
    assert accepted[-1] is False
    assert state.partitions[replicated.PartitionId("archive", 0)].owner == "archive-1"


@pytest.mark.parametrize("entry", [b"", b"{", b"[]", b'{"type": "preset_published"}'])
def test_malformed_entry_is_rejected_and_advances_the_offset(entry: bytes) -> None:
    replayed = replay.replay_entry(entry, replicated.State.create_empty())
    assert isinstance(replayed.decision, replay.Rejected)
    assert replayed.decision.reason is replay.RejectionReason.MALFORMED
    assert replayed.state.next_offset == 1


def test_unknown_record_halts_replay_and_is_not_skipped() -> None:
    entry = b'{"type": "from_the_future", "version": 9, "record": {}}'
    replayed = replay.replay_entry(entry, replicated.State.create_empty())
    assert "from_the_future" in replayed.state.halted
    assert replayed.state.next_offset == 0
