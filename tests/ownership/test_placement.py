"""Tests of partition placement."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.ownership import placement
from tests.replication import test_replay

if TYPE_CHECKING:
    from goldcresthall.core import preset


def test_partitions_of_a_server_removed_before_its_first_lessor_are_reassigned(
    archive_policy: preset.ServicePolicy,
) -> None:
    shrunk = dataclasses.replace(archive_policy, servers=archive_policy.servers[1:])
    initial_records = [
        test_replay.publish(archive_policy, 0),
        test_replay.move(1, "", "archive-1", test_replay.LESSOR, 0),
        test_replay.publish(shrunk, 2, "shrunk"),
    ]
    state, _ = test_replay.replay_all(initial_records)
    assert [move.from_server for move in placement.plan_orphaned(shrunk, state)] == ["archive-1"]
    appointed = test_replay.appoint(3, "archive-1", test_replay.LESSOR)
    state, _ = test_replay.replay_all([*initial_records, appointed])
    assert placement.plan_orphaned(shrunk, state) == ()
