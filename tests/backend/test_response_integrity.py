"""Tests that truncated or contradictory responses are never returned as complete ones."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from goldcresthall.backend import http_client
from goldcresthall.core import attempts
from tests.backend import raw_server
from tests.backend import test_http_client as base

if TYPE_CHECKING:
    from collections.abc import Iterator

SIMPLE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\nwhole"
)
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"


@pytest.fixture
def client() -> Iterator[http_client.HttpBackendClient]:
    created = http_client.HttpBackendClient()
    created.start()
    yield created
    created.stop()


@pytest.mark.parametrize("response", [SIMPLE_RESPONSE, CHUNKED_RESPONSE])
def test_response_truncated_at_any_byte_has_unknown_outcome(
    client: http_client.HttpBackendClient, response: bytes
) -> None:
    complete_length = (
        len(response) if response is SIMPLE_RESPONSE else len(response) - len(b"\r\n\r\n")
    )
    scripts = [raw_server.Script((response[:end],), closes=True) for end in range(complete_length)]
    with raw_server.run_server(*scripts) as server:
        results = [client.send(base.create_dispatch(server.address, "POST")) for _ in scripts]
    assert [type(result) for result in results] == [attempts.AttemptUnknown] * complete_length


def test_early_hints_are_not_taken_for_the_final_response(
    client: http_client.HttpBackendClient,
) -> None:
    with raw_server.run_server(
        raw_server.Script((EARLY_HINTS + SIMPLE_RESPONSE,)), base.COMPLETE
    ) as server:
        for _ in range(2):
            attempt = client.send(base.create_dispatch(server.address))
            assert isinstance(attempt, attempts.AttemptAnswered)
            assert attempt.answer.status == 200
            assert attempt.answer.body == b"whole"


def test_repeated_headers_are_all_returned(client: http_client.HttpBackendClient) -> None:
    with raw_server.run_server(raw_server.Script((SIMPLE_RESPONSE,))) as server:
        attempt = client.send(base.create_dispatch(server.address))
    assert isinstance(attempt, attempts.AttemptAnswered)
    assert [header.value for header in attempt.answer.headers] == ["a=1", "b=2"]


@pytest.mark.parametrize(
    ("method", "response"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\n" + base.ECHO + b"Content-Length: 5\r\n\r\n"),
        ("GET", b"HTTP/1.1 204 No Content\r\n" + base.ECHO + b"\r\n"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\n" + base.ECHO + b"Content-Length: 5\r\n\r\n"),
    ],
)
def test_response_without_body_is_complete(
    client: http_client.HttpBackendClient, method: str, response: bytes
) -> None:
    with raw_server.run_server(raw_server.Script((response,)), base.COMPLETE) as server:
        attempt = client.send(base.create_dispatch(server.address, method))
        assert isinstance(attempt, attempts.AttemptAnswered)
        assert attempt.answer.body == b""
        following = client.send(base.create_dispatch(server.address))
        assert isinstance(following, attempts.AttemptAnswered)
        assert following.answer.body == b"whole"
        assert server.connections == 1


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nGoldcresthall-Not-Run: shed\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nGoldcresthall-Request-Id: another\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA b: c\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: b\x01c\r\n\r\nwhole",
    ],
)
def test_contradictory_response_has_unknown_outcome_and_closes_the_connection(
    client: http_client.HttpBackendClient, response: bytes
) -> None:
    with raw_server.run_server(raw_server.Script((response,)), base.COMPLETE) as server:
        attempt = client.send(base.create_dispatch(server.address))
        assert isinstance(attempt, attempts.AttemptUnknown)
        client.send(base.create_dispatch(server.address))
        assert server.connections == 2


def test_refusal_of_a_request_with_body_closes_the_connection(
    client: http_client.HttpBackendClient,
) -> None:
    shed = base.SHED % base.ECHO
    with raw_server.run_server(raw_server.Script((shed,)), base.COMPLETE) as server:
        dispatch = dataclasses.replace(base.create_dispatch(server.address, "POST"), body=b"GET /")
        assert isinstance(client.send(dispatch), attempts.AttemptNotRun)
        assert isinstance(client.send(dispatch), attempts.AttemptAnswered)
        assert server.connections == 2
