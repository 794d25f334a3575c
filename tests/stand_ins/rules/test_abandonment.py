"""Tests of GONE: each sentence and each excuse, broken and just allowed."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind
BROKEN = {"GONE"}
KEPT: set[str] = set()


@pytest.mark.parametrize(
    ("count", "arrival_s", "key", "expected"),
    [
        (4, 10.6, None, BROKEN),
        (3, 10.6, None, KEPT),
        (4, 10.5, None, KEPT),
        (4, 10.6, 5, KEPT),
    ],
)
def test_requests_that_arrive_after_callers_left(
    count: int, arrival_s: float, key: int | None, expected: set[str]
) -> None:
    """Only a few requests without a key reach a server later."""
    recorded: list[events.Event] = []
    for index in range(count):
        recorded.append(examples.sending(9.0, f"r{index}", key=key))
        recorded.append(examples.leave(10.0, f"r{index}"))
        recorded.append(examples.arrival(arrival_s, "a", f"r{index}"))
    assert examples.find_broken_rules(*recorded) == expected
    out_of_touch = examples.disturb(8.0, 8.5, Kind.FROZEN, "edge")
    assert examples.find_broken_rules(*recorded, *out_of_touch) == KEPT


def leave_running(
    request_id: str, end_s: float, *, status: int = 0, is_idempotent: bool = True
) -> list[events.Event]:
    """Return a request whose caller leaves at 10 s while a server works on it until an end."""
    return [
        examples.sending(9.0, request_id, is_idempotent=is_idempotent),
        examples.arrival(9.1, "a", request_id),
        examples.begin(9.1, "a", request_id),
        examples.leave(10.0, request_id),
        examples.finish(end_s, "a", request_id, status=status, is_complete=status != 0),
    ]


@pytest.mark.parametrize(("dropped", "expected"), [(2, BROKEN), (3, KEPT)])
def test_work_after_callers_left(dropped: int, expected: set[str]) -> None:
    """Servers still work on more than a quarter of the requests that would have lasted."""
    recorded = leave_running("late", 10.6, status=200)
    for index in range(dropped):
        recorded += leave_running(f"dropped-{index}", 10.2)
    assert examples.find_broken_rules(*recorded) == expected


@pytest.mark.parametrize(
    "others",
    [
        leave_running("r2", 10.2, status=200),  # would not have lasted so long
        leave_running("r2", 9.9),  # ended before its caller left
        leave_running("r2", 10.2, is_idempotent=False),
    ],
)
def test_requests_that_do_not_count_beside_late_ones(others: list[events.Event]) -> None:
    """Only requests that would have lasted half a second are compared with the late ones."""
    recorded = leave_running("late", 10.6, status=200)
    for index in range(5):
        recorded += leave_running(f"dropped-{index}", 10.2)
    assert examples.find_broken_rules(*recorded) == KEPT
    assert examples.find_broken_rules(*leave_running("late", 10.6), *others) == BROKEN


@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        (leave_running("r1", 10.6), BROKEN),
        (leave_running("r1", 10.5), KEPT),
        (leave_running("r1", 10.6, is_idempotent=False), KEPT),
        ([*leave_running("r1", 10.6), examples.end(10.2, "a")], KEPT),
        ([*leave_running("r1", 10.6), examples.end(10.2, "a", 2)], BROKEN),
        ([*leave_running("r1", 10.6), examples.end(10.2, "b")], BROKEN),
        ([*leave_running("r1", 10.6), examples.end(9.0, "a")], BROKEN),
        ([*leave_running("r1", 10.6), *examples.disturb(8, 8, Kind.STARTED, "edge")], KEPT),
        ([*leave_running("r1", 10.6), *examples.disturb(7, 7.4, Kind.FROZEN, "edge")], BROKEN),
    ],
)
def test_single_request(recorded: list[events.Event], expected: set[str]) -> None:
    """An idempotent request is dropped within half a second at instances in touch."""
    assert examples.find_broken_rules(*recorded) == expected
