"""Tests of UNASKED: broken and just allowed."""

from __future__ import annotations

from typing import Any

import pytest
from goldcresthall_stand_ins.rules import events

from tests.stand_ins.rules import examples

BROKEN = {"UNASKED"}
KEPT: set[str] = set()


@pytest.mark.parametrize(("request_id", "expected"), [("r1", KEPT), ("r2", BROKEN), ("", BROKEN)])
def test_run_that_no_caller_asked_for(request_id: str, expected: set[str]) -> None:
    """Each run belongs to a request of a caller."""
    recorded = (examples.sending(1.0, "r1"), examples.begin(1.1, "a", request_id))
    assert examples.find_broken_rules(*recorded) == expected


@pytest.mark.parametrize(
    ("arrived", "expected"),
    [
        ({}, KEPT),
        ({"method": "PUT"}, BROKEN),
        ({"path": "/item?x=2"}, BROKEN),
        ({"body_digest": "other"}, BROKEN),
        ({"body_digest": ""}, KEPT),  # not yet read
    ],
)
def test_changed_request(arrived: dict[str, Any], expected: set[str]) -> None:
    """Method, path, query and body arrive unchanged."""
    whole = {"method": "POST", "path": "/item?x=1", "body_digest": "sent"}
    sent = examples.sending(1.0, **whole)
    arrival = examples.arrival(1.1, "a", **{**whole, **arrived})
    assert examples.find_broken_rules(sent, arrival, examples.begin(1.1, "a")) == expected
    assert examples.find_broken_rules(sent, arrival, examples.begin(1.1, "b")) == KEPT  # not run
    assert examples.find_broken_rules(sent, arrival) == KEPT  # not run


@pytest.mark.parametrize(("digest", "expected"), [("sent", KEPT), ("other", BROKEN)])
def test_body_read_after_response(digest: str, expected: set[str]) -> None:
    """A server that reads on after its response gets the rest of the caller's body."""
    assert (
        examples.find_broken_rules(
            examples.sending(1.0, body_digest="sent"),
            examples.arrival(1.1, "a"),
            examples.begin(1.1, "a"),
            examples.finish(1.2, "a"),
            events.RequestBodyRead(
                at_s=1.3, server="a", incarnation=1, request_id="r1", body_digest=digest
            ),
        )
        == expected
    )
