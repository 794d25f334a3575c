"""Tests of the connections for calls that bring small documents, over real sockets."""

from __future__ import annotations

import contextlib
import socket

import pytest
import urllib3

from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from tests.backend import raw_server
from tests.backend import test_exchange

MAX_BODY_BYTES = 1_000


def call(response: bytes) -> bounded_bodies.BoundedResponse:
    """Return the response to a call whose server writes it and closes."""
    with raw_server.run_server(raw_server.Script((response,), closes=True)) as server:
        pool = checked_connections.CheckedPool(
            server.address.host, server.address.port, retries=False, timeout=2.0
        )
        with contextlib.closing(pool):
            return bounded_bodies.request(pool, "GET", "/", MAX_BODY_BYTES)


# Guards against a head of which the library drops what follows an invalid line, as the length.
@pytest.mark.parametrize(
    "field",
    [b"A b: c", b"A\x01b: c", b"A : c", b"A: b\x01c", b"A: b\rc", b" A: b", b"no field"],
    ids=["blank", "control", "blank-before-colon", "control-in-value", "cr", "fold", "no-colon"],
)
def test_response_with_an_invalid_field_is_rejected(field: bytes) -> None:
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(b"HTTP/1.1 200 OK\r\n" + field + b"\r\nContent-Length: 2\r\n\r\nok and more")


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_response_with_an_invalid_status_is_rejected(status: bytes) -> None:
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(b"HTTP/1.1 " + status + b" OK\r\nContent-Length: 2\r\n\r\nok")


def test_response_with_a_truncated_head_is_rejected() -> None:
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(b"HTTP/1.1 200 OK\r\nContent-Len")


@pytest.mark.parametrize("length", [b"Content-Length: 2\r\n", b""])
def test_response_with_a_valid_head_is_returned(length: bytes) -> None:
    assert call(b"HTTP/1.1 200 OK\r\nA: b\tc\r\n" + length + b"\r\nok").data == b"ok"


# Guards against a part of a body that counts as the whole one: the library ignores the error of a
# reset while it sends, and then reads what came before as if it ended there.
def test_response_to_a_call_whose_sending_failed_is_not_read() -> None:
    def script(connection: socket.socket) -> None:
        connection.recv(1_000)
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, test_exchange.RESET)

    server = test_exchange.ScriptedServer(script)
    pool = checked_connections.CheckedPool(
        server.address.host, server.address.port, retries=False, timeout=2.0
    )
    for _ in range(5):
        with pytest.raises(urllib3.exceptions.HTTPError):
            bounded_bodies.request(pool, "POST", "/", MAX_BODY_BYTES, body=b"x" * 20_000_000)
    pool.close()
    server.stop()
