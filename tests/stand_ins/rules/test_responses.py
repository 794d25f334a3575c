"""Tests of MIXED: each way to break it, and its neighbour."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.stand_ins.rules import examples

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import events

BROKEN = {"MIXED"}
KEPT: set[str] = set()
RUN = (examples.sending(1.0), examples.arrival(1.05, "a"), examples.begin(1.1, "a"))


@pytest.mark.parametrize(
    ("finish", "answer", "expected"),
    [
        (examples.finish(1.2, "a"), examples.answer(1.3), KEPT),
        (examples.finish(1.2, "a"), examples.answer(1.3, signature=""), BROKEN),
        (examples.finish(1.2, "a"), examples.answer(1.3, signature="forged"), BROKEN),
        (examples.finish(1.2, "a"), examples.answer(1.3, body_digest="part"), BROKEN),
        (
            examples.finish(1.2, "a"),
            examples.answer(1.3, body_digest="part", is_complete=False),
            KEPT,
        ),
        # The server had answered with a failure.
        (examples.finish(1.2, "a", status=500), examples.answer(1.3), BROKEN),
        (examples.finish(1.2, "a", status=500), examples.answer(1.3, status=500), KEPT),
        (
            examples.finish(1.2, "a", status=500),
            examples.answer(1.3, status=502, signature=""),
            KEPT,
        ),
        (examples.finish(1.2, "a", status=500), examples.answer(1.3, status=502), BROKEN),
        # The server broke off.
        (examples.finish(1.2, "a", is_complete=False), examples.answer(1.3), BROKEN),
        (
            examples.finish(1.2, "a", is_complete=False),
            examples.answer(1.3, is_complete=False),
            KEPT,
        ),
        # Bytes that are no response.
        (
            examples.finish(1.2, "a"),
            examples.answer(1.3, status=0, signature="", is_valid=False),
            BROKEN,
        ),
        (
            examples.finish(1.2, "a", is_complete=False),
            examples.answer(1.3, status=0, signature="", is_valid=False),
            KEPT,
        ),
        # The ID in the response.
        (examples.finish(1.2, "a"), examples.answer(1.3, echoed_id="r1"), KEPT),
        (examples.finish(1.2, "a"), examples.answer(1.3, echoed_id="r2"), BROKEN),
    ],
)
def test_response_of_one_run(
    finish: events.Event, answer: events.Event, expected: set[str]
) -> None:
    """The caller gets what the server sent, or a failure without a signature."""
    assert examples.find_broken_rules(*RUN, finish, answer) == expected


@pytest.mark.parametrize(("status", "expected"), [(200, BROKEN), (500, BROKEN)])
def test_response_of_another_request(status: int, expected: set[str]) -> None:
    """A success or a failure that a server signed for another request."""
    assert (
        examples.find_broken_rules(
            *RUN,
            examples.sending(1.0, "r2"),
            examples.arrival(1.1, "b", "r2"),
            examples.begin(1.1, "b", "r2"),
            examples.finish(1.2, "b", "r2", signature="second", status=status),
            examples.finish(1.2, "a", "r1", signature="first", status=status),
            examples.answer(1.3, "r1", signature="second", status=status),
        )
        == expected
    )


@pytest.mark.parametrize(
    ("status", "signature", "expected"), [(200, "", BROKEN), (408, "", KEPT), (500, "x", BROKEN)]
)
def test_response_without_request(status: int, signature: str, expected: set[str]) -> None:
    """Only a failure of the instance itself may come with no request waiting."""
    answer = examples.answer(1.3, "", status=status, signature=signature)
    assert examples.find_broken_rules(answer) == expected


def test_either_run_of_idempotent_request_may_answer() -> None:
    """The response is compared with the run that signed it."""
    recorded = (
        *RUN,
        examples.begin(1.15, "b"),
        examples.finish(1.2, "a", signature="first", body_digest="one"),
        examples.finish(1.3, "b", signature="second", body_digest="two"),
    )
    kept = examples.answer(1.4, signature="second", body_digest="two")
    mixed = examples.answer(1.4, signature="second", body_digest="one")
    assert examples.find_broken_rules(*recorded, kept) == KEPT
    assert examples.find_broken_rules(*recorded, mixed) == BROKEN


def test_refusal_of_a_server_is_passed_on() -> None:
    """A signed refusal keeps its status."""
    recorded = (RUN[0], RUN[1], examples.refusal(1.2, "a", status=429, signature="signed"))
    assert examples.find_broken_rules(*recorded, examples.answer(1.3, status=429)) == KEPT
    assert examples.find_broken_rules(*recorded, examples.answer(1.3, status=503)) == BROKEN
