"""Tests of TWICE and REFUSED: broken and just allowed."""

from __future__ import annotations

import pytest

from tests.stand_ins.rules import examples

KEPT: set[str] = set()


@pytest.mark.parametrize(("is_idempotent", "expected"), [(False, {"TWICE"}), (True, KEPT)])
def test_request_that_runs_twice(is_idempotent: bool, expected: set[str]) -> None:
    """Only idempotent requests run more than once."""
    assert (
        examples.find_broken_rules(
            examples.sending(1.0, is_idempotent=is_idempotent),
            examples.begin(1.1, "a"),
            examples.begin(1.2, "b"),
        )
        == expected
    )


def test_second_server_after_refusal() -> None:
    """A server that rejects a request has not run it."""
    assert (
        examples.find_broken_rules(
            examples.sending(1.0, is_idempotent=False),
            examples.arrival(1.1, "a"),
            examples.refusal(1.1, "a"),
            examples.arrival(1.2, "b"),
            examples.begin(1.2, "b"),
        )
        == KEPT
    )


def test_repeat_by_the_caller_is_a_new_request() -> None:
    """Each attempt of a caller has an ID of its own."""
    assert (
        examples.find_broken_rules(
            examples.sending(1.0, "r1", is_idempotent=False),
            examples.begin(1.1, "a", "r1"),
            examples.sending(2.0, "r2", is_idempotent=False),
            examples.begin(2.1, "a", "r2"),
        )
        == KEPT
    )


@pytest.mark.parametrize("begin_s", [1.1, 9.0])
@pytest.mark.parametrize(
    ("status", "is_idempotent", "expected"),
    [
        (429, False, {"REFUSED"}),
        (503, False, {"REFUSED"}),
        (408, False, {"REFUSED"}),
        (421, False, {"REFUSED"}),
        (502, False, KEPT),
        (504, False, KEPT),
        (503, True, KEPT),
    ],
)
def test_refused_request_that_runs(
    begin_s: float, status: int, is_idempotent: bool, expected: set[str]
) -> None:
    """A refusal promises that the request has not run and never will."""
    assert (
        examples.find_broken_rules(
            examples.sending(1.0, is_idempotent=is_idempotent),
            examples.begin(begin_s, "a"),
            examples.answer(2.0, status=status, signature=""),
        )
        == expected
    )


def test_refused_request_that_does_not_run() -> None:
    """A run of another request does not matter."""
    assert (
        examples.find_broken_rules(
            examples.sending(1.0, "r1", is_idempotent=False),
            examples.sending(1.0, "r2", is_idempotent=False),
            examples.begin(1.1, "a", "r2"),
            examples.answer(2.0, "r1", status=503, signature=""),
        )
        == KEPT
    )
