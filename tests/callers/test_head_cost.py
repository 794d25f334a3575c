"""Tests of the memory that the head of a request counts for."""

from __future__ import annotations

import pytest

from goldcresthall.callers import head_cost

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nx:\r\n\r\n"
BODY = b"1\r\nx\r\n" * 50
EXPECTED = len(HEAD) + head_cost.REQUEST_BYTES + HEAD.count(b"\n") * head_cost.FIELD_BYTES


@pytest.mark.parametrize("size", [1, 2, 3, 7, len(HEAD) + len(BODY)])
@pytest.mark.parametrize("head", [HEAD, HEAD.replace(b"\r\n", b"\n")])
def test_head_counts_the_same_however_it_is_cut(size: int, head: bytes) -> None:
    cost = head_cost.HeadCost()
    message = head + BODY
    counted = sum(cost.add(message[at : at + size]) for at in range(0, len(message), size))
    assert counted == EXPECTED - len(HEAD) + len(head)


def test_unfinished_head_counts_by_its_bytes() -> None:
    cost = head_cost.HeadCost()
    assert cost.add(HEAD[:-2]) == len(HEAD) - 2
    assert cost.add(b"") == 0


def test_body_does_not_count_as_head() -> None:
    cost = head_cost.HeadCost()
    cost.add(HEAD)
    assert cost.add(BODY) == 0
