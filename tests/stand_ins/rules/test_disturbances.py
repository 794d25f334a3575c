"""Tests of the questions about disturbances that the rules ask."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records

from tests.stand_ins.rules import examples

Kind = events.DisturbanceKind


def create_log(kind: Kind, instance: str = "", peer: str = "") -> disturbances.DisturbanceLog:
    """Return a log of one disturbance from 10 to 11 s; the stable window is 3 s."""
    recorded = examples.disturb(10.0, 11.0, kind, instance, peer)
    return disturbances.DisturbanceLog(records.Record.from_events(recorded))


@pytest.mark.parametrize(
    ("at_s", "expected"), [(9.9, True), (10.0, False), (14.0, False), (14.1, True)]
)
@pytest.mark.parametrize(
    ("disturbance", "matters"),
    [
        *(((kind, "edge", ""), True) for kind in disturbances.PROCESS_KINDS),
        ((Kind.RELOADED, "edge", ""), False),
        ((Kind.FROZEN, "other", ""), False),
        ((Kind.LINK_CUT, "edge", events.STORE), True),
        ((Kind.LINK_CUT, "edge", ""), True),
        ((Kind.LINK_CUT, "edge", "a"), False),
        ((Kind.LINK_CUT, "", "a"), False),
        ((Kind.LINK_HARMED, "edge", "a"), True),
        ((Kind.STORE_IMPAIRED, "", ""), True),
    ],
)
def test_in_touch(
    disturbance: tuple[Kind, str, str], matters: bool, at_s: float, expected: bool
) -> None:
    """An instance is in touch after a whole window without disturbance of it or the store."""
    log = create_log(*disturbance)
    assert log.is_in_touch("edge", at_s) == (expected or not matters)


@pytest.mark.parametrize(
    ("kind", "instance", "peer", "expected"),
    [
        (Kind.LINK_CUT, "edge", "a", True),
        (Kind.LINK_CUT, "edge", "", True),
        (Kind.LINK_CUT, "", "a", True),
        (Kind.LINK_CUT, "other", "a", False),
        (Kind.LINK_CUT, "edge", "b", False),
        (Kind.FROZEN, "edge", "", False),
    ],
)
def test_links(kind: Kind, instance: str, peer: str, expected: bool) -> None:
    """A link is that of its instance and its peer; an empty end stands for all."""
    log = create_log(kind, instance, peer)
    assert log.was_link_cut("edge", "a", 10.5, 10.6) == expected
    assert log.was_link_disturbed("edge", "a", 14.0) == expected
    assert not log.was_link_cut("edge", "a", 11.1, 12.0)
    assert not log.was_link_disturbed("edge", "a", 14.1)


def test_harmed_link_is_not_cut() -> None:
    """Loss or delay disturbs a link without cutting it."""
    log = create_log(Kind.LINK_HARMED, "edge", "a")
    assert log.was_link_disturbed("edge", "a", 11.0)
    assert not log.was_link_cut("edge", "a", 10.0, 11.0)
    assert not log.was_cut("edge", 10.0, 11.0)


@pytest.mark.parametrize(
    ("kind", "restarted", "restarted_or_frozen", "slowed", "cut"),
    [
        (Kind.KILLED, True, True, False, False),
        (Kind.STARTED, True, True, False, False),
        (Kind.FROZEN, False, True, False, False),
        (Kind.TERMINATED, False, False, False, False),
        (Kind.SLOWED, False, False, True, False),
        (Kind.LINK_CUT, False, False, False, True),
    ],
)
def test_kinds(
    kind: Kind, restarted: bool, restarted_or_frozen: bool, slowed: bool, cut: bool
) -> None:
    """Each question asks for certain kinds, one instance and a span of time."""
    log = create_log(kind, "edge")
    questions = (log.was_restarted, log.was_restarted_or_frozen, log.was_slowed, log.was_cut)
    assert [question("edge", 9.0, 10.0) for question in questions] == [
        restarted,
        restarted_or_frozen,
        slowed,
        cut,
    ]
    assert not any(question("other", 9.0, 12.0) for question in questions)
    assert not any(question("edge", 11.1, 12.0) for question in questions)


def test_disturbance_without_end_lasts() -> None:
    """A disturbance that does not end within the record lasts until its end."""
    began = events.DisturbanceBegan(at_s=10.0, number=1, kind=Kind.FROZEN, instance="edge")
    log = disturbances.DisturbanceLog(records.Record.from_events((began,)))
    assert not log.is_in_touch("edge", 1_000.0)
