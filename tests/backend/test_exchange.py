"""Tests of an HTTP exchange with a faulty server, over real sockets."""

from __future__ import annotations

import contextlib
import dataclasses
import queue
import socket
import struct
import threading
from typing import TYPE_CHECKING

import pytest

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_pool
from goldcresthall.backend import response_framing
from goldcresthall.backend import response_memory
from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.kernel import cancellation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ID_HEADER = "x-id"
REQUEST = exchange.RawRequest(
    "GET", "/", (outcomes.Header("Host", "a"), outcomes.Header("X-Id", "mine")), b""
)
TEST_TIMEOUT_S = 20.0
LONG_BODY_BYTES = 32 * 1_048_576
LIMITS = response_memory.ResponseLimits(max_body_bytes=1_000_000, total_bytes=2_000_000)
RESET = struct.pack("ii", 1, 0)


class ScriptedServer:
    """Runs a script on each accepted connection."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._script = script
        self.accepted = 0
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
                self.accepted += 1
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            self._script(connection)


@pytest.fixture
def servers() -> Iterator[list[ScriptedServer]]:
    """Yield a list; the servers added to it are stopped after the test."""
    started: list[ScriptedServer] = []
    yield started
    for server in started:
        server.stop()


def receive(connection: socket.socket) -> bytes:
    """Return the next bytes; empty once the connection is closed or reset."""
    try:
        return connection.recv(4_096)
    except ConnectionResetError:
        return b""


def create_response(request_id: str, body: bytes, extra: bytes = b"") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body + extra


def run(
    servers: list[ScriptedServer],
    script: Callable[[socket.socket], None],
    *,
    new_connection: bool = False,
    timeout_s: float = 5.0,
) -> exchange.RawResponse:
    server = ScriptedServer(script)
    servers.append(server)
    return exchange_pool.ExchangePool(LIMITS).send(
        server.address,
        REQUEST,
        ID_HEADER,
        timeout_s,
        cancellation.Cancellation(),
        max_idle=1,
        new_connection=new_connection,
    )


def test_response_to_another_request_is_skipped(servers: list[ScriptedServer]) -> None:
    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(create_response("other", b"stray") + create_response("mine", b"true"))

    assert run(servers, script).body == b"true"


def test_truncated_response_raises_truncated_error(servers: list[ScriptedServer]) -> None:
    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(create_response("mine", b"whole")[:-2])

    with pytest.raises(exceptions.TruncatedError):
        run(servers, script)


def test_body_without_length_ends_with_the_connection(
    servers: list[ScriptedServer],
) -> None:
    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nall of it")

    assert run(servers, script).body == b"all of it"


def test_body_without_length_fails_when_the_connection_is_reset(
    servers: list[ScriptedServer],
) -> None:
    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\npart")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    with pytest.raises(exceptions.ExchangeError):
        run(servers, script)


def test_invalid_http_raises_truncated_error(servers: list[ScriptedServer]) -> None:
    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(b"\x00\xff garbage \r\n\r\n")
        connection.recv(4_096)

    with pytest.raises(exceptions.TruncatedError):
        run(servers, script)


@pytest.mark.parametrize("new_connection", [True, False])
def test_reset_before_sending_counts_as_rejected_connection(
    servers: list[ScriptedServer], monkeypatch: pytest.MonkeyPatch, *, new_connection: bool
) -> None:
    """An idempotent request was once sent at once, so that its outcome was unknown."""

    def script(connection: socket.socket) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    monkeypatch.setattr(exchange, "EARLY_RESET_WAIT_S", 5.0)
    with pytest.raises(exceptions.ConnectionRejectedError):
        run(servers, script, new_connection=new_connection)


def test_connection_with_surplus_bytes_is_not_reused(
    servers: list[ScriptedServer],
) -> None:
    def script(connection: socket.socket) -> None:
        while connection.recv(4_096):
            connection.sendall(create_response("mine", b"true", b"surplus"))

    server = ScriptedServer(script)
    servers.append(server)
    pool = exchange_pool.ExchangePool(LIMITS)
    for _ in range(2):
        response = pool.send(
            server.address,
            REQUEST,
            ID_HEADER,
            5.0,
            cancellation.Cancellation(),
            max_idle=1,
            new_connection=False,
        )
        assert response.body == b"true"
    assert server.accepted == 2
    pool.close()


def test_connection_is_reused_after_a_complete_response(servers: list[ScriptedServer]) -> None:
    def script(connection: socket.socket) -> None:
        while connection.recv(4_096):
            connection.sendall(create_response("mine", b"true"))

    server = ScriptedServer(script)
    servers.append(server)
    pool = exchange_pool.ExchangePool(LIMITS)
    for _ in range(3):
        pool.send(
            server.address,
            REQUEST,
            ID_HEADER,
            5.0,
            cancellation.Cancellation(),
            max_idle=1,
            new_connection=False,
        )
    assert server.accepted == 1
    pool.close()


def test_expired_idle_connections_to_unused_addresses_are_closed(
    servers: list[ScriptedServer], monkeypatch: pytest.MonkeyPatch
) -> None:
    closed = threading.Event()

    def script(connection: socket.socket) -> None:
        while receive(connection):
            connection.sendall(create_response("mine", b"true"))
        closed.set()

    unused, used = ScriptedServer(script), ScriptedServer(script)
    servers.extend((unused, used))
    pool = exchange_pool.ExchangePool(LIMITS)

    def send(server: ScriptedServer) -> None:
        never = cancellation.Cancellation()
        pool.send(server.address, REQUEST, ID_HEADER, 5.0, never, max_idle=1, new_connection=False)

    send(unused)
    monkeypatch.setattr(exchange_pool, "IDLE_SWEEP_INTERVAL_S", 0.0)
    pool._idle[unused.address][0].max_idle_s = -1.0
    send(used)
    assert closed.wait(10)
    assert set(pool._idle) == {used.address}


def test_cancellation_aborts_the_exchange_and_closes_the_connection(
    servers: list[ScriptedServer],
) -> None:
    received = threading.Event()
    closed = threading.Event()

    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        received.set()
        if not connection.recv(4_096):
            closed.set()

    server = ScriptedServer(script)
    servers.append(server)
    cancelled = cancellation.Cancellation()

    def cancel() -> None:
        received.wait()
        cancelled.cancel()

    threading.Thread(target=cancel, daemon=True).start()
    with pytest.raises(exceptions.ExchangeError):
        exchange_pool.ExchangePool(LIMITS).send(
            server.address, REQUEST, ID_HEADER, 30.0, cancelled, max_idle=1, new_connection=False
        )
    assert closed.wait(10)


def test_unresponsive_server_times_out(servers: list[ScriptedServer]) -> None:
    done = threading.Event()

    def script(connection: socket.socket) -> None:
        done.wait(10)

    with pytest.raises(exceptions.TimedOutError):
        run(servers, script, timeout_s=0.05)
    done.set()


def test_request_that_is_given_up_resets_its_connection(servers: list[ScriptedServer]) -> None:
    """A grant that a partition held up arrived after its keys were given on (OWNER)."""
    endings: queue.Queue[str] = queue.Queue()

    def script(connection: socket.socket) -> None:
        try:
            while connection.recv(4_096):
                pass
            endings.put("closed")
        except ConnectionResetError:
            endings.put("reset")

    with pytest.raises(exceptions.TimedOutError):
        run(servers, script, timeout_s=0.2)
    assert endings.get(timeout=TEST_TIMEOUT_S) == "reset"


def test_response_before_the_end_of_a_long_body_is_taken_and_the_connection_closed(
    servers: list[ScriptedServer],
) -> None:
    """The whole body was once sent first, until the deadline if the server did not read it."""
    answered = threading.Event()

    def respond_early(connection: socket.socket) -> None:
        connection.recv(1_024)
        connection.sendall(create_response("mine", b"early"))
        answered.wait(TEST_TIMEOUT_S)

    server = ScriptedServer(respond_early)
    servers.append(server)
    pool = exchange_pool.ExchangePool(LIMITS)
    upload = dataclasses.replace(REQUEST, method="POST", body=b"x" * LONG_BODY_BYTES)
    response = pool.send(
        server.address,
        upload,
        ID_HEADER,
        TEST_TIMEOUT_S,
        cancellation.Cancellation(),
        max_idle=1,
        new_connection=False,
    )
    answered.set()
    assert response.body == b"early"
    assert not pool._idle


def test_response_of_a_server_that_resets_a_long_body_is_taken(
    servers: list[ScriptedServer],
) -> None:
    """A refusal as not executed was once lost if the connection ended while the body was sent."""

    def respond_and_reset(connection: socket.socket) -> None:
        connection.recv(1_024)
        connection.sendall(create_response("mine", b"early"))

    server = ScriptedServer(respond_and_reset)
    servers.append(server)
    connected = socket.create_connection(dataclasses.astuple(server.address))
    upload = dataclasses.replace(REQUEST, method="POST", body=b"x" * LONG_BODY_BYTES)
    reservation = response_memory.ResponseMemory(LIMITS).create_reservation()
    response = exchange.Connection(connected).exchange(
        upload, ID_HEADER, TEST_TIMEOUT_S, reservation
    )
    assert response.body == b"early"


def test_body_that_the_server_does_not_read_ends_at_the_deadline(
    servers: list[ScriptedServer],
) -> None:
    answered = threading.Event()
    server = ScriptedServer(lambda connection: wait_silently(answered))
    servers.append(server)
    upload = dataclasses.replace(REQUEST, method="POST", body=b"x" * LONG_BODY_BYTES)
    with pytest.raises(exceptions.TimedOutError) as raised:
        exchange_pool.ExchangePool(LIMITS).send(
            server.address,
            upload,
            ID_HEADER,
            0.05,
            cancellation.Cancellation(),
            max_idle=1,
            new_connection=False,
        )
    answered.set()
    assert raised.value.step is outcomes.Step.SEND


def wait_silently(ended: threading.Event) -> None:
    """Read nothing until the test ends."""
    ended.wait(TEST_TIMEOUT_S)


def test_request_that_is_no_longer_allowed_is_not_sent(servers: list[ScriptedServer]) -> None:
    """A lessor's grant must not leave once another may have taken over."""
    received: list[bytes] = []
    server = ScriptedServer(lambda connection: received.append(receive(connection)))
    servers.append(server)
    pool = exchange_pool.ExchangePool(LIMITS)
    with pytest.raises(exceptions.NotSentError):
        pool.send(
            server.address,
            REQUEST,
            ID_HEADER,
            5.0,
            cancellation.Cancellation(),
            max_idle=1,
            new_connection=False,
            may_send=lambda: False,
        )
    while not received:
        threading.Event().wait(0.01)
    assert received == [b""]
    pool.close()


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + bytes(65_536) + b"\r\n"),
        (b"Content-Length: 99999999999\r\n\r\n", bytes(65_536)),
        (b"\r\n", bytes(65_536)),
        (b"X-Part: a\r\n", b"X-Part: " + b"a" * 65_536),
    ],
)
def test_response_without_end_is_cut_at_the_limit(
    servers: list[ScriptedServer], head: bytes, part: bytes
) -> None:
    """Bodies without end once took a process over its memory limit (LOST)."""
    sent: list[int] = []

    def script(connection: socket.socket) -> None:
        connection.recv(1_000)
        connection.sendall(b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n" + head)
        while True:
            connection.sendall(part)
            sent.append(len(part))

    with pytest.raises(exceptions.TruncatedError):
        run(servers, script)
    assert sum(sent) < 20 * LIMITS.max_body_bytes


FINAL_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Id: mine\r\n\r\n"
CUT_WITHIN_BYTES = 300_000


class CountingSocket(socket.socket):
    """Counts what is received from it."""

    received_bytes = 0

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive and count."""
        data = super().recv(size, flags)
        self.received_bytes += len(data)
        return data


@pytest.fixture
def socket_pair() -> Iterator[tuple[CountingSocket, socket.socket]]:
    """Yield the ends of a connection: the caller's, which counts, and the server's."""
    ours, theirs = socket.socketpair()
    counting = CountingSocket(fileno=ours.detach())
    yield counting, theirs
    counting.close()
    theirs.close()


def run_on(connected: socket.socket) -> exchange.RawResponse:
    reservation = response_memory.ResponseMemory(LIMITS).create_reservation()
    return exchange.Connection(connected).exchange(REQUEST, ID_HEADER, TEST_TIMEOUT_S, reservation)


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (b"", INTERIM),
        (FINAL_HEAD, b"1\r\na\r\n"),
        (FINAL_HEAD, b"2\r\nab\r\n"),
        (FINAL_HEAD, b"00000000000000000006\r\nabcdef\r\n"),
        (FINAL_HEAD, b"1000;" + b"e" * 16_000 + b"\r\n" + b"a" * 4_096 + b"\r\n"),
    ],
)
def test_framing_without_end_is_cut_at_the_limit(
    socket_pair: tuple[CountingSocket, socket.socket], head: bytes, part: bytes
) -> None:
    """Interim responses and tiny chunks without end once took a core until the deadline."""
    connected, server = socket_pair

    def send_without_end() -> None:
        with contextlib.suppress(OSError):
            server.sendall(head)
            while True:
                server.sendall(part * 1_000)

    threading.Thread(target=send_without_end, daemon=True).start()
    with pytest.raises(exceptions.TooLargeError):
        run_on(connected)
    assert connected.received_bytes < CUT_WITHIN_BYTES


def test_small_chunks_of_a_sound_server_are_received(servers: list[ScriptedServer]) -> None:
    """The bound on framing must leave streams of single bytes and of short lines alone."""
    single_bytes = b"1\r\na\r\n" * 2_000
    lines = (b"200\r\n" + b"b" * 512 + b"\r\n") * 1_800
    expected_bytes = 2_000 + 512 * 1_800

    def script(connection: socket.socket) -> None:
        connection.recv(1_000)
        connection.sendall(INTERIM * 2 + FINAL_HEAD + single_bytes + lines + b"0\r\n\r\n")

    assert len(run(servers, script, timeout_s=TEST_TIMEOUT_S).body) == expected_bytes


def test_body_in_small_packets_is_received(
    socket_pair: tuple[CountingSocket, socket.socket], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A body of known length that arrives in small packets has no more framing than another."""
    connected, server = socket_pair
    monkeypatch.setattr(exchange, "RECEIVE_BYTES", 100)
    body = bytes(100 * 4 * response_framing.MIN_PART_LIMIT)
    threading.Thread(
        target=lambda: server.sendall(create_response("mine", body)), daemon=True
    ).start()
    assert run_on(connected).body == body


class LateClock:
    """A clock by which every deadline has passed once bytes were received."""

    def __init__(self, connected: CountingSocket) -> None:
        self._connected = connected

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return 10 * TEST_TIMEOUT_S if self._connected.received_bytes else 0.0


def test_deadline_ends_the_parsing_of_many_chunks(
    socket_pair: tuple[CountingSocket, socket.socket], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Deadlines once passed by a second while tiny chunks that had arrived were parsed."""
    connected, server = socket_pair
    monkeypatch.setattr(exchange, "time", LateClock(connected))
    server.sendall(FINAL_HEAD + b"1\r\na\r\n" * 5_000 + b"0\r\n\r\n")
    with pytest.raises(exceptions.TimedOutError):
        run_on(connected)


def test_ordinary_response_that_has_arrived_is_returned_at_the_deadline(
    socket_pair: tuple[CountingSocket, socket.socket], monkeypatch: pytest.MonkeyPatch
) -> None:
    connected, server = socket_pair
    monkeypatch.setattr(exchange, "time", LateClock(connected))
    server.sendall(create_response("mine", b"whole"))
    assert run_on(connected).body == b"whole"


def test_complete_bodies_count_until_their_work_has_ended(servers: list[ScriptedServer]) -> None:
    """Bodies that waited for slow callers were not counted and could take all memory."""

    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(create_response("mine", bytes(LIMITS.max_body_bytes)))

    server = ScriptedServer(script)
    servers.append(server)
    pool = exchange_pool.ExchangePool(LIMITS)

    def send(cancelled: cancellation.Cancellation) -> exchange.RawResponse:
        return pool.send(
            server.address, REQUEST, ID_HEADER, 5.0, cancelled, max_idle=1, new_connection=True
        )

    waiting = [cancellation.Cancellation() for _ in range(2)]
    for cancelled in waiting:
        send(cancelled)
    with pytest.raises(exceptions.MemoryShortError):
        send(cancellation.Cancellation())
    waiting[0].end()
    last = cancellation.Cancellation()
    assert len(send(last).body) == LIMITS.max_body_bytes
    for cancelled in (waiting[1], last):
        cancelled.end()
    assert pool.used_bytes == 0


@pytest.mark.parametrize(
    ("body_bytes", "is_read", "error"),
    [(0, False, exceptions.NotSentError), (LONG_BODY_BYTES, True, exceptions.ConnectionLostError)],
)
def test_only_a_send_that_fails_before_its_first_byte_counts_as_not_sent(
    body_bytes: int, is_read: bool, error: type[exceptions.ExchangeError]
) -> None:
    """A request that was never sent is refused; one of which a part left stays unknown."""
    own, peer = socket.socketpair()
    closer = threading.Thread(target=lambda: (is_read and peer.recv(1), peer.close()))
    closer.start()
    if not is_read:
        closer.join()
    memory = response_memory.ResponseMemory(LIMITS)
    used = exchange.Connection(own)
    sent = dataclasses.replace(REQUEST, method="POST", body=b"x" * body_bytes)
    with pytest.raises(exceptions.ExchangeError) as raised:
        used.exchange(sent, ID_HEADER, TEST_TIMEOUT_S, memory.create_reservation())
    closer.join()
    used.close()
    assert raised.type is error
    # A reset in the middle of the body is noticed while writing or while reading.
    allowed = {outcomes.Step.SEND} if not is_read else {outcomes.Step.SEND, outcomes.Step.RECEIVE}
    assert raised.value.step in allowed
