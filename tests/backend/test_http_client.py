"""Tests of the HTTP client of backend servers."""

from __future__ import annotations

import dataclasses
import select
import time
from typing import TYPE_CHECKING

import pytest

from goldcresthall.backend import connections
from goldcresthall.backend import http_client
from goldcresthall.core import attempts
from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.routing import retries
from tests.backend import raw_server

if TYPE_CHECKING:
    from collections.abc import Iterator

ECHO = b"Goldcresthall-Request-Id: request-1\r\n"
COMPLETE = raw_server.Script((b"HTTP/1.1 200 OK\r\n" + ECHO + b"Content-Length: 5\r\n\r\nwhole",))
UNNAMED = raw_server.Script((b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",))
SHED = b"HTTP/1.1 503 -\r\nGoldcresthall-Not-Run: shed\r\n%sContent-Length: 0\r\n\r\n"
DRIPPING_HEADERS = raw_server.Script((b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"), drips=True)
DRIPPING_BODY = raw_server.Script(
    (b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", b"x"), drips=True
)
SILENT = raw_server.Script(())
TIMEOUT_S = 0.3
EXCHANGE_TIMEOUT_S = 5.0


@pytest.fixture
def client() -> Iterator[http_client.HttpBackendClient]:
    created = http_client.HttpBackendClient()
    created.start()
    yield created
    created.stop()


def create_dispatch(
    address: identity.Address, method: str = "GET", timeout_s: float = EXCHANGE_TIMEOUT_S
) -> attempts.Dispatch:
    server = preset.BackendServer(name="program-1", address=address, failure_domain="domain-1")
    return attempts.Dispatch(
        request_id="request-1",
        server=server,
        connection_limit=10,
        method=method,
        target="/pages/molde",
        headers=(
            outcomes.Header("Expect", "100-continue"),
            outcomes.Header("Goldcresthall-Epoch", "9"),
            outcomes.Header("Accept-Language", "nn"),
        ),
        body=b"",
        timeout_s=timeout_s,
    )


def test_connection_is_reused_after_a_complete_response(
    client: http_client.HttpBackendClient,
) -> None:
    with raw_server.run_server(COMPLETE, COMPLETE) as server:
        for _ in range(2):
            attempt = client.send(create_dispatch(server.address))
            assert isinstance(attempt, attempts.AttemptAnswered)
            assert attempt.answer.body == b"whole"
        assert server.connections == 1


@pytest.mark.parametrize("script", [DRIPPING_HEADERS, DRIPPING_BODY, SILENT])
def test_total_timeout_bounds_slow_responses_and_closes_the_connection(
    client: http_client.HttpBackendClient, script: raw_server.Script
) -> None:
    with raw_server.run_server(script, COMPLETE) as server:
        began_at_s = time.monotonic()
        attempt = client.send(create_dispatch(server.address, timeout_s=TIMEOUT_S))
        assert isinstance(attempt, attempts.AttemptUnknown)
        assert attempt.reason is outcomes.UnknownReason.ANSWER_TIMEOUT
        assert time.monotonic() - began_at_s < EXCHANGE_TIMEOUT_S
        after = client.send(create_dispatch(server.address))
        assert isinstance(after, attempts.AttemptAnswered)
        assert server.connections == 2


@pytest.mark.parametrize(
    ("pieces", "reason"),
    [
        ((), outcomes.UnknownReason.CONNECTION_LOST),
        ((b"HTTP/1.1 200 OK\r\nContent-Le",), outcomes.UnknownReason.ANSWER_TRUNCATED),
        (
            (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",),
            outcomes.UnknownReason.ANSWER_TRUNCATED,
        ),
        ((b"HTTP/1.1 200 OK\r\n\r\nshort",), outcomes.UnknownReason.ANSWER_TRUNCATED),
        (
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",),
            outcomes.UnknownReason.ANSWER_TRUNCATED,
        ),
        (
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",),
            outcomes.UnknownReason.ANSWER_TRUNCATED,
        ),
    ],
)
def test_truncated_response_has_unknown_outcome(
    client: http_client.HttpBackendClient,
    pieces: tuple[bytes, ...],
    reason: outcomes.UnknownReason,
) -> None:
    with raw_server.run_server(raw_server.Script(pieces, closes=True)) as server:
        attempt = client.send(create_dispatch(server.address, "POST"))
    assert isinstance(attempt, attempts.AttemptUnknown)
    assert attempt.reason is reason


def test_refused_connection_is_reported_as_not_run(client: http_client.HttpBackendClient) -> None:
    with raw_server.run_server() as server:
        address = server.address
    attempt = client.send(create_dispatch(address))
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is outcomes.RefusalReason.CONNECT_FAILED


def test_malformed_request_is_reported_as_not_run(client: http_client.HttpBackendClient) -> None:
    with raw_server.run_server(COMPLETE) as server:
        attempt = client.send(create_dispatch(server.address, "GE T"))
        assert isinstance(attempt, attempts.AttemptNotRun)
        assert attempt.reason is outcomes.RefusalReason.MALFORMED_REQUEST
        assert server.requests == []


def test_idle_connection_closed_by_the_server_is_not_reused(
    client: http_client.HttpBackendClient,
) -> None:
    closing = raw_server.Script(COMPLETE.pieces, closes=True)
    with raw_server.run_server(closing, COMPLETE) as server:
        client.send(create_dispatch(server.address))
        pool = client._work_pools[server.address]
        idle = pool._idle[0]
        select.select([idle.sock], [], [], EXCHANGE_TIMEOUT_S)
        assert not idle.is_connected
        attempt = client.send(create_dispatch(server.address, "POST"))
        assert isinstance(attempt, attempts.AttemptAnswered)
        assert server.connections == 2


def test_connection_past_the_idle_limit_is_not_reused() -> None:
    with raw_server.run_server(COMPLETE) as server:
        pool = connections.ConnectionPool(server.address, max_idle_s=0.0)
        opened = pool.connect(EXCHANGE_TIMEOUT_S)
        pool.release(opened)
        assert pool.acquire() is None
        assert opened.is_closed


def test_hop_by_hop_and_grant_headers_of_callers_are_not_forwarded(
    client: http_client.HttpBackendClient,
) -> None:
    with raw_server.run_server(COMPLETE) as server:
        client.send(create_dispatch(server.address))
        sent = server.requests[0].lower()
    assert b"accept-language: nn" in sent
    assert b"expect" not in sent
    assert b"goldcresthall-epoch" not in sent


def test_server_signals_are_parsed_and_not_returned_to_callers(
    client: http_client.HttpBackendClient,
) -> None:
    script = raw_server.Script(
        (
            b"HTTP/1.1 200 OK\r\nGoldcresthall-Draining: 1\r\nGoldcresthall-Load: 7\r\n"
            b"Content-Length: 0\r\n\r\n",
        )
    )
    with raw_server.run_server(script) as server:
        attempt = client.send(create_dispatch(server.address))
    assert isinstance(attempt, attempts.AttemptAnswered)
    assert attempt.signals == attempts.ServerSignals(draining=True, load=7.0)
    assert attempt.answer.headers == ()


@pytest.mark.parametrize("unnamed", [raw_server.Script((SHED % b"",)), UNNAMED])
def test_response_without_an_id_on_a_kept_connection_proves_nothing(
    client: http_client.HttpBackendClient, unnamed: raw_server.Script
) -> None:
    """A copy of another request's response was taken for this one's (TWICE, REFUSED, MIXED)."""
    with raw_server.run_server(COMPLETE, unnamed, COMPLETE) as server:
        client.send(create_dispatch(server.address))
        attempt = client.send(create_dispatch(server.address, "POST"))
        assert isinstance(attempt, attempts.AttemptUnknown)
        assert attempt.reason is outcomes.UnknownReason.ANSWER_MISMATCHED
        context = retries.RetryContext(idempotent=False, keyed=True)
        assert retries.decide_retry(attempt, context) == retries.NoRetry()


def test_body_without_end_is_cut_at_the_limit(
    client: http_client.HttpBackendClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A body of any length was once kept until the deadline."""
    monkeypatch.setattr(http_client, "MAX_BODY_BYTES", 100_000, raising=False)
    body = bytes(4 * 1_048_576)
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    with raw_server.run_server(raw_server.Script((head, body)), COMPLETE) as server:
        attempt = client.send(create_dispatch(server.address))
        assert isinstance(attempt, attempts.AttemptUnknown)
        assert attempt.reason is outcomes.UnknownReason.ANSWER_TOO_LARGE
        assert isinstance(client.send(create_dispatch(server.address)), attempts.AttemptAnswered)
        assert server.connections == 2


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (raw_server.Script((SHED % b"",)), attempts.AttemptNotRun),
        (UNNAMED, attempts.AttemptAnswered),
    ],
)
def test_first_response_without_an_id_is_taken_and_its_connection_closed(
    client: http_client.HttpBackendClient,
    response: raw_server.Script,
    expected: type[attempts.Attempt],
) -> None:
    """On a connection that is kept every response must be known by its id."""
    with raw_server.run_server(response, COMPLETE) as server:
        assert isinstance(client.send(create_dispatch(server.address)), expected)
        assert isinstance(client.send(create_dispatch(server.address)), attempts.AttemptAnswered)
        assert server.connections == 2


def test_refusal_that_echoes_the_id_means_not_run_on_a_kept_connection(
    client: http_client.HttpBackendClient,
) -> None:
    with raw_server.run_server(COMPLETE, raw_server.Script((SHED % ECHO,))) as server:
        client.send(create_dispatch(server.address))
        attempt = client.send(create_dispatch(server.address, "POST"))
        assert isinstance(attempt, attempts.AttemptNotRun)
        assert server.connections == 1


def test_request_sent_again_to_a_server_gets_a_new_connection(
    client: http_client.HttpBackendClient,
) -> None:
    """On the kept connection a copy of its earlier refusal bears the same id (TWICE)."""
    with raw_server.run_server(raw_server.Script((SHED % ECHO,)), COMPLETE) as server:
        first = create_dispatch(server.address, "POST")
        assert isinstance(client.send(first), attempts.AttemptNotRun)
        again = dataclasses.replace(first, sent_before=True)
        assert isinstance(client.send(again), attempts.AttemptAnswered)
        assert server.connections == 2


@pytest.mark.parametrize("status", [100, 103])
def test_interim_responses_without_end_are_cut(
    client: http_client.HttpBackendClient, status: int
) -> None:
    """Interim responses were once read until the deadline."""
    interim = f"HTTP/1.1 {status} Wait\r\nX-A: {'b' * 900}\r\n\r\n".encode() * 1_000
    with raw_server.run_server(
        raw_server.Script((interim, COMPLETE.pieces[0])), COMPLETE
    ) as server:
        attempt = client.send(create_dispatch(server.address))
        assert isinstance(attempt, attempts.AttemptUnknown)
        assert attempt.reason is outcomes.UnknownReason.ANSWER_TRUNCATED
        assert isinstance(client.send(create_dispatch(server.address)), attempts.AttemptAnswered)
