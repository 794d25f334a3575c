"""Tests of the log replica: its condition, its metrics and the outcomes of commits."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import log_entries
from goldcresthall.kernel import names
from goldcresthall.observability import metrics
from goldcresthall.replication import bounded_history
from goldcresthall.replication import commits
from goldcresthall.replication import conditions
from goldcresthall.replication import log_replica
from goldcresthall.replication import state_encoding
from goldcresthall.replication import writer

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.kernel import kernel
    from tests.fakes import log

TEST_TIMEOUT_S = 20.0


def publish(base: int, name: str = "day") -> records.PresetPublished:
    return records.PresetPublished(
        record_id=identity.create_record_id(),
        base=base,
        author="operator",
        reason="test",
        preset=preset.Preset(name=name, services=()),
    )


def find_replica(running: kernel.Kernel) -> log_replica.LogReplica:
    return running.find(names.REPLICA, log_replica.LogReplica)


def wait_for_condition(
    running: kernel.Kernel, kind: conditions.ConditionKind
) -> conditions.Condition:
    ends_at_s = time.monotonic() + TEST_TIMEOUT_S
    while time.monotonic() < ends_at_s:
        condition = find_replica(running).condition
        if condition.kind is kind:
            return condition
        find_replica(running).wait_for_newer(1_000_000, 0.01)
    pytest.fail(f"condition stayed {condition}")


def render(running: kernel.Kernel) -> str:
    return running.find(names.METRICS, metrics.Metrics).render().decode()


def test_unknown_record_halts_replica_and_shows_in_condition(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    memory_log.append((b'{"type": "from_the_future", "version": 9, "record": {}}',))
    memory_log.append((log_entries.encode_record(publish(0)),))
    running = start_replica()
    condition = wait_for_condition(running, conditions.ConditionKind.HALTED)
    assert "from_the_future version 9" in condition.detail
    assert find_replica(running).state.preset_in_force is None
    running.stop()
    assert 'goldcresthall_replica_condition{condition="halted"} 1.0' in render(running)


def test_malformed_and_rejected_entries_are_counted_by_reason(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    entry = log_entries.encode_record(publish(0))
    memory_log.append((entry[:-9], b"[1]", b'{"type":"preset_published","version":1,"record":3}'))
    memory_log.append((entry, log_entries.encode_record(publish(0, "second"))))
    running = start_replica()
    state = find_replica(running).wait_for_newer(4, TEST_TIMEOUT_S)
    assert state.preset_in_force is not None
    assert state.preset_in_force.preset.name == "day"
    text = render(running)
    for reason in ("not_json", "envelope", "body"):
        assert f'goldcresthall_entries_malformed_total{{reason="{reason}"}} 1.0' in text
    rejected = 'records_rejected_total{reason="base_overtaken",type="preset_published"} 1.0'
    assert rejected in text


def test_next_offset_is_shown_after_a_malformed_entry_and_an_installed_state(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    memory_log.append((b"[1]",))
    running = start_replica()
    state = find_replica(running).wait_for_newer(0, TEST_TIMEOUT_S)
    running.stop()
    assert "goldcresthall_replica_next_offset 1.0" in render(running)
    find_replica(running).install(dataclasses.replace(state, next_offset=9), "peer")
    assert "goldcresthall_replica_next_offset 9.0" in render(running)


def test_commit_with_lost_append_response_is_resolved_by_record_id(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    running = start_replica()
    memory_log.lost_answers = 1
    outcome = find_replica(running).commit(publish(0), TEST_TIMEOUT_S)
    assert outcome == commits.CommitAccepted(0)
    assert 'goldcresthall_log_appends_total{outcome="AppendUnknown"} 1.0' in render(running)


def test_refused_append_fails_the_commit_and_is_never_replayed(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    running = start_replica()
    memory_log.is_down = True
    record = publish(0)
    assert isinstance(find_replica(running).commit(record, TEST_TIMEOUT_S), commits.CommitFailed)
    memory_log.is_down = False
    assert find_replica(running).commit(publish(0), TEST_TIMEOUT_S) == commits.CommitAccepted(0)


def test_record_past_its_deadline_is_never_appended(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    running = start_replica()
    outcomes: list[object] = []
    running.find(names.LOG_WRITER, writer.LogWriter).submit(publish(0), outcomes.append, 0.0)
    assert find_replica(running).commit(publish(0), TEST_TIMEOUT_S) == commits.CommitAccepted(0)
    assert len(outcomes) == 1
    assert len(memory_log.entries) == 1
    assert 'records_not_appended_total{reason="timeout"} 1.0' in render(running)


def test_expired_log_without_snapshot_gives_missing_state(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    memory_log.append(tuple(log_entries.encode_record(publish(base)) for base in range(3)))
    memory_log.expire_before(2)
    running = start_replica()
    condition = wait_for_condition(running, conditions.ConditionKind.STATE_MISSING)
    assert "entries from 0 to 2 expired" in condition.detail
    assert find_replica(running).state.next_offset == 0


def test_entries_after_a_gap_are_not_replayed(
    start_replica: Callable[[], kernel.Kernel],
) -> None:
    running = start_replica()
    find_replica(running).replay_entries(3, (log_entries.encode_record(publish(3)),))
    assert find_replica(running).state.next_offset == 0


def test_bounded_map_keeps_first_values_and_evicts_the_oldest() -> None:
    table: bounded_history.BoundedMap[int] = bounded_history.BoundedMap(3)
    for number in range(9):
        table.add_if_absent(str(number), number)
        table.add_if_absent(str(number), -1)
    assert [table.find(str(number)) for number in (5, 6, 8)] == [None, 6, 8]


def test_state_round_trips_through_encoding_and_truncation_is_detected(
    memory_log: log.InMemoryLog, start_replica: Callable[[], kernel.Kernel]
) -> None:
    running = start_replica()
    find_replica(running).commit(publish(0), TEST_TIMEOUT_S)
    state = find_replica(running).state
    encoded = state_encoding.encode_state(state)
    assert state_encoding.decode_state(encoded.pieces, encoded.state_digest) == state
    with pytest.raises(state_encoding.StateDecodeError):
        state_encoding.decode_state((encoded.pieces[0][:-8],), encoded.state_digest)
