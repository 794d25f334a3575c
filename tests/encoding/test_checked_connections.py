"""Tests of the connections for calls that bring small documents, over real sockets."""

from __future__ import annotations

import socket

import pytest
import urllib3

from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from tests.backend import test_exchange

MAX_BODY_BYTES = 1_000


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
