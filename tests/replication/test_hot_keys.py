"""Tests of replay of hot keys: only the current lessor moves them, on a current base."""

from __future__ import annotations

import dataclasses

import pytest

from goldcresthall.core import hot_keys
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import log_entries
from goldcresthall.ownership import lookup
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated

LESSOR = identity.Incarnation("router-1", "one")
OTHER = identity.Incarnation("router-2", "two")
KEY = "molde"


@pytest.fixture
def owned(archive_policy: preset.ServicePolicy) -> replicated.State:
    partition = rendezvous.find_partition(KEY, archive_policy.partitions)
    common = {"author": "test", "reason": "test"}
    move = records.PartitionMove("archive", partition, "", "archive-1")
    choice = records.LessorChoice("archive-1", LESSOR)
    entries: tuple[records.Record, ...] = (
        records.PresetPublished(
            record_id="1",
            base=0,
            preset=preset.Preset(name="day", services=(archive_policy,)),
            **common,
        ),
        records.PartitionsMoved(
            record_id="2", base=1, moves=(move,), lessor=LESSOR, lessor_epoch=0, **common
        ),
        records.LessorsAppointed(record_id="3", base=2, choices=(choice,), **common),
    )
    state = replicated.State.create_empty()
    for record in entries:
        state = replay.replay_entry(log_entries.encode_record(record), state).state
    return state


@pytest.fixture
def move(archive_policy: preset.ServicePolicy) -> hot_keys.HotKeyMoved:
    return hot_keys.HotKeyMoved(
        record_id="4",
        base=3,
        author="test",
        reason="hot",
        service="archive",
        key=KEY,
        partition=rendezvous.find_partition(KEY, archive_policy.partitions),
        from_server="archive-1",
        to_server="archive-2",
        lessor=LESSOR,
        lessor_epoch=2,
    )


def test_hot_key_owner_overrides_partition_owner(
    owned: replicated.State, move: hot_keys.HotKeyMoved, archive_policy: preset.ServicePolicy
) -> None:
    state = replay.replay_entry(log_entries.encode_record(move), owned).state
    key_owner = lookup.find_key_owner(archive_policy, KEY, state)
    assert key_owner.ownership is not None
    assert (key_owner.ownership.owner, key_owner.ownership.epoch) == ("archive-2", 3)
    partition = replicated.PartitionId("archive", key_owner.partition)
    assert state.partitions[partition].owner == "archive-1"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"lessor": OTHER}, replay.RejectionReason.NOT_LESSOR),
        ({"lessor_epoch": 1}, replay.RejectionReason.NOT_LESSOR),
        ({"base": 2}, replay.RejectionReason.BASE_OVERTAKEN),
        ({"from_server": "archive-3"}, replay.RejectionReason.OWNER_DIFFERS),
        ({"to_server": "nobody"}, replay.RejectionReason.UNKNOWN_SERVER),
        ({"service": "nothing"}, replay.RejectionReason.UNKNOWN_SERVICE),
    ],
)
def test_invalid_or_stale_hot_key_move_is_rejected(
    owned: replicated.State,
    move: hot_keys.HotKeyMoved,
    change: dict[str, object],
    reason: replay.RejectionReason,
) -> None:
    wrong = dataclasses.replace(move, **change)  # type: ignore[arg-type]
    replayed = replay.replay_entry(log_entries.encode_record(wrong), owned)
    assert isinstance(replayed.decision, replay.Rejected)
    assert replayed.decision.reason is reason
    assert not replayed.state.hot_keys
