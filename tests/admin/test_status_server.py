"""Tests of the server of a single page."""

from __future__ import annotations

import contextlib
import http
import socket
from typing import TYPE_CHECKING

import pytest

from goldcresthall.admin import status_server
from goldcresthall.core import identity

if TYPE_CHECKING:
    from collections.abc import Iterator

PART_BYTES = 65_536
SENT_AT_MOST_BYTES = 64 * 1_048_576
CUT_WITHIN_BYTES = 24 * 1_048_576


@pytest.fixture
def address() -> Iterator[identity.Address]:
    """Yield the address of a started server."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        free = identity.Address(*listener.getsockname())
    server = status_server.StatusServer("status", free, "/ready", lambda: (http.HTTPStatus.OK, b""))
    server.start()
    yield free
    server.stop()


@pytest.mark.parametrize(
    "head",
    [
        b"",
        b"GET /ready HTTP/1.1\r\nX-A: ",
        b"POST /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    ],
)
def test_request_without_end_is_cut(address: identity.Address, head: bytes) -> None:
    """A request line or a header of any length was once kept."""
    sent_bytes = 0
    with (
        socket.create_connection((address.host, address.port), timeout=5) as caller,
        contextlib.suppress(OSError),
    ):
        caller.sendall(head)
        while sent_bytes < SENT_AT_MOST_BYTES:
            caller.sendall(b"a" * PART_BYTES)
            sent_bytes += PART_BYTES
    assert sent_bytes < CUT_WITHIN_BYTES


def test_page_is_served(address: identity.Address) -> None:
    with socket.create_connection((address.host, address.port), timeout=5) as caller:
        caller.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert caller.recv(100).startswith(b"HTTP/1.1 200")
