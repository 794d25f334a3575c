"""Tests of LOST: each sentence and each excuse, broken and just allowed."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind
BROKEN = {"LOST"}
KEPT: set[str] = set()
SIGTERM = examples.disturb(20.0, 26.0, Kind.TERMINATED, "edge")
SIGHUP = examples.disturb(20.0, 20.0, Kind.RELOADED, "edge")


def find_lost_faults(*recorded: events.Event) -> set[str]:
    """Return LOST if it is broken; the other rules have tests of their own."""
    return examples.find_broken_rules(*recorded) & BROKEN


def cut_kept(index: int, *, is_kept: bool = True, arrives: bool = True) -> list[events.Event]:
    """Return a request that its instance cuts at 10.5 s, by default on a kept connection."""
    request_id = f"r{index}"
    connection = f"connection-{request_id}"
    recorded: list[events.Event] = [examples.sending(10.0, request_id)]
    if is_kept:
        recorded += [
            examples.sending(9.0, f"earlier-{index}", connection=connection),
            examples.answer(
                9.5, f"earlier-{index}", status=500, signature="", connection=connection
            ),
        ]
    if arrives:
        recorded.append(examples.arrival(10.1, "a", request_id))
    return [*recorded, examples.cut_off(10.5, request_id)]


@pytest.mark.parametrize(
    ("count", "is_kept", "arrives", "extra", "expected"),
    [
        (4, True, True, (), BROKEN),
        (3, True, True, (), KEPT),
        (4, False, True, (), KEPT),
        (4, True, False, (), KEPT),  # crosses the close
        (4, True, True, (examples.end(10.2, "a"),), KEPT),
        (4, True, True, (examples.end(10.2, "b"),), BROKEN),
        (4, True, True, (examples.finish(10.2, "a", "r0", is_complete=False),), KEPT),
        (4, True, True, (examples.end(10.2, "a", 2),), BROKEN),
        (4, True, True, (examples.end(10.0, "a"),), BROKEN),
        (4, True, True, (examples.finish(10.2, "b", "r0", is_complete=False),), BROKEN),
        (4, True, True, (examples.finish(10.6, "a", "r0", is_complete=False),), BROKEN),
        (4, True, True, examples.disturb(7.0, 7.2, Kind.FROZEN, "edge"), KEPT),
        (4, True, True, examples.disturb(6.0, 6.9, Kind.FROZEN, "edge"), BROKEN),
        (4, True, True, examples.disturb(10.4, 10.4, Kind.STARTED, "edge"), KEPT),
    ],
)
def test_kept_connections(
    count: int, is_kept: bool, arrives: bool, extra: tuple[events.Event, ...], expected: set[str]
) -> None:
    """At any time, an instance closes few kept connections after passing a request on."""
    recorded = [
        event
        for index in range(count)
        for event in cut_kept(index, is_kept=is_kept, arrives=arrives)
    ]
    assert find_lost_faults(*recorded, *extra) == expected


def test_response_on_another_connection_keeps_none() -> None:
    """Only an earlier response on the same connection makes it a kept one."""
    recorded = [event for index in range(4) for event in cut_kept(index, is_kept=False)]
    elsewhere = [examples.sending(9.0, "x"), examples.answer(9.5, "x", status=500, signature="")]
    assert find_lost_faults(*recorded, *elsewhere) == KEPT


def cut_request(
    sent_s: float, cut_s: float, *, arrives: bool = True, key: int | None = None
) -> list[events.Event]:
    """Return a request with a deadline of 10 s that its instance cuts."""
    recorded: list[events.Event] = [
        examples.sending(sent_s, key=key, deadline_s=10.0),
        examples.cut_off(cut_s),
    ]
    if arrives:
        recorded.append(examples.arrival(sent_s + 0.05, "a"))
    return recorded


@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        (cut_request(19.0, 20.1), BROKEN),  # sent before the signal
        (cut_request(21.0, 21.1), BROKEN),  # passed on
        (cut_request(18.0, 19.9), KEPT),  # cut before the signal
        (cut_request(21.0, 21.1, arrives=False), KEPT),  # perhaps not read
        (cut_request(21.0, 21.3, arrives=False), BROKEN),  # read
        (cut_request(21.0, 27.0), BROKEN),
        (cut_request(21.0, 27.1), KEPT),  # a second after the grace period
        (cut_request(12.0, 22.0), KEPT),  # its deadline was reached
        (cut_request(12.1, 22.0), BROKEN),
    ],
)
def test_cut_around_sigterm(recorded: list[events.Event], expected: set[str]) -> None:
    """A request that was read is not cut around the SIGTERM of its instance."""
    assert find_lost_faults(*SIGTERM, *recorded) == expected


def test_sigterm_of_another_instance() -> None:
    """Only the instance that took the request matters."""
    signal = examples.disturb(20.0, 26.0, Kind.TERMINATED, "other")
    assert find_lost_faults(*signal, *cut_request(19.0, 20.1)) == KEPT


def test_route_timeout_is_a_reason() -> None:
    """A request may end at its route's timeout."""
    configured = examples.configure(1.0, 1, examples.route("agenda", timeout_s=1.0))
    assert find_lost_faults(configured, *SIGTERM, *cut_request(20.5, 21.5)) == KEPT
    assert find_lost_faults(configured, *SIGTERM, *cut_request(20.5, 21.4)) == BROKEN


@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        (cut_request(22.0, 22.1), BROKEN),
        (cut_request(22.1, 22.2), KEPT),  # sent later than config_s after the signal
        (cut_request(15.0, 20.1), BROKEN),
        (cut_request(15.0, 19.9), KEPT),
    ],
)
def test_cut_around_sighup(recorded: list[events.Event], expected: set[str]) -> None:
    """A request that was read is not cut around the SIGHUP of its instance."""
    assert find_lost_faults(*SIGHUP, *recorded) == expected


@pytest.mark.parametrize(
    ("extra", "key", "expected"),
    [
        (examples.disturb(17.0, 17.6, Kind.FROZEN, "other"), None, KEPT),
        (examples.disturb(17.0, 17.4, Kind.FROZEN, "other"), None, BROKEN),
        (examples.disturb(21.2, 22.0, Kind.FROZEN, "other"), None, BROKEN),
        (examples.disturb(20.4, 20.4, Kind.STARTED, "other"), None, BROKEN),
        (examples.disturb(19.0, 22.0, Kind.STORE_IMPAIRED), None, BROKEN),
        (examples.disturb(19.0, 22.0, Kind.STORE_IMPAIRED), 5, KEPT),
        ((examples.end(21.0, "a"),), None, KEPT),  # the server broke off
        ((examples.finish(21.0, "a", is_complete=False),), None, KEPT),
        ((examples.finish(21.0, "a"),), None, BROKEN),
    ],
)
def test_excuses_from_planned_work(
    extra: tuple[events.Event, ...], key: int | None, expected: set[str]
) -> None:
    """Unplanned impairment and a server that breaks off excuse a cut; the store alone does not."""
    assert find_lost_faults(*SIGTERM, *cut_request(20.5, 21.1, key=key), *extra) == expected


@pytest.mark.parametrize(
    ("sent_s", "cut_s", "end_s", "expected"),
    [
        (22.9, 25.5, 30.0, KEPT),
        (23.1, 25.5, 30.0, BROKEN),  # sent later than 3 s after the signal
        (22.9, 24.9, 30.0, BROKEN),  # cut before the last sixth of the grace period
        (22.9, 25.5, 24.9, BROKEN),  # the server was done by then
    ],
)
def test_server_at_work_at_the_end_of_grace(
    sent_s: float, cut_s: float, end_s: float, expected: set[str]
) -> None:
    """A request may be cut whose server works until the last part of the grace period."""
    recorded = [
        *cut_request(sent_s, cut_s),
        examples.begin(sent_s + 0.05, "a"),
        examples.finish(end_s, "a"),
    ]
    assert find_lost_faults(*SIGTERM, *recorded) == expected


@pytest.mark.parametrize(
    ("end_s", "signature", "planned", "expected"),
    [
        (22.0, "", SIGTERM, BROKEN),
        (20.9, "", SIGTERM, KEPT),  # the server had ended its work
        (22.0, "signed", SIGTERM, KEPT),
        (22.0, "", SIGHUP, KEPT),
        (22.0, "", (), KEPT),
    ],
)
def test_response_in_place_of_running_work(
    end_s: float, signature: str, planned: tuple[events.Event, ...], expected: set[str]
) -> None:
    """After SIGTERM, an instance gives no response of its own while a server is at work."""
    recorded = [
        examples.sending(20.5),
        examples.arrival(20.6, "a"),
        examples.begin(20.6, "a"),
        examples.answer(21.0, status=502, signature=signature),
        examples.finish(end_s, "a"),
    ]
    assert find_lost_faults(*planned, *recorded) == expected


@pytest.mark.parametrize(
    ("answered_s", "arrives", "expected"),
    [
        (21.5, False, KEPT),  # the request before is unanswered when this one is sent
        (21.5, True, BROKEN),
        (20.4, False, BROKEN),
    ],
)
def test_request_behind_another(answered_s: float, arrives: bool, expected: set[str]) -> None:
    """A request that was sent behind another and not passed on does not count."""
    connection = "connection-r1"
    recorded = [
        examples.sending(20.1, "r0", connection=connection),
        examples.answer(answered_s, "r0", status=500, signature="", connection=connection),
        *cut_request(20.5, 21.6, arrives=arrives),
    ]
    assert find_lost_faults(*SIGTERM, *recorded) == expected


def configure_then_cut(
    cut_s: float, *, other_requests: int = 0, other_cuts: int = 0, waited_s: float = 0.5
) -> list[events.Event]:
    """Return a cut beside a version of 20 s, and requests and cuts long before."""
    route = examples.route("agenda", timeout_s=10.0)
    recorded: list[events.Event] = [
        examples.configure(20.0, 2, route, sent_at_s=19.5),
        *cut_request(cut_s - waited_s, cut_s),
    ]
    for index in range(other_requests):
        recorded.append(examples.sending(10.0, f"other-{index}"))
        recorded.append(examples.arrival(10.1, "a", f"other-{index}"))
        if index < other_cuts:
            recorded.append(examples.cut_off(10.2, f"other-{index}"))
        else:
            recorded.append(examples.answer(10.2, f"other-{index}", status=500, signature=""))
    return recorded


@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        (configure_then_cut(21.0, other_requests=10), BROKEN),
        (configure_then_cut(19.4, other_requests=10), KEPT),  # before the operator sent it
        (configure_then_cut(23.0, other_requests=10), BROKEN),
        (configure_then_cut(23.1, other_requests=10), KEPT),
        (configure_then_cut(21.0, other_requests=10, other_cuts=3), BROKEN),
        (configure_then_cut(21.0, other_requests=10, other_cuts=4), KEPT),  # as often as else
        (configure_then_cut(27.0, other_requests=10, waited_s=6.9), KEPT),
    ],
)
def test_cut_around_new_version(recorded: list[events.Event], expected: set[str]) -> None:
    """An instance does not cut requests far more often beside a new version than else."""
    assert find_lost_faults(*recorded) == expected


@pytest.mark.parametrize(("waited_s", "expected"), [(6.9, BROKEN), (7.0, KEPT)])
def test_request_that_has_used_its_time(waited_s: float, expected: set[str]) -> None:
    """Beside a new version, a request may be cut that has used most of its time."""
    recorded = [
        examples.configure(20.0, 2, sent_at_s=19.5),
        *cut_request(22.0 - waited_s, 22.0),
        examples.sending(21.0, "beside"),
        examples.sending(5.0, "other"),
    ]
    assert find_lost_faults(*recorded) == expected
