"""Tests of the recorder."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import bounds
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import recorder

from tests.stand_ins.rules import examples

if TYPE_CHECKING:
    import pathlib

TASKS = 8
EVENTS_PER_TASK = 200


def test_events_of_many_tasks_are_written_in_order(tmp_path: pathlib.Path) -> None:
    """No event is lost, and the record is ordered by the times of the events."""
    collected = recorder.Recorder(bounds.Bounds(drain_s=2.5))

    def add_events(task: int) -> None:
        for index in range(EVENTS_PER_TASK):
            collected.add(examples.sending(index + task / TASKS, f"{task}-{index}"))

    tasks = [threading.Thread(target=add_events, args=(task,)) for task in range(TASKS)]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join(30.0)
    path = tmp_path / "record.jsonl"
    collected.write(path)
    record = records.Record.from_file(path)
    times_s = [event.at_s for event in record.events]
    assert times_s == sorted(times_s)
    assert len(times_s) == TASKS * EVENTS_PER_TASK
    assert record.bounds.drain_s == 2.5


def test_disturbances_keep_their_numbers() -> None:
    """Overlapping disturbances end by number."""
    collected = recorder.Recorder()
    first = collected.begin_disturbance(events.DisturbanceKind.FROZEN, "edge")
    second = collected.begin_disturbance(events.DisturbanceKind.LINK_CUT, "edge", events.STORE)
    collected.end_disturbance(first)
    began = collected.collect().select(events.DisturbanceBegan)
    ended = collected.collect().select(events.DisturbanceEnded)
    assert [event.number for event in began] == [first, second]
    assert [event.number for event in ended] == [first]
