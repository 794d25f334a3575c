"""Tests of BUDGET: repeats, servers of one request, deadlines and `Retry-After`."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import bounds
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind
BROKEN = {"BUDGET"}
KEPT: set[str] = set()
LIMITS = bounds.Bounds(retry_budget_ratio=0.2, budget_slack=3, budget_window_s=10.0)


def find_budget_faults(*recorded: events.Event, limits: bounds.Bounds | None = None) -> set[str]:
    """Return BUDGET if it is broken; the other rules have tests of their own."""
    return examples.find_broken_rules(*recorded, limits=limits) & BROKEN


def send_requests(count: int, at_s: float, prefix: str = "other") -> list[events.Event]:
    """Return requests that arrive once each."""
    return [
        event
        for index in range(count)
        for event in (
            examples.sending(at_s, f"{prefix}-{index}"),
            examples.arrival(at_s, "a", f"{prefix}-{index}"),
        )
    ]


def repeat_requests(count: int, at_s: float, service: str = "agenda") -> list[events.Event]:
    """Return requests that arrive twice each, the first time much earlier."""
    return [
        event
        for index in range(count)
        for event in (
            examples.sending(at_s - 50.0, f"repeated-{index}"),
            examples.arrival(at_s - 50.0, "a", f"repeated-{index}", service=service),
            examples.arrival(at_s, "b", f"repeated-{index}", service=service),
        )
    ]


@pytest.mark.parametrize(
    ("repeats", "requests_at_s", "expected"),
    [
        (4, (), BROKEN),
        (3, (), KEPT),
        (6, (100.0,), BROKEN),
        (5, (100.0,), KEPT),
        (5, (91.0,), KEPT),  # in the window that ends with the repeats or the one before
        (5, (89.0,), BROKEN),  # before the window that begins with the repeats
        (6, (91.0, 95.0), KEPT),
        (6, (89.0, 100.0), BROKEN),  # the windows do not add up
    ],
)
def test_repeats_within_budget(
    repeats: int, requests_at_s: tuple[float, ...], expected: set[str]
) -> None:
    """Each ten requests allow two repeats beside the slack."""
    others = [event for at_s in requests_at_s for event in send_requests(10, at_s, f"other-{at_s}")]
    recorded = [*others, *repeat_requests(repeats, 100.0)]
    assert find_budget_faults(*recorded, limits=LIMITS) == expected


def test_window_slides() -> None:
    """Any span of the window's length counts; repeats further apart do not add up."""
    close = [*repeat_requests(2, 100.0), *shift_ids(repeat_requests(2, 109.9))]
    apart = [*repeat_requests(2, 100.0), *shift_ids(repeat_requests(2, 110.1))]
    assert find_budget_faults(*close, limits=LIMITS) == BROKEN
    assert find_budget_faults(*apart, limits=LIMITS) == KEPT


def shift_ids(recorded: list[events.Event]) -> list[events.Event]:
    """Return the same events for other requests."""
    shifted: list[events.Event] = []
    for event in recorded:
        if isinstance(event, events.CallerSent):
            shifted.append(examples.sending(event.at_s, f"again-{event.request_id}"))
        if isinstance(event, events.RequestArrived):
            shifted.append(examples.arrival(event.at_s, event.server, f"again-{event.request_id}"))
    return shifted


def test_each_service_has_its_budget() -> None:
    """Repeats at two services do not add up."""
    recorded = [
        *repeat_requests(3, 100.0),
        *shift_ids(repeat_requests(3, 100.0)),
    ]
    assert find_budget_faults(*recorded, limits=LIMITS) == BROKEN
    elsewhere = [
        examples.arrival(event.at_s, event.server, f"x-{event.request_id}", service="ledger")
        for event in repeat_requests(3, 100.0)
        if isinstance(event, events.RequestArrived)
    ]
    recorded = [*repeat_requests(3, 100.0), *elsewhere]
    assert find_budget_faults(*recorded, limits=LIMITS) == KEPT


def test_requests_that_never_arrive_count() -> None:
    """Requests on a route to the service allow repeats, whether they arrive or not."""
    sendings = [examples.sending(99.0, f"lost-{index}") for index in range(10)]
    configured = examples.configure(1.0, 1, examples.route("agenda"))
    recorded = [*sendings, *repeat_requests(5, 100.0)]
    assert find_budget_faults(configured, *recorded, limits=LIMITS) == KEPT
    assert find_budget_faults(*recorded, limits=LIMITS) == BROKEN


@pytest.mark.parametrize(
    ("count", "servers", "extra", "expected"),
    [
        (4, ("a", "b", "c"), (), BROKEN),
        (3, ("a", "b", "c"), (), KEPT),
        (4, ("a", "b"), (), KEPT),
        (4, ("a", "b", "a"), (), KEPT),  # two servers
        (4, ("a", "b", "c"), (examples.end(10.15, "a"),), KEPT),
        (4, ("a", "b", "c"), (examples.end(10.9, "a"),), BROKEN),
        (4, ("a", "b", "c"), (examples.end(10.15, "a", 2),), BROKEN),
        (4, ("a", "b", "c"), examples.disturb(10.15, 11, Kind.LINK_CUT, "edge", "a"), KEPT),
        (4, ("a", "b", "c"), examples.disturb(10.15, 11, Kind.LINK_CUT, "edge", "d"), BROKEN),
    ],
)
def test_servers_of_one_request(
    count: int, servers: tuple[str, ...], extra: tuple[events.Event, ...], expected: set[str]
) -> None:
    """A few requests may run on more servers than their route allows."""
    recorded: list[events.Event] = [examples.configure(1.0, 1, examples.route("agenda")), *extra]
    for index in range(count):
        recorded.append(examples.sending(10.0, f"r{index}"))
        for attempt, server in enumerate(servers):
            at_s = 10.1 + attempt / 10
            recorded.append(examples.arrival(at_s, server, f"r{index}"))
            recorded.append(examples.begin(at_s, server, f"r{index}"))
    assert find_budget_faults(*recorded) == expected


@pytest.mark.parametrize(
    ("count", "deadline_s", "expected"),
    [
        (21, None, BROKEN),
        (20, None, KEPT),
        (21, 4.6, BROKEN),
        (21, 4.5, KEPT),
    ],
)
@pytest.mark.parametrize("is_in_touch", [True, False])
def test_deadlines_of_first_arrivals(
    count: int, deadline_s: float | None, is_in_touch: bool, expected: set[str]
) -> None:
    """Servers get the caller's deadline, from instances in touch."""
    recorded: list[events.Event] = []
    for index in range(count):
        recorded.append(examples.sending(10.0, f"r{index}", deadline_s=4.0))
        recorded.append(examples.arrival(10.1, "a", f"r{index}", deadline_s=deadline_s))
    if not is_in_touch:
        recorded += examples.disturb(8.0, 8.5, Kind.FROZEN, "edge")
    assert find_budget_faults(*recorded) == (expected if is_in_touch else KEPT)


@pytest.mark.parametrize(
    ("repeat_s", "deadline_s", "sound_count", "expected"),
    [
        (11.0, 4.0, 0, BROKEN),
        (11.0, 3.5, 0, KEPT),  # ends half a second after the first
        (10.5, 4.4, 0, KEPT),  # sent once more soon
        (11.0, 4.0, 83, BROKEN),
        (11.0, 4.0, 84, KEPT),  # a fifth of all that are sent once more late
    ],
)
def test_deadlines_of_repeats(
    repeat_s: float, deadline_s: float, sound_count: int, expected: set[str]
) -> None:
    """A request that is sent once more ends no later than the first time."""
    recorded: list[events.Event] = []
    for index in range(21 + sound_count):
        second_s = deadline_s if index < 21 else 1.0
        recorded.append(examples.sending(10.0, f"r{index}", deadline_s=4.0))
        recorded.append(examples.arrival(10.0, "a", f"r{index}", deadline_s=4.0))
        recorded.append(examples.arrival(repeat_s, "b", f"r{index}", deadline_s=second_s))
    limits = bounds.Bounds(budget_slack=1_000)
    assert find_budget_faults(*recorded, limits=limits) == expected


@pytest.mark.parametrize(
    ("arrivals_s", "expected"),
    [
        ((10.6, 11.0, 11.9), BROKEN),
        ((10.6, 11.0), KEPT),
        ((10.5, 11.0, 11.9), KEPT),  # half a second to react
        ((10.6, 11.0, 12.0), KEPT),  # the time is over
    ],
)
def test_retry_after_of_a_server(arrivals_s: tuple[float, ...], expected: set[str]) -> None:
    """Few requests reach a server from an instance that it told to wait."""
    arrivals = [examples.arrival(at_s, "a", f"r{at_s}") for at_s in arrivals_s]
    refusal = examples.refusal(10.0, "a", "r", retry_after_s=2.0)
    assert find_budget_faults(refusal, *arrivals) == expected


@pytest.mark.parametrize(
    ("status", "instance", "server", "expected"),
    [
        (503, "edge", "a", BROKEN),
        (429, "edge", "a", KEPT),
        (503, "other", "a", KEPT),
        (503, "edge", "b", KEPT),
    ],
)
def test_who_must_wait(status: int, instance: str, server: str, expected: set[str]) -> None:
    """Only a 503 counts, for its instance and its server."""
    arrivals = [examples.arrival(at_s, "a", f"r{at_s}") for at_s in (10.6, 11.0, 11.9)]
    refusal = examples.refusal(
        10.0, server, "r", instance=instance, status=status, retry_after_s=2.0
    )
    assert find_budget_faults(refusal, *arrivals) == expected


@pytest.mark.parametrize(
    ("disturbance", "expected"),
    [
        ((), BROKEN),
        (examples.disturb(10.1, 10.2, Kind.FROZEN, "edge"), KEPT),
        (examples.disturb(10.1, 10.1, Kind.STARTED, "edge"), KEPT),
        (examples.disturb(10.1, 10.2, Kind.LINK_CUT, "edge", events.STORE), KEPT),
        (examples.disturb(10.1, 10.2, Kind.SLOWED, "edge"), BROKEN),
        (examples.disturb(10.1, 10.2, Kind.FROZEN, "other"), BROKEN),
        (examples.disturb(9.0, 9.9, Kind.FROZEN, "edge"), BROKEN),
        (examples.disturb(9.0, 15.0, Kind.STORE_IMPAIRED), BROKEN),
    ],
)
def test_excuses_from_retry_after(
    disturbance: tuple[events.Event, ...], expected: set[str]
) -> None:
    """A restart, a freeze or a cut of the instance excuses it, and nothing else."""
    arrivals = [examples.arrival(at_s, "a", f"r{at_s}") for at_s in (10.6, 11.0, 11.9)]
    refusal = examples.refusal(10.0, "a", "r", retry_after_s=2.0)
    assert find_budget_faults(*disturbance, refusal, *arrivals) == expected


def test_health_checks_are_no_requests() -> None:
    """Health checks do not count beside `Retry-After`."""
    arrivals = [
        examples.arrival(at_s, "a", "", is_health_check=True) for at_s in (10.6, 11.0, 11.9)
    ]
    refusal = examples.refusal(10.0, "a", "r", retry_after_s=2.0)
    assert find_budget_faults(refusal, *arrivals) == KEPT
