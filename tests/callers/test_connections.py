"""Tests of a caller's connection over a real socket."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest

from goldcresthall.callers import caller_socket
from goldcresthall.callers import codec
from goldcresthall.callers import connection_limit
from goldcresthall.callers import connections
from goldcresthall.callers import exceptions
from goldcresthall.callers import head_cost
from goldcresthall.callers import refusals
from goldcresthall.callers import request_reader
from goldcresthall.callers import response_order
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.memory import holders
from goldcresthall.memory import ledger
from goldcresthall.memory import progress

if TYPE_CHECKING:
    from collections.abc import Iterator

LIMITS = deployment.CallerLimits(header_bytes=1_024, body_bytes=100)
MEMORY_BYTES = 1_400_000
REQUEST = b"GET /page/%d HTTP/1.1\r\nHost: a.example\r\n\r\n"


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, connections.CallerConnection]]:
    """Yield the caller's socket and the router's side of the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname(), timeout=5)
        accepted, _ = listener.accept()
    connection = connections.CallerConnection(
        accepted, ledger.MemoryLedger(MEMORY_BYTES), refusals.RefusalLog()
    )
    yield caller, connection
    connection.abandon()
    caller.close()


def create_response(body: bytes) -> codec.RawResponse:
    return codec.RawResponse(200, (outcomes.Header("X-Server", "one"),), body)


def respond(
    connection: connections.CallerConnection,
    pending: response_order.PendingResponse,
    response: codec.RawResponse,
) -> None:
    """Submit a response, as the task of its request does."""
    pending.response = response
    connection.send_due()


def read_until(caller: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        received = caller.recv(4_096)
        assert received, data
        data += received
    return data


def test_responses_are_sent_in_request_order(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1 + REQUEST % 2)
    first = connection.receive(LIMITS)
    second = connection.receive(LIMITS)
    assert [first.request.target, second.request.target] == ["/page/1", "/page/2"]
    respond(connection, second.pending, create_response(b"second"))
    respond(connection, first.pending, create_response(b"first"))
    data = read_until(caller, b"second")
    assert data.index(b"first") < data.index(b"second")
    assert b"close" not in data


def test_draining_connection_closes_with_the_last_pending_response(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1 + REQUEST % 2)
    first = connection.receive(LIMITS)
    second = connection.receive(LIMITS)
    connection.start_draining()
    respond(connection, first.pending, create_response(b"first"))
    respond(connection, second.pending, create_response(b"second"))
    data = read_until(caller, b"second")
    before, after = data.split(b"first")
    assert b"close" not in before
    assert b"Connection: close" in after


def test_request_behind_a_closing_response_is_not_accepted(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1)
    connection.start_draining()
    connection.receive(LIMITS)
    caller.sendall(REQUEST % 2)
    with pytest.raises(exceptions.ConnectionDrainingError):
        connection.receive(LIMITS)


def test_response_submitted_before_draining_closes_the_connection_if_sent_last(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1 + REQUEST % 2)
    first = connection.receive(LIMITS)
    second = connection.receive(LIMITS)
    respond(connection, second.pending, create_response(b"second"))
    connection.start_draining()
    respond(connection, first.pending, create_response(b"first"))
    before, after = read_until(caller, b"second").split(b"first")
    assert b"close" not in before
    assert b"Connection: close" in after


def test_draining_connection_accepts_no_request_behind_one_in_progress(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1)
    first = connection.receive(LIMITS)
    connection.start_draining()
    caller.sendall(REQUEST % 2)
    with pytest.raises(exceptions.ConnectionDrainingError):
        connection.receive(LIMITS)
    respond(connection, first.pending, create_response(b"first"))
    assert b"Connection: close" in read_until(caller, b"first")


def test_caller_disconnect_cancels_its_request(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1)
    received = connection.receive(LIMITS)
    interrupted = threading.Event()
    with received.pending.cancelled.call_on_cancel(interrupted.set):
        caller.close()
        with pytest.raises(exceptions.CallerDisconnectedError):
            connection.receive(LIMITS)
        connection.abandon()
        assert interrupted.is_set()


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /\x00 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 4_096 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" + b"x" * 200, 413),
    ],
)
def test_malformed_or_oversized_request_is_rejected_with_its_status(
    pair: tuple[socket.socket, connections.CallerConnection], sent: bytes, status: int
) -> None:
    caller, connection = pair
    caller.sendall(sent)
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(LIMITS)
    assert raised.value.status == status
    connection.reject(raised.value)
    assert f"HTTP/1.1 {status}".encode() in read_until(caller, b"\r\n\r\n")


def test_chunked_body_is_read_completely(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    caller.sendall(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert connection.receive(LIMITS).request.body == b"abcde"


def test_stalled_request_behind_a_pending_one_closes_without_using_the_processor(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """The header deadline once passed while an earlier response was pending, and the task spun."""
    caller, connection = pair
    limits = dataclasses.replace(LIMITS, header_timeout_s=0.05)
    caller.sendall(REQUEST % 1 + b"GET /page/2 HTTP/1.1\r\n")
    first = connection.receive(limits)
    reads: list[object] = []

    def receive_second() -> None:
        try:
            connection.receive(limits)
        except exceptions.ConnectionDrainingError as error:
            reads.append(error)
        reads.append(time.thread_time())

    reader = threading.Thread(target=receive_second)
    reader.start()
    reader.join(timeout=5)
    assert [type(read) for read in reads] == [exceptions.ConnectionDrainingError, float]
    assert isinstance(reads[1], float)
    assert reads[1] < 0.5
    respond(connection, first.pending, create_response(b"first"))
    assert b"Connection: close" in read_until(caller, b"first")


def test_memory_is_released_once_the_response_is_written(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(REQUEST % 1 + REQUEST % 2)
    first = connection.receive(LIMITS)
    second = connection.receive(LIMITS)
    released: list[str] = []
    first.pending.cancelled.call_at_end(lambda: released.append("first"))
    second.pending.cancelled.call_at_end(lambda: released.append("second"))
    respond(connection, second.pending, create_response(b"second"))
    assert released == []
    respond(connection, first.pending, create_response(b"first"))
    assert released == ["first", "second"]


def test_connection_of_a_caller_that_does_not_read_ends(
    pair: tuple[socket.socket, connections.CallerConnection], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Responses behind one that the caller did not read were once kept until it left."""
    monkeypatch.setattr(response_order, "SEND_LIMITS", progress.ProgressLimits(0.1))
    caller, connection = pair
    caller.sendall(REQUEST % 1 + REQUEST % 2)
    first = connection.receive(LIMITS)
    second = connection.receive(LIMITS)
    released: list[str] = []
    for number, received in enumerate((first, second)):
        received.pending.cancelled.call_at_end(lambda number=number: released.append(number))
    ended = threading.Event()

    def receive_next() -> None:
        try:
            connection.receive(LIMITS)
        except exceptions.CallerDisconnectedError:
            connection.abandon()
            ended.set()

    threading.Thread(target=receive_next, daemon=True).start()
    respond(connection, second.pending, create_response(b"second"))
    respond(connection, first.pending, create_response(bytes(64 * 1_048_576)))
    assert ended.wait(timeout=10)
    assert released == [0, 1]


def test_tiny_chunks_without_end_are_rejected(
    pair: tuple[socket.socket, connections.CallerConnection], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller's chunks of one byte once took a core until the limit of its body."""
    caller, connection = pair
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    receive = connection._caller.receive
    received: list[int] = []

    def count_bytes(timeout_s: float) -> bytes:
        data = receive(timeout_s)
        received.append(len(data))
        return data

    def send_without_end() -> None:
        with contextlib.suppress(OSError):
            caller.sendall(head)
            while True:
                caller.sendall(b"1\r\na\r\n" * 1_000)

    monkeypatch.setattr(connection._caller, "receive", count_bytes)
    sender = threading.Thread(target=send_without_end, daemon=True)
    sender.start()
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(dataclasses.replace(LIMITS, body_bytes=500_000))
    assert raised.value.status == 413
    assert sum(received) < 300_000
    connection.abandon()
    sender.join(timeout=10)


def test_small_chunks_of_a_sound_caller_are_read(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    threading.Thread(
        target=lambda: caller.sendall(head + b"1\r\na\r\n" * 2_000 + b"0\r\n\r\n"), daemon=True
    ).start()
    received = connection.receive(dataclasses.replace(LIMITS, body_bytes=500_000))
    assert len(received.request.body) == 2_000


def test_bodies_of_requests_in_progress_have_a_bound_together(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """Large bodies of many callers could take all memory while each kept to its own limit."""
    caller, connection = pair
    limits = dataclasses.replace(LIMITS, body_bytes=900_000)
    body = bytes(600_000)
    request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    threading.Thread(target=lambda: caller.sendall(request * 3), daemon=True).start()
    first = connection.receive(limits)
    respond(connection, first.pending, create_response(b"first"))
    second = connection.receive(limits)
    assert second.request.body == body
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(limits)
    assert raised.value.status == 503


def test_body_may_take_more_once_the_request_ahead_of_it_is_answered(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """It was refused although the caller alone on its connection would have been served."""
    caller, connection = pair
    limits = dataclasses.replace(LIMITS, body_bytes=900_000)
    body = bytes(800_000)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
    caller.sendall(REQUEST % 1 + head)
    first = connection.receive(limits)
    received: list[bytes] = []

    def receive_second() -> None:
        received.append(connection.receive(limits).request.body)

    memory = connection._reader._memory
    held_bytes = memory.used_bytes
    reading = threading.Thread(target=receive_second, daemon=True)
    reading.start()
    while memory.used_bytes == held_bytes:
        time.sleep(0.001)
    respond(connection, first.pending, create_response(b"first"))
    caller.sendall(body)
    reading.join(timeout=10)
    assert received == [body]


def test_body_over_the_limit_is_rejected_by_its_declared_length(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """The limit was once noticed only after as many bytes had been read and kept."""
    caller, connection = pair
    caller.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(LIMITS)
    assert raised.value.status == 413


def test_body_within_the_limit_that_memory_cannot_hold_is_refused_as_not_run(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """Another instance may have the memory, so that 413 would be wrong."""
    caller, connection = pair
    limits = dataclasses.replace(LIMITS, body_bytes=10 * MEMORY_BYTES)
    caller.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % MEMORY_BYTES)
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(limits)
    assert raised.value.status == 503


def test_incomplete_body_whose_memory_is_reclaimed_is_refused_as_not_run(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    limits = dataclasses.replace(LIMITS, body_bytes=MEMORY_BYTES)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
    threading.Thread(target=lambda: caller.sendall(head + bytes(890_000)), daemon=True).start()
    memory = connection._reader._memory
    arriving = memory.open(holders.RequestHolder())
    taken: list[bool] = []

    def take_when_held() -> None:
        while memory.used_bytes < 890_000:
            time.sleep(0.01)
        taken.append(arriving.take(600_000))

    taker = threading.Thread(target=take_when_held, daemon=True)
    taker.start()
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(limits)
    taker.join(timeout=10)
    assert (raised.value.status, taken) == (503, [True])


def test_refused_body_does_not_cut_the_earlier_response(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """Closing with unread input once reset the connection while the response was on its way."""
    caller, connection = pair
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    caller.sendall(REQUEST % 1)
    first = connection.receive(LIMITS)
    caller.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n" + bytes(99_999))
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(LIMITS)
    body = bytes(300_000) + b"end"

    def end_connection() -> None:
        connection.reject(raised.value)
        connection.await_responses()
        connection.abandon()

    threads = [
        threading.Thread(target=lambda: respond(connection, first.pending, create_response(body))),
        threading.Thread(target=end_connection),
    ]
    for thread in threads:
        thread.start()
    data = read_until(caller, b"HTTP/1.1 413")
    assert body in data
    for thread in threads:
        thread.join(timeout=10)


def test_response_that_is_read_slowly_does_not_hold_up_the_end_of_the_instance(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """The lock of a connection was once held while a response was sent."""
    caller, connection = pair
    caller.sendall(REQUEST % 1)
    first = connection.receive(LIMITS)
    sender = threading.Thread(
        target=lambda: respond(connection, first.pending, create_response(bytes(64 * 1_048_576)))
    )
    sender.start()
    read_until(caller, b"200")
    assert not connection.close_idle()
    assert not connection.is_idle
    connection.abandon()
    sender.join(timeout=10)
    assert not sender.is_alive()


def test_response_that_is_read_slowly_is_not_cut(
    pair: tuple[socket.socket, connections.CallerConnection], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A total of 10 s once ended responses that a caller was still reading."""
    monkeypatch.setattr(
        response_order, "SEND_LIMITS", progress.ProgressLimits(max_pause_s=1.0, window_s=1.0)
    )
    caller, connection = pair
    caller.sendall(REQUEST % 1)
    first = connection.receive(LIMITS)
    size = 32 * 1_048_576
    sender = threading.Thread(
        target=lambda: respond(connection, first.pending, create_response(bytes(size)))
    )
    sender.start()
    received = 0
    for _ in range(16):
        received += len(caller.recv(size // 16, socket.MSG_WAITALL))
        time.sleep(0.15)
    while received < size:
        received += len(caller.recv(size))
    sender.join(timeout=10)
    assert not sender.is_alive()


def test_head_counts_by_its_fields(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    """Heads of thousands of tiny fields take a hundred times their size."""
    caller, connection = pair
    head = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 99 + b"\r\n"
    caller.sendall(head)
    received = connection.receive(LIMITS)
    lines = head.count(b"\n")
    expected = len(head) + head_cost.REQUEST_BYTES + lines * head_cost.FIELD_BYTES
    assert connection._reader._memory.used_bytes == expected
    respond(connection, received.pending, create_response(b"done"))
    assert connection._reader._memory.used_bytes == 0


# Guards against memory that many heads take at once before they are counted (Fault).
def test_head_counts_from_its_first_byte(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    part = b"GET / HTTP/1.1\r\nHost: a\r\n"
    caller.sendall(part)

    def read() -> None:
        with contextlib.suppress(exceptions.CallerDisconnectedError):
            connection.receive(LIMITS)

    reading = threading.Thread(target=read)
    reading.start()
    memory = connection._reader._memory
    ends_at_s = time.monotonic() + 10
    while memory.used_bytes != len(part) and time.monotonic() < ends_at_s:
        time.sleep(0.01)
    assert memory.used_bytes == len(part)
    caller.close()
    reading.join(timeout=10)
    assert memory.used_bytes == 0


# Guards against memory that a head takes although there is no room for it (Fault).
def test_head_without_room_is_refused_before_it_is_parsed(
    pair: tuple[socket.socket, connections.CallerConnection], monkeypatch: pytest.MonkeyPatch
) -> None:
    caller, connection = pair
    fields = connection._reader._memory._total_bytes // head_cost.FIELD_BYTES
    caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * fields + b"\r\n")
    parsed: list[object] = []
    monkeypatch.setattr(request_reader, "_check_head", lambda head, limits: parsed.append(head))
    with pytest.raises(exceptions.BadRequestError) as raised:
        connection.receive(LIMITS)
    assert raised.value.status == request_reader.STATUS_UNAVAILABLE
    assert not parsed


def test_caller_that_leaves_within_a_body_leaves_no_memory_counted(
    pair: tuple[socket.socket, connections.CallerConnection],
) -> None:
    caller, connection = pair
    caller.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + bytes(99))
    caller.close()
    with pytest.raises(exceptions.CallerDisconnectedError):
        connection.receive(LIMITS)
    assert connection._reader._memory.used_bytes == 0


def test_response_that_nobody_reads_is_given_up_while_memory_is_short(
    pair: tuple[socket.socket, connections.CallerConnection], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_limit, "UNREAD_S", 0.0)
    monkeypatch.setattr(caller_socket, "SHORTAGE_POLL_S", 0.05)
    caller, connection = pair
    caller.sendall(REQUEST % 1)
    first = connection.receive(LIMITS)
    connection._reader._memory.note_shortage()
    sender = threading.Thread(
        target=lambda: respond(connection, first.pending, create_response(bytes(64 * 1_048_576))),
        daemon=True,
    )
    sender.start()
    sender.join(timeout=10)
    assert not sender.is_alive()
    assert connection.is_idle
