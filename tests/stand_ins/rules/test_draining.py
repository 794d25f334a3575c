"""Tests of DRAIN: each sentence and each excuse, broken and just allowed."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import bounds
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind
State = events.ServerState
BROKEN = {"DRAIN"}
KEPT: set[str] = set()


def find_drain_faults(*recorded: events.Event, limits: bounds.Bounds | None = None) -> set[str]:
    """Return DRAIN if it is broken; the other rules have tests of their own."""
    return examples.find_broken_rules(*recorded, limits=limits) & BROKEN


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
@pytest.mark.parametrize(("arrival_s", "expected"), [(12.01, BROKEN), (12.0, KEPT)])
def test_request_after_store_word(state: State, arrival_s: float, expected: set[str]) -> None:
    """No request arrives later than the bound after the store's acknowledgement."""
    assert (
        find_drain_faults(
            examples.acknowledge(10.0, "a", state),
            examples.sending(arrival_s - 0.1),
            examples.arrival(arrival_s, "a"),
        )
        == expected
    )


def test_bound_of_the_record_counts() -> None:
    """The bound comes with the record."""
    recorded = (examples.acknowledge(10.0, "a", State.GONE), examples.arrival(12.3, "a"))
    assert find_drain_faults(*recorded) == BROKEN
    assert find_drain_faults(*recorded, limits=bounds.Bounds(drain_s=2.5)) == KEPT


@pytest.mark.parametrize(
    ("second", "arrival_s", "expected"),
    [
        (examples.acknowledge(11.0, "a", State.GONE), 12.5, BROKEN),  # the first one counts
        (examples.acknowledge(11.0, "a", State.READY), 12.5, KEPT),
        (examples.acknowledge(11.0, "a", State.READY, 2), 12.5, BROKEN),  # another incarnation
        (examples.acknowledge(11.0, "b", State.READY), 12.5, BROKEN),
    ],
)
def test_later_states(second: events.Event, arrival_s: float, expected: set[str]) -> None:
    """Only a ready state of the same incarnation ends the leaving."""
    assert (
        find_drain_faults(
            examples.acknowledge(10.0, "a", State.DRAINING),
            second,
            examples.arrival(arrival_s, "a"),
        )
        == expected
    )


@pytest.mark.parametrize(
    ("arrival", "expected"),
    [
        (examples.arrival(13.0, "a"), BROKEN),
        (examples.arrival(13.0, "a", incarnation=2), KEPT),
        (examples.arrival(13.0, "b"), KEPT),
        (examples.arrival(13.0, "a", is_health_check=True), KEPT),
    ],
)
def test_arrivals_that_count(arrival: events.Event, expected: set[str]) -> None:
    """Health checks and requests to other servers or incarnations do not count."""
    recorded = (examples.acknowledge(10.0, "a", State.DRAINING), arrival)
    assert find_drain_faults(*recorded) == expected


@pytest.mark.parametrize(("status", "expected"), [(421, KEPT), (503, BROKEN)])
def test_misdirected_requests_do_not_count(status: int, expected: set[str]) -> None:
    """Only a server that is not the one meant is excused."""
    assert (
        find_drain_faults(
            examples.acknowledge(10.0, "a", State.DRAINING),
            examples.arrival(13.0, "a"),
            examples.refusal(13.0, "a", status=status),
        )
        == expected
    )


@pytest.mark.parametrize(
    ("disturbance", "expected"),
    [
        # The store is impaired before its acknowledgement, or before the request.
        (examples.disturb(5.0, 7.5, Kind.STORE_IMPAIRED), KEPT),
        (examples.disturb(5.0, 6.9, Kind.STORE_IMPAIRED), BROKEN),
        (examples.disturb(12.0, 12.5, Kind.STORE_IMPAIRED), KEPT),
        # The sending instance is out of touch in the window before the request.
        (examples.disturb(9.0, 11.5, Kind.FROZEN, "edge"), KEPT),
        (examples.disturb(9.0, 10.9, Kind.FROZEN, "edge"), BROKEN),
        (examples.disturb(14.1, 15.0, Kind.FROZEN, "edge"), BROKEN),
        (examples.disturb(9.0, 11.5, Kind.FROZEN, "other"), BROKEN),
        (examples.disturb(11.5, 11.5, Kind.STARTED, "edge"), KEPT),
        (examples.disturb(11.5, 11.5, Kind.RELOADED, "edge"), BROKEN),
        (examples.disturb(11.0, 11.5, Kind.LINK_CUT, "edge", events.STORE), KEPT),
        (examples.disturb(11.0, 11.5, Kind.LINK_HARMED, "edge", "b"), KEPT),
        # The request was held up on its link.
        (examples.disturb(11.0, 11.5, Kind.LINK_CUT, "edge", "a"), KEPT),
        (examples.disturb(11.0, 11.5, Kind.LINK_CUT, "edge", "b"), BROKEN),
        # The instance that took the request from its caller is out of touch.
        (examples.disturb(9.0, 11.5, Kind.FROZEN, "taker"), KEPT),
        (examples.disturb(9.0, 10.5, Kind.FROZEN, "taker"), BROKEN),
    ],
)
def test_excuses_from_store_word(disturbance: tuple[events.Event, ...], expected: set[str]) -> None:
    """Store, taking and sending instance are in touch, and their link is sound."""
    assert (
        find_drain_faults(
            *disturbance,
            examples.acknowledge(10.0, "a", State.DRAINING),
            examples.sending(13.9, instance="taker"),
            examples.arrival(14.0, "a", instance="edge"),
        )
        == expected
    )


def test_taking_instance_was_out_of_touch_when_it_took_the_request() -> None:
    """An instance that was out of touch when it took a request is excused until the end."""
    recorded = (
        examples.acknowledge(10.0, "a", State.DRAINING),
        examples.sending(12.5, instance="taker"),
        examples.arrival(16.0, "a", instance="edge"),
    )
    frozen = examples.disturb(10.0, 10.5, Kind.FROZEN, "taker")
    assert find_drain_faults(*recorded) == BROKEN
    assert find_drain_faults(*recorded, *frozen) == KEPT


@pytest.mark.parametrize(
    ("sent_s", "instance", "server", "expected"),
    [
        (12.1, "edge", "a", BROKEN),
        (12.0, "edge", "a", KEPT),  # sent in time, though it arrives later
        (12.1, "other", "a", KEPT),
        (12.1, "edge", "b", KEPT),
    ],
)
def test_request_after_server_word(
    sent_s: float, instance: str, server: str, expected: set[str]
) -> None:
    """An instance that passed on that a server leaves sends it no later request."""
    assert (
        find_drain_faults(
            examples.say_leaving(10.0, "a"),
            examples.say_leaving(11.0, "a"),
            examples.sending(sent_s),
            examples.arrival(12.5, server, instance=instance),
        )
        == expected
    )


@pytest.mark.parametrize(
    ("disturbance", "expected"),
    [
        (examples.disturb(11.0, 11.1, Kind.FROZEN, "edge"), KEPT),
        (examples.disturb(11.0, 11.0, Kind.STARTED, "edge"), KEPT),
        (examples.disturb(9.0, 9.9, Kind.FROZEN, "edge"), BROKEN),  # before it passed that on
        (examples.disturb(11.0, 11.1, Kind.FROZEN, "other"), BROKEN),
        (examples.disturb(9.0, 15.0, Kind.STORE_IMPAIRED), BROKEN),  # in touch or not
        (examples.disturb(11.0, 15.0, Kind.LINK_CUT, "edge", events.STORE), BROKEN),
    ],
)
def test_excuses_from_server_word(
    disturbance: tuple[events.Event, ...], expected: set[str]
) -> None:
    """Only a restart or a freeze of the instance since then excuses it."""
    assert (
        find_drain_faults(
            *disturbance,
            examples.say_leaving(10.0, "a"),
            examples.sending(13.0),
            examples.arrival(13.1, "a"),
        )
        == expected
    )


def terminate(
    instance: str, *, is_ready_later: bool, ended_at_s: float = 16.0
) -> list[events.Event]:
    """Return the events of an instance that gets SIGTERM at 10 s."""
    return [
        examples.readiness(9.5, instance, is_ready=True),
        *examples.disturb(10.0, ended_at_s, Kind.TERMINATED, instance),
        examples.readiness(12.5, instance, is_ready=is_ready_later),
        examples.readiness(13.5, instance, is_ready=False),
    ]


@pytest.mark.parametrize(
    ("still_ready", "leaving", "expected"),
    [(2, 0, BROKEN), (1, 0, KEPT), (2, 5, BROKEN), (2, 6, KEPT)],
)
def test_instances_leave_rotation(still_ready: int, leaving: int, expected: set[str]) -> None:
    """Two instances and over a quarter still count as ready; one missed answer is not enough."""
    recorded = [
        event
        for index in range(still_ready + leaving)
        for event in terminate(f"edge-{index}", is_ready_later=index < still_ready)
    ]
    assert find_drain_faults(*recorded) == expected


def test_ended_instances_do_not_count_as_ready() -> None:
    """An instance that no longer runs is out of rotation."""
    recorded = [
        event
        for index in range(3)
        for event in terminate(f"edge-{index}", is_ready_later=True, ended_at_s=13.9)
    ]
    assert find_drain_faults(*recorded) == KEPT


def test_only_instances_ready_at_the_signal_count() -> None:
    """Instances that were not ready when SIGTERM came do not thin out those that were."""
    recorded = [
        event for index in range(2) for event in terminate(f"edge-{index}", is_ready_later=True)
    ]
    for index in range(8):
        recorded.append(examples.readiness(9.5, f"idle-{index}", is_ready=False))
        recorded += examples.disturb(10.0, 16.0, Kind.TERMINATED, f"idle-{index}")
    assert find_drain_faults(*recorded) == BROKEN
