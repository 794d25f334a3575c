"""Tests of OWNER: each sentence and each excuse, broken and just allowed."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind
BROKEN = {"OWNER"}
KEPT: set[str] = set()


def find_owner_faults(*recorded: events.Event) -> set[str]:
    """Return OWNER if it is broken; the other rules have tests of their own."""
    return examples.find_broken_rules(*recorded) & BROKEN


@pytest.mark.parametrize(
    ("second_begin_s", "second_key", "expected"),
    [
        (2.8, 5, BROKEN),
        (2.8, 7, BROKEN),  # another key of those that both hold
        (3.0, 5, KEPT),  # the first lease has run out
    ],
)
def test_both_holders_begin_requests(
    second_begin_s: float, second_key: int, expected: set[str]
) -> None:
    """Two holders for less than half a second break the rule once both begin requests."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, lease_s=2.0),
            examples.grant(2.6, "b", 6),
            examples.begin(2.7, "a", "r1", key=5),
            examples.finish(2.75, "a", "r1"),
            examples.begin(second_begin_s, "b", "r2", key=second_key),
        )
        == expected
    )


def test_only_one_holder_begins_requests() -> None:
    """Two holders for a short time are allowed while only one begins requests."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, lease_s=2.0),
            examples.grant(2.6, "b", 6),
            examples.begin(2.7, "b", "r1", key=5),
            examples.begin(2.8, "b", "r2", key=6),
        )
        == KEPT
    )


def test_requests_on_keys_of_one_holder_only() -> None:
    """A request on a key that only its server holds shows no shared key."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, keys=(0, 99), lease_s=2.0),
            examples.grant(2.6, "b", 6, keys=(50, 99)),
            examples.begin(2.7, "a", "r1", key=49),
            examples.begin(2.8, "b", "r2", key=50),
        )
        == KEPT
    )


@pytest.mark.parametrize(("second_grant_s", "expected"), [(2.4, BROKEN), (2.6, KEPT)])
def test_two_holders_for_too_long(second_grant_s: float, expected: set[str]) -> None:
    """Over half a second with two holders breaks the rule without any request."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, lease_s=2.0), examples.grant(second_grant_s, "b", 6)
        )
        == expected
    )


def test_renewals_in_pieces_add_up() -> None:
    """Renewals of parts of a range are one lease of each key without a gap."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, lease_s=2.0),
            examples.grant(2.7, "b", 6, keys=(0, 99), lease_s=0.2),
            examples.grant(2.8, "a", 5, keys=(0, 49), lease_s=2.0),
            examples.grant(2.85, "b", 6, keys=(20, 60), lease_s=1.0),
        )
        == BROKEN
    )


@pytest.mark.parametrize(
    ("ending", "expected"),
    [
        (examples.release(2.0, "a"), KEPT),
        (examples.release(2.0, "a", keys=(0, 49)), BROKEN),
        (examples.end(2.0, "a"), KEPT),
        (examples.start(2.0, "a", 2), KEPT),
        (examples.start(2.0, "c"), BROKEN),
    ],
)
def test_lease_that_ends_early(ending: events.Event, expected: set[str]) -> None:
    """A release of all keys, an end or a new start of the holder frees the keys at once."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, lease_s=4.0), ending, examples.grant(2.0, "b", 6)
        )
        == expected
    )


def test_renewal_reaches_next_incarnation() -> None:
    """A renewal taken by the next incarnation makes it a holder (seen in an earlier hunt)."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 10, lease_s=3.0),
            examples.start(2.0, "a", 2),
            examples.grant(2.1, "a", 10, lease_s=3.0, incarnation=2),
            examples.grant(2.3, "b", 15),
        )
        == BROKEN
    )


@pytest.mark.parametrize(
    ("fence", "keys", "expected"),
    [
        (5, examples.ALL_KEYS, BROKEN),
        (4, (99, 120), BROKEN),
        (4, (100, 120), KEPT),
        (6, examples.ALL_KEYS, KEPT),
    ],
)
def test_fence_rises_from_server_to_server(
    fence: int, keys: tuple[int, int], expected: set[str]
) -> None:
    """A fence exceeds all that other servers had on a key, even those that have ended."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5),
            examples.end(2.0, "a"),
            examples.grant(9.0, "b", fence, keys=keys),
        )
        == expected
    )


def test_fence_compares_with_other_servers_only() -> None:
    """A renewal keeps its fence."""
    assert find_owner_faults(examples.grant(1.0, "a", 5), examples.grant(2.0, "a", 5)) == KEPT


@pytest.mark.parametrize(
    ("second_grant_s", "ending", "expected"),
    [
        (4.9, None, BROKEN),
        (5.1, None, KEPT),  # the first lease has run out
        (4.9, examples.finish(4.8, "a"), KEPT),
        (4.9, examples.end(4.8, "a"), KEPT),
    ],
)
def test_key_given_on_under_running_work(
    second_grant_s: float, ending: events.Event | None, expected: set[str]
) -> None:
    """A release does not make a key free while its holder works and its lease would run."""
    endings = () if ending is None else (ending,)
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5, lease_s=4.0),
            examples.begin(1.5, "a", key=7),
            examples.release(2.0, "a"),
            *endings,
            examples.grant(second_grant_s, "b", 6),
        )
        == expected
    )


def test_work_on_another_key_does_not_matter() -> None:
    """Only keys of the grant count."""
    assert (
        find_owner_faults(
            examples.grant(1.0, "a", 5),
            examples.begin(1.5, "a", key=7),
            examples.release(2.0, "a"),
            examples.grant(2.5, "b", 6, keys=(8, 99)),
        )
        == KEPT
    )


@pytest.mark.parametrize(
    ("disturbance", "expected"),
    [
        (examples.disturb(1.0, 2.3, Kind.FROZEN, "lessor"), KEPT),
        (examples.disturb(1.0, 2.1, Kind.FROZEN, "lessor"), BROKEN),  # over thaw_s before
        (examples.disturb(1.0, 2.6, Kind.FROZEN, "lessor"), BROKEN),  # only afterwards
        (examples.disturb(1.0, 2.3, Kind.FROZEN, "edge"), BROKEN),  # not the sender
        (examples.disturb(1.0, 2.3, Kind.SLOWED, "lessor"), BROKEN),
        (examples.disturb(1.0, 2.3, Kind.LINK_CUT, "lessor", "b"), KEPT),
        (examples.disturb(1.0, 2.3, Kind.LINK_CUT, "edge", "c"), BROKEN),
    ],
)
@pytest.mark.parametrize("fence", [4, 6])
def test_grants_after_thaw_do_not_count(
    disturbance: tuple[events.Event, ...], fence: int, expected: set[str]
) -> None:
    """A grant that arrives just after its sender thawed or a link healed is excused."""
    assert (
        find_owner_faults(
            *disturbance,
            examples.grant(0.5, "a", 5, lease_s=4.0),
            examples.grant(2.5, "b", fence),
            examples.begin(2.6, "a", "r1", key=7),
            examples.begin(2.6, "b", "r2", key=7),
        )
        == expected
    )


@pytest.mark.parametrize(
    ("sent_at_s", "arrived_at_s", "expected"),
    [
        (2.0, 2.5, KEPT),  # held up on its way
        (2.4, 2.5, BROKEN),
        (None, 2.0, KEPT),  # taken late
        (None, 2.5, BROKEN),
    ],
)
def test_delayed_grants_excuse_long_overlap_only(
    sent_at_s: float | None, arrived_at_s: float, expected: set[str]
) -> None:
    """A grant that was held up or taken late is excused from the bound of half a second."""
    first = examples.grant(1.0, "a", 5, lease_s=4.0)
    late = examples.grant(2.5, "b", 6, sent_at_s=sent_at_s, arrived_at_s=arrived_at_s)
    requests = (examples.begin(2.6, "a", "r1", key=7), examples.begin(2.6, "b", "r2", key=7))
    assert find_owner_faults(first, late) == expected
    assert find_owner_faults(first, late, *requests) == BROKEN


def test_work_under_delayed_grant() -> None:
    """A delayed grant is excused also if another server still works on a key of it."""
    earlier = (
        examples.grant(1.0, "a", 5),
        examples.begin(1.5, "a", key=7),
        examples.release(2.0, "a"),
    )
    assert find_owner_faults(*earlier, examples.grant(2.5, "b", 6, sent_at_s=2.0)) == KEPT
    assert find_owner_faults(*earlier, examples.grant(2.5, "b", 6, sent_at_s=2.4)) == BROKEN
