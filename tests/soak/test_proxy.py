"""Tests of partitions in the proxy: what is held up is delivered, or lost after a reset."""

from __future__ import annotations

import contextlib
import os
import socket
from typing import TYPE_CHECKING

import pytest

from tests.soak import held_stream
from tests.soak import proxy

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 10.0
SILENCE_S = 0.5


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return the listening socket of a target."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(TIMEOUT_S)
        yield listening


@pytest.fixture
def partition(listener: socket.socket) -> Iterator[proxy.Proxy]:
    """Return a proxy in front of the target."""
    running = proxy.Proxy(listener.getsockname()[1])
    yield running
    running.stop()


def connect(listener: socket.socket, partition: proxy.Proxy) -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection through the proxy that has carried a byte."""
    client = socket.create_connection(("127.0.0.1", partition.port), TIMEOUT_S)
    client.sendall(b"0")
    server, _ = listener.accept()
    server.settimeout(TIMEOUT_S)
    assert server.recv(1) == b"0"
    return client, server


def read_all(server: socket.socket) -> bytes:
    """Return the bytes until the stream ends.

    Raises
    ------
    ConnectionResetError
        If the connection was reset.
    """
    return b"".join(iter(lambda: server.recv(100), b""))


@pytest.mark.parametrize("mode", [proxy.Mode.HOLD, proxy.Mode.HOLD_REQUESTS])
def test_closed_connection_delivers_what_was_held_up(
    listener: socket.socket, partition: proxy.Proxy, mode: proxy.Mode
) -> None:
    client, server = connect(listener, partition)
    partition.set_mode(mode)
    client.sendall(b"1")
    client.sendall(b"2")
    client.close()
    server.settimeout(SILENCE_S)
    with pytest.raises(TimeoutError):
        server.recv(100)
    server.settimeout(TIMEOUT_S)
    partition.set_mode(proxy.Mode.FORWARD)
    assert read_all(server) == b"12"
    server.close()


@pytest.mark.parametrize("is_shut_down", [True, False])
def test_reset_connection_loses_what_was_held_up(
    listener: socket.socket, partition: proxy.Proxy, is_shut_down: bool
) -> None:
    client, server = connect(listener, partition)
    partition.set_mode(proxy.Mode.HOLD)
    client.sendall(b"1")
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, held_stream.LINGER_RESET)
    if is_shut_down:
        client.shutdown(socket.SHUT_WR)
    client.close()
    server.settimeout(SILENCE_S)
    with pytest.raises(TimeoutError):
        server.recv(100)
    server.settimeout(TIMEOUT_S)
    partition.set_mode(proxy.Mode.FORWARD)
    received = b""
    with contextlib.suppress(ConnectionResetError):
        received = read_all(server)
    assert received == b""
    server.close()


def test_responses_pass_while_requests_are_held_up(
    listener: socket.socket, partition: proxy.Proxy
) -> None:
    client, server = connect(listener, partition)
    partition.set_mode(proxy.Mode.HOLD_REQUESTS)
    server.sendall(b"response")
    assert client.recv(100) == b"response"
    client.close()
    server.close()


def test_connection_is_not_established_before_the_partition_heals(
    listener: socket.socket, partition: proxy.Proxy
) -> None:
    partition.set_mode(proxy.Mode.HOLD)
    with pytest.raises(TimeoutError):
        socket.create_connection(("127.0.0.1", partition.port), SILENCE_S)
    with socket.socket() as waiting:
        waiting.setblocking(False)
        waiting.connect_ex(("127.0.0.1", partition.port))
        partition.set_mode(proxy.Mode.FORWARD)
        server, _ = listener.accept()
        server.close()


def test_connection_given_up_during_a_partial_partition_delivers_nothing(
    listener: socket.socket, partition: proxy.Proxy
) -> None:
    partition.set_mode(proxy.Mode.HOLD, partitioned=frozenset({os.getpid()}))
    with socket.create_connection(("127.0.0.1", partition.port), TIMEOUT_S) as given_up:
        given_up.sendall(b"1")
        listener.settimeout(SILENCE_S)
        with pytest.raises(TimeoutError):
            listener.accept()
    partition.set_mode(proxy.Mode.FORWARD)
    with pytest.raises(TimeoutError):
        listener.accept()


@pytest.mark.parametrize("is_affected", [True, False])
def test_partial_partition_affects_the_named_processes_only(
    listener: socket.socket, partition: proxy.Proxy, is_affected: bool
) -> None:
    client, server = connect(listener, partition)
    process_ids = frozenset({os.getpid()} if is_affected else ())
    partition.set_mode(proxy.Mode.HOLD, partitioned=process_ids)
    client.sendall(b"1")
    server.settimeout(SILENCE_S if is_affected else TIMEOUT_S)
    with pytest.raises(TimeoutError) if is_affected else contextlib.nullcontext():
        assert server.recv(100) == b"1"
    client.close()
    server.close()
