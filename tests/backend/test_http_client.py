"""Tests of sending work to backend servers over HTTP."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from goldcresthall.backend import connections
from goldcresthall.backend import http_client
from goldcresthall.core import attempts
from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from tests.backend import raw_server

if TYPE_CHECKING:
    from collections.abc import Iterator

COMPLETE = raw_server.Script((b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",))
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


def test_connection_is_reused_after_a_whole_answer(client: http_client.HttpBackendClient) -> None:
    with raw_server.run_server(COMPLETE, COMPLETE) as server:
        for _ in range(2):
            attempt = client.send(create_dispatch(server.address))
            assert isinstance(attempt, attempts.AttemptAnswered)
            assert attempt.answer.body == b"whole"
        assert server.connections == 1


@pytest.mark.parametrize("script", [DRIPPING_HEADERS, DRIPPING_BODY, SILENT])
def test_answer_is_bounded_in_total_and_its_connection_not_used_again(
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
def test_answer_that_ends_early_is_unknown(
    client: http_client.HttpBackendClient,
    pieces: tuple[bytes, ...],
    reason: outcomes.UnknownReason,
) -> None:
    with raw_server.run_server(raw_server.Script(pieces, closes=True)) as server:
        attempt = client.send(create_dispatch(server.address, "POST"))
    assert isinstance(attempt, attempts.AttemptUnknown)
    assert attempt.reason is reason


def test_refused_connection_is_not_run(client: http_client.HttpBackendClient) -> None:
    with raw_server.run_server() as server:
        address = server.address
    attempt = client.send(create_dispatch(address))
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is outcomes.RefusalReason.CONNECT_FAILED


def test_request_that_cannot_be_written_is_not_run(client: http_client.HttpBackendClient) -> None:
    with raw_server.run_server(COMPLETE) as server:
        attempt = client.send(create_dispatch(server.address, "GE T"))
        assert isinstance(attempt, attempts.AttemptNotRun)
        assert attempt.reason is outcomes.RefusalReason.MALFORMED_REQUEST
        assert server.requests == []


def test_idle_connection_that_the_server_closed_is_not_used(
    client: http_client.HttpBackendClient,
) -> None:
    closing = raw_server.Script(COMPLETE.pieces, closes=True)
    with raw_server.run_server(closing, COMPLETE) as server:
        client.send(create_dispatch(server.address))
        pool = client._work_pools[server.address]
        idle = pool._idle[0]
        while idle.is_connected:
            pass
        attempt = client.send(create_dispatch(server.address, "POST"))
        assert isinstance(attempt, attempts.AttemptAnswered)
        assert server.connections == 2


def test_connection_idle_too_long_is_not_used() -> None:
    with raw_server.run_server(COMPLETE) as server:
        pool = connections.ConnectionPool(server.address, max_idle_s=0.0)
        opened = pool.connect(EXCHANGE_TIMEOUT_S)
        pool.release(opened)
        assert pool.acquire() is None
        assert opened.is_closed


def test_hop_by_hop_and_grant_headers_of_callers_are_not_passed_on(
    client: http_client.HttpBackendClient,
) -> None:
    with raw_server.run_server(COMPLETE) as server:
        client.send(create_dispatch(server.address))
        sent = server.requests[0].lower()
    assert b"accept-language: nn" in sent
    assert b"expect" not in sent
    assert b"goldcresthall-epoch" not in sent


def test_signals_of_a_server_are_read_and_not_passed_on(
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
