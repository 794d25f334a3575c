"""Tests that a response cut by anyone but the server is never complete, over real sockets."""

from __future__ import annotations

import dataclasses
import socket
import threading

import pytest

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_pool
from goldcresthall.backend import response_memory
from goldcresthall.kernel import cancellation
from tests.backend import test_exchange

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"
HEAD_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\n"
UPLOAD = dataclasses.replace(test_exchange.REQUEST, method="POST", body=b"x" * 3_000_000)


def interrupt_after(part: bytes) -> exchange.RawResponse:
    """Send a request, and interrupt it once the response has come as far as `part`."""
    has_ended = threading.Event()
    cancelled = cancellation.Cancellation()

    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(part)
        has_ended.wait(test_exchange.TEST_TIMEOUT_S)

    server = test_exchange.ScriptedServer(script)
    pool = exchange_pool.ExchangePool(test_exchange.LIMITS)
    interrupter = threading.Timer(0.2, cancelled.interrupt)
    interrupter.start()
    try:
        return pool.send(
            server.address,
            test_exchange.REQUEST,
            test_exchange.ID_HEADER,
            test_exchange.TEST_TIMEOUT_S,
            cancelled,
            max_idle=1,
            new_connection=False,
        )
    finally:
        has_ended.set()
        interrupter.join()
        server.stop()


# Guards against a part of a body that reaches the caller as the whole one (MIXED): the end of the
# stream that an interrupt makes was taken for the server's.
@pytest.mark.parametrize("body", [b"", b"part", b"all of it"])
def test_interrupted_body_without_a_length_is_not_complete(body: bytes) -> None:
    with pytest.raises(exceptions.TruncatedError):
        interrupt_after(HEAD_WITHOUT_LENGTH + body)


def test_interrupt_before_the_response_leaves_the_outcome_unknown() -> None:
    with pytest.raises(exceptions.ConnectionLostError):
        interrupt_after(b"")


def test_interrupt_after_the_stated_length_changes_nothing() -> None:
    assert interrupt_after(HEAD_WITH_LENGTH + b"body").body == b"body"


def upload_to_resetting_server(response: bytes) -> exchange.RawResponse:
    """Upload to a server whose response and reset have come before the first byte is sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connected = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        accepted.sendall(response)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, test_exchange.RESET)
        accepted.close()
    memory = response_memory.ResponseMemory(test_exchange.LIMITS)
    used = exchange.Connection(connected)
    try:
        return used.exchange(
            UPLOAD,
            test_exchange.ID_HEADER,
            test_exchange.TEST_TIMEOUT_S,
            memory.create_reservation(),
        )
    finally:
        used.close()


# Guards against a part of a body that reaches the caller as the whole one (MIXED): the sender of
# an upload takes the error of a reset, and the reader then sees an ordinary end of the stream.
@pytest.mark.parametrize("body", [b"", b"part"])
def test_body_without_a_length_is_not_complete_after_a_failed_upload(body: bytes) -> None:
    with pytest.raises(exceptions.TruncatedError):
        upload_to_resetting_server(HEAD_WITHOUT_LENGTH + body)


def test_body_with_a_length_is_complete_after_a_failed_upload() -> None:
    assert upload_to_resetting_server(HEAD_WITH_LENGTH + b"body").body == b"body"
