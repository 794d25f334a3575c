"""Tests that a response cut by anyone but the server is never complete, over real sockets."""

from __future__ import annotations

import socket
import threading

import pytest

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_pool
from goldcresthall.kernel import cancellation
from tests.backend import test_exchange

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"
HEAD_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\n"


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
