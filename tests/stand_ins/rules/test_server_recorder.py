"""Tests of what is recorded of one server."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins import web
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import recorder as recorders
from goldcresthall_stand_ins.rules import rulebook
from goldcresthall_stand_ins.rules import server_recorder


@pytest.fixture
def collected() -> recorders.Recorder:
    """Return an empty recorder."""
    return recorders.Recorder()


@pytest.fixture
def server(collected: recorders.Recorder) -> server_recorder.ServerRecorder:
    """Return the recorder of a server that has started."""
    recorder = server_recorder.ServerRecorder(collected, "a", "agenda")
    recorder.record_start("127.0.0.1:1")
    return recorder


def test_events_bear_the_incarnation(
    collected: recorders.Recorder, server: server_recorder.ServerRecorder
) -> None:
    """Each start is a new incarnation of the server."""
    server.record_grant(range(100), 5, 4.0, 1.0)
    server.record_release(range(50))
    server.record_end()
    server.record_start("127.0.0.1:2")
    server.record_grant(range(100), 6, 4.0, 1.0, "edge")
    record = collected.collect()
    assert [
        (event.incarnation, event.last_key, event.fence, event.sender)
        for event in record.select(events.GrantTaken)
    ] == [(1, 99, 5, ""), (2, 99, 6, "edge")]
    assert [event.incarnation for event in record.select(events.ServerStarted)] == [1, 2]
    assert [event.incarnation for event in record.select(events.ServerEnded)] == [1]
    assert [event.last_key for event in record.select(events.KeysReleased)] == [49]


def test_request_is_recorded_as_it_arrives(
    collected: recorders.Recorder, server: server_recorder.ServerRecorder
) -> None:
    """Headers of the platform become fields, and the digest is that of the caller."""
    headers = {
        "goldcresthall-request-id": "r1",
        "goldcresthall-shard-key": "7",
        "goldcresthall-request-deadline": "2500",
    }
    server.record_arrival(web.Request("POST", "/item", {"x": "1"}, headers, b"body"), "edge")
    server.record_arrival(web.Request("GET", "/health", {}, {}, b""), "edge")
    request, health_check = collected.collect().select(events.RequestArrived)
    assert (request.request_id, request.instance, request.key) == ("r1", "edge", 7)
    assert (request.method, request.path, request.deadline_s) == ("POST", "/item?x=1", 2.5)
    assert request.body_digest == server_recorder.compute_digest(b"body")
    assert not request.is_health_check
    assert health_check.is_health_check


@pytest.mark.parametrize(("body", "expected"), [(b"whole", set()), (b"part", {"MIXED"})])
def test_recorded_run_is_judged(
    collected: recorders.Recorder,
    server: server_recorder.ServerRecorder,
    body: bytes,
    expected: set[str],
) -> None:
    """What the recorder of a server writes is enough for the rules."""
    headers = {"goldcresthall-request-id": "r1"}
    at_s = collected.read_s()
    collected.add(
        events.CallerSent(
            at_s=at_s,
            request_id="r1",
            instance="edge",
            connection="c1",
            is_idempotent=False,
            path="/item",
            body_digest=server_recorder.compute_digest(b""),
        )
    )
    server.record_arrival(web.Request("GET", "/item", {}, headers, b""), "edge")
    server.record_run("r1", None)
    server.record_response("r1", 200, "signed", b"whole")
    server.record_refusal("r2", 503, instance="edge", retry_after_s=1.0)
    collected.add(
        events.CallerAnswered(
            at_s=collected.read_s(),
            request_id="r1",
            connection="c1",
            status=200,
            signature="signed",
            body_digest=server_recorder.compute_digest(body),
        )
    )
    record = collected.collect()
    assert {violation.rule for violation in rulebook.check(record)} == expected
    assert record.select(events.RequestRefused)[0].retry_after_s == 1.0
