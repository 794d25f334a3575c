"""Tests of CONFIG: each sentence and each excuse, broken and just allowed."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind
BROKEN = {"CONFIG"}
KEPT: set[str] = set()
OLD = examples.configure(
    1.0, 5, examples.route("agenda"), examples.route("agenda", path_prefix="/")
)
NEW = examples.configure(
    20.0, 9, examples.route("ledger"), examples.route("ledger", path_prefix="/new"), sent_at_s=19.8
)


def run(
    sent_s: float,
    service: str,
    request_id: str = "r1",
    *,
    path: str = "/item",
    instance: str = "edge",
    begin_s: float | None = None,
) -> list[events.Event]:
    """Return a request that a server of a service runs and answers."""
    at_s = sent_s + 0.1 if begin_s is None else begin_s
    server = f"server-{service}"
    return [
        examples.sending(sent_s, request_id, path=path, instance=instance),
        examples.arrival(at_s, server, request_id, service=service, path=path, instance=instance),
        examples.begin(at_s, server, request_id),
        examples.finish(at_s, server, request_id, signature=request_id),
        examples.answer(at_s, request_id, signature=request_id),
    ]


def reject(sent_s: float, path: str, request_id: str = "r1") -> list[events.Event]:
    """Return a request that an instance refuses for want of a route."""
    return [
        examples.sending(sent_s, request_id, path=path),
        examples.answer(sent_s + 0.1, request_id, status=404, signature=""),
    ]


@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        (run(22.1, "agenda"), BROKEN),  # by the old service
        (run(22.0, "agenda"), KEPT),
        (run(22.0, "agenda", begin_s=23.0), KEPT),  # sent in time
        (run(22.1, "ledger"), KEPT),
        (run(19.7, "ledger", begin_s=19.9), KEPT),  # sent by the operator, not yet acknowledged
        (run(22.1, "agenda", path="/gone"), BROKEN),  # with a dropped route
        (run(22.0, "agenda", path="/gone"), KEPT),
        (reject(22.1, "/gone"), KEPT),
    ],
)
def test_request_after_new_version(recorded: list[events.Event], expected: set[str]) -> None:
    """A request sent some time after the acknowledgement is handled as the version says."""
    assert examples.find_broken_rules(OLD, NEW, *recorded) == expected


@pytest.mark.parametrize(("sent_s", "expected"), [(22.1, BROKEN), (22.0, KEPT)])
def test_added_route_is_refused(sent_s: float, expected: set[str]) -> None:
    """A 404 though the route is there, as only an older version allows."""
    old = examples.configure(1.0, 5, examples.route("agenda"))
    assert examples.find_broken_rules(old, NEW, *reject(sent_s, "/new")) == expected


def test_newer_version_than_required_is_allowed() -> None:
    """Each version from the newest that is required on may decide a request."""
    newest = examples.configure(21.9, 12, examples.route("archive"))
    for service, expected in (("agenda", BROKEN), ("ledger", KEPT), ("archive", KEPT)):
        assert examples.find_broken_rules(OLD, NEW, newest, *run(22.1, service)) == expected


@pytest.mark.parametrize(
    ("disturbance", "expected"),
    [
        (examples.disturb(19.0, 19.2, Kind.FROZEN, "edge"), KEPT),
        (examples.disturb(19.0, 19.05, Kind.FROZEN, "edge"), BROKEN),
        (examples.disturb(19.0, 19.2, Kind.STORE_IMPAIRED), KEPT),
        (examples.disturb(19.0, 19.2, Kind.FROZEN, "other"), BROKEN),
    ],
)
def test_excuses_from_new_version(
    disturbance: tuple[events.Event, ...], expected: set[str]
) -> None:
    """The instance is in touch while it handles the request."""
    assert examples.find_broken_rules(OLD, NEW, *disturbance, *run(22.1, "agenda")) == expected


@pytest.mark.parametrize(
    ("later_s", "extra", "expected"),
    [
        (20.8, (), BROKEN),
        (20.7, (), KEPT),
        (20.8, examples.disturb(20.6, 20.6, Kind.STARTED, "edge"), KEPT),
        (20.8, examples.disturb(20.6, 20.7, Kind.FROZEN, "edge"), BROKEN),
        (20.8, examples.disturb(20.6, 20.7, Kind.SLOWED, "edge"), KEPT),
        (22.4, examples.disturb(20.6, 20.7, Kind.SLOWED, "edge"), KEPT),
        (22.6, examples.disturb(20.6, 20.7, Kind.SLOWED, "edge"), BROKEN),
        (20.8, examples.disturb(20.6, 20.7, Kind.SLOWED, "other"), BROKEN),
    ],
)
def test_instance_goes_back(
    later_s: float, extra: tuple[events.Event, ...], expected: set[str]
) -> None:
    """After a server saw the effect of a version, its instance uses no older one."""
    new = examples.configure(20.5, 9, examples.route("ledger"), sent_at_s=19.8)
    recorded = [*run(20.4, "ledger"), *run(later_s, "agenda", "r2")]
    assert examples.find_broken_rules(OLD, new, *extra, *recorded) == expected


@pytest.mark.parametrize(
    "earlier",
    [
        run(20.4, "ledger", instance="other"),  # another instance
        run(20.4, "agenda"),  # both versions allow it elsewhere
        reject(20.4, "/gone"),  # no server saw it
    ],
)
def test_instance_does_not_go_back(earlier: list[events.Event]) -> None:
    """Only what a server saw of the newer version, from this instance, counts."""
    assert examples.find_broken_rules(OLD, NEW, *earlier, *run(21.0, "agenda", "r2")) == KEPT


def test_slack_counts_from_the_newer_version() -> None:
    """An older version may be used for a while after the newer one, whatever came before."""
    new = examples.configure(20.5, 9, examples.route("ledger"), sent_at_s=19.8)
    recorded = [
        *run(19.0, "agenda", "r0"),
        *run(20.4, "ledger"),
        *run(20.7, "agenda", "r2"),
    ]
    assert examples.find_broken_rules(OLD, new, *recorded) == KEPT


def hold_requests(
    count: int, answer_s: float | None, prefix: str, *, instance: str = "edge"
) -> list[events.Event]:
    """Return requests sent at 30 s, on a route with a timeout of 2 s."""
    recorded: list[events.Event] = []
    for index in range(count):
        request_id = f"{prefix}-{index}"
        recorded.append(examples.sending(30.0, request_id, instance=instance))
        if answer_s is not None:
            recorded.append(examples.answer(answer_s, request_id, status=504, signature=""))
    return recorded


END_OF_RECORD = examples.readiness(40.0, "edge", is_ready=True)


@pytest.mark.parametrize(
    ("held", "in_time", "early", "expected"),
    [
        (1, 0, 9, BROKEN),
        (1, 1, 0, KEPT),  # half of those that last so long
        (2, 1, 0, BROKEN),
        (8, 23, 0, BROKEN),
        (8, 24, 0, KEPT),  # a quarter
        (7, 8, 0, KEPT),  # fewer than eight, and no more than half
    ],
)
def test_requests_past_timeout(held: int, in_time: int, early: int, expected: set[str]) -> None:
    """Requests that outlast their route's timeout end within half a second."""
    recorded = [
        *hold_requests(held, 32.6, "held"),
        *hold_requests(in_time, 32.4, "in-time"),
        *hold_requests(early, 31.9, "early"),
        END_OF_RECORD,
    ]
    assert examples.find_broken_rules(OLD, *recorded) == expected


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ((), BROKEN),
        ((examples.leave(32.4, "held-0"),), KEPT),
        ((examples.cut_off(32.4, "held-0"),), KEPT),
        (examples.disturb(29.0, 29.6, Kind.FROZEN, "edge"), KEPT),
        (examples.disturb(29.0, 29.4, Kind.FROZEN, "edge"), BROKEN),
    ],
)
def test_request_without_response(extra: tuple[events.Event, ...], expected: set[str]) -> None:
    """A request that is never answered outlasts its timeout, unless its connection ends."""
    recorded = [*hold_requests(1, None, "held"), END_OF_RECORD, *extra]
    assert examples.find_broken_rules(OLD, *recorded) & BROKEN == expected


def test_record_that_ends_early_shows_no_held_request() -> None:
    """The bound must have passed within the record."""
    recorded = [*hold_requests(1, None, "held"), examples.readiness(32.4, "edge", is_ready=True)]
    assert examples.find_broken_rules(OLD, *recorded) == KEPT


@pytest.mark.parametrize(
    ("added", "served", "expected"),
    [(20, 4, BROKEN), (20, 5, KEPT), (19, 0, KEPT)],
)
def test_added_routes_are_served(added: int, served: int, expected: set[str]) -> None:
    """Requests on later routes are served at least a quarter as often as on the first ones."""
    both = (examples.route("agenda"), examples.route("agenda", path_prefix="/new"))
    recorded: list[events.Event] = [
        examples.configure(1.0, 5, both[0]),
        examples.configure(2.0, 6, *both),
        *run(30.0, "agenda", "first"),
    ]
    for index in range(added):
        request_id = f"added-{index}"
        if index < served:
            recorded += run(30.0, "agenda", request_id, path="/new")
        else:
            recorded.append(examples.sending(30.0, request_id, path="/new"))
            recorded.append(examples.answer(30.1, request_id, status=503, signature=""))
    assert examples.find_broken_rules(*recorded) == expected


@pytest.mark.parametrize(
    ("agenda", "ledger", "rejected", "expected"),
    [
        (191, 9, 0, BROKEN),  # 0.955 instead of 0.75
        (189, 11, 0, KEPT),
        (109, 91, 0, BROKEN),
        (111, 89, 0, KEPT),
        (189, 0, 11, KEPT),  # a part without room rejects its requests
        (100, 50, 50, KEPT),
        (100, 96, 4, BROKEN),  # moved to the other part instead
        (190, 9, 0, KEPT),  # too few requests
    ],
)
def test_split_traffic(agenda: int, ledger: int, rejected: int, expected: set[str]) -> None:
    """Each part's share is near its weight."""
    split = examples.route("agenda", "ledger", weights=(3.0, 1.0))
    recorded: list[events.Event] = [examples.configure(1.0, 5, split)]
    for service, count in (("agenda", agenda), ("ledger", ledger)):
        for index in range(count):
            recorded += run(30.0, service, f"{service}-{index}")
    for index in range(rejected):
        recorded.append(examples.sending(30.0, f"rejected-{index}"))
        recorded.append(examples.answer(30.1, f"rejected-{index}", status=503, signature=""))
    assert examples.find_broken_rules(*recorded) == expected


def test_split_counts_in_undisturbed_times_only() -> None:
    """Shares of an instance that is out of touch do not count."""
    split = examples.route("agenda", "ledger", weights=(3.0, 1.0))
    recorded: list[events.Event] = [examples.configure(1.0, 5, split)]
    for index in range(200):
        recorded += run(30.0, "ledger", f"ledger-{index}")
    frozen = examples.disturb(28.0, 28.5, Kind.FROZEN, "edge")
    assert examples.find_broken_rules(*recorded) == BROKEN
    assert examples.find_broken_rules(*recorded, *frozen) == KEPT
