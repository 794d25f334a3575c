"""Tests of clients whose server sends a body without end."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

import prometheus_client
import pytest
import urllib3

from goldcresthall.backend import http_client
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.encoding import bounded_bodies
from goldcresthall.log_service import http_log_client
from goldcresthall.log_service import log_client
from goldcresthall.platform import store_client
from goldcresthall.store import client
from goldcresthall.store import store_metrics
from tests.backend import raw_server

if TYPE_CHECKING:
    from collections.abc import Iterator

MIB = 1_048_576
# Far beyond each bound and what the connection itself holds.
SENT_AT_MOST_BYTES = 128 * MIB
CUT_WITHIN_BYTES = 64 * MIB
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"a" * 65_536 + b"\r\n"


class EndlessServer:
    """Responds to each request with a body without end."""

    def __init__(self, part: bytes = CHUNK) -> None:
        self._part = part
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.sent_bytes = 0
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> identity.Address:
        """The address that it listens on."""
        return identity.Address(*self._listener.getsockname())

    def stop(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._serve(connection)

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(HEAD)
            while self.sent_bytes < SENT_AT_MOST_BYTES:
                connection.sendall(self._part)
                self.sent_bytes += len(self._part)


@pytest.fixture
def server() -> Iterator[EndlessServer]:
    """Yield a server that sends without end."""
    started = EndlessServer()
    yield started
    started.stop()


def test_response_of_the_store_without_end_is_cut(server: EndlessServer) -> None:
    """A body of any length was once kept."""
    metrics = store_metrics.StoreMetrics(prometheus_client.CollectorRegistry())
    store = store_client.HttpStoreClient(server.address, metrics)
    assert isinstance(store.read_changes("keyed.test", 0, 0.0), client.StoreFailed)
    assert server.sent_bytes < CUT_WITHIN_BYTES


def test_response_of_the_log_without_end_is_cut(server: EndlessServer) -> None:
    """A body of any length was once kept."""
    log = http_log_client.HttpLogClient(str(server.address), 1_000)
    assert isinstance(log.read(0, 1, 0), log_client.ReadFailed)
    assert server.sent_bytes < CUT_WITHIN_BYTES


def test_health_check_without_end_is_cut(server: EndlessServer) -> None:
    """A body of any length was once kept."""
    backends = http_client.HttpBackendClient()
    checked = preset.BackendServer(name="one", address=server.address, failure_domain="near")
    assert backends.probe(checked, 1.0) is None
    assert server.sent_bytes < CUT_WITHIN_BYTES


def test_body_that_takes_too_long_is_cut(
    server: EndlessServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timeout of the library starts anew with each byte."""
    monkeypatch.setattr(bounded_bodies, "MAX_BODY_S", 0.0)
    pool = urllib3.HTTPConnectionPool(server.address.host, server.address.port, retries=False)
    with pytest.raises(bounded_bodies.BodyBoundError):
        bounded_bodies.request(pool, "GET", "/", SENT_AT_MOST_BYTES, timeout=1.0)


def test_chunk_extension_without_end_is_cut() -> None:
    """Some ways to read a response with the library keep a line of any length."""
    server = EndlessServer(b"1;" + b"e" * MIB)
    pool = urllib3.HTTPConnectionPool(server.address.host, server.address.port, retries=False)
    with pytest.raises(urllib3.exceptions.HTTPError):
        bounded_bodies.request(pool, "GET", "/", MIB, timeout=1.0)
    assert server.sent_bytes < CUT_WITHIN_BYTES
    server.stop()


def test_body_that_comes_byte_by_byte_is_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    """A read of many bytes once waited for all of them, each within the timeout."""
    monkeypatch.setattr(bounded_bodies, "MAX_BODY_S", 0.0)
    with raw_server.run_server(
        raw_server.Script((b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", b"a"), drips=True)
    ) as server:
        pool = urllib3.HTTPConnectionPool(server.address.host, server.address.port, retries=False)
        with pytest.raises(bounded_bodies.BodyBoundError):
            bounded_bodies.request(pool, "GET", "/", MIB, timeout=1.0)


def test_truncated_body_is_an_error() -> None:
    script = raw_server.Script((b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",), closes=True)
    with raw_server.run_server(script) as server:
        pool = urllib3.HTTPConnectionPool(server.address.host, server.address.port, retries=False)
        with pytest.raises(urllib3.exceptions.HTTPError):
            bounded_bodies.request(pool, "GET", "/", MIB, timeout=1.0)
