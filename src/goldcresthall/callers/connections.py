"""A caller's connection with HTTP pipelining: responses are sent in request order."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import select
import socket
import threading
import time
from typing import TYPE_CHECKING

import h11
from absl import logging

from goldcresthall.backend import exchange
from goldcresthall.backend import response_framing
from goldcresthall.callers import codec
from goldcresthall.callers import exceptions
from goldcresthall.core import outcomes
from goldcresthall.kernel import cancellation

if TYPE_CHECKING:
    from goldcresthall.backend import response_memory
    from goldcresthall.core import deployment

RECEIVE_BYTES = 65_536
SEND_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_MARGIN_S = 0.5
DISCARD_TIMEOUT_S = 0.5
MAX_PIPELINED_REQUESTS = 16
MAX_POLL_S = 5.0
MS_PER_S = 1_000
STATUS_CONTINUE = 100
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_HEADER_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that was read completely.

    Attributes
    ----------
    has_more
        Whether further requests may follow on the connection.
    """

    request: exchange.RawRequest
    pending: PendingResponse
    has_more: bool


class PendingResponse:
    """The position of one response in a connection's response order."""

    def __init__(self, parser: h11.Connection) -> None:
        self.parser = parser
        self.cancelled = cancellation.Cancellation()
        self.closes = False
        self.response: codec.RawResponse | None = None


class CallerConnection:
    """Reads a caller's requests and sends the responses in request order.

    One task reads requests; the tasks that handle them submit the responses.

    Parameters
    ----------
    memory
        Memory for the bodies of the requests of all connections.
    """

    def __init__(self, accepted: socket.socket, memory: response_memory.ResponseMemory) -> None:
        self._memory = memory
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = accepted
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._pending: collections.deque[PendingResponse] = collections.deque()
        self._leftover = b""
        self._is_closed = False
        self._is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending."""
        return not self._pending

    def start_draining(self) -> None:
        """Close the connection after the last pending response, or after the next one."""
        self._is_draining = True

    def close_idle(self) -> bool:
        """Close the connection if no response is pending; return whether it was closed."""
        with self._lock:
            if self._pending:
                return False
            self._is_closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        return True

    def receive(self, limits: deployment.CallerLimits) -> ReceivedRequest:
        """Return the next complete request.

        Raises
        ------
        CallerDisconnectedError
            If the connection ends before a complete request.
        ConnectionDrainingError
            If the request arrives when the connection is already closing.
        BadRequestError
            If the request is malformed or too large.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._pending) < MAX_PIPELINED_REQUESTS or self._is_closed
            )
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        if self._leftover:
            parser.receive_data(self._leftover)
            self._leftover = b""
        try:
            return self._read_request(parser, limits)
        except h11.RemoteProtocolError as error:
            raise exceptions.BadRequestError(
                error.error_status_hint or STATUS_BAD_REQUEST, str(error)
            ) from error

    def respond(self, pending: PendingResponse, response: codec.RawResponse) -> None:
        """Submit a response; it is sent after all earlier responses."""
        with self._changed:
            pending.response = response
            self._send_ready()
            self._changed.notify_all()

    def reject(self, error: exceptions.BadRequestError) -> None:
        """Respond to a malformed request after all earlier ones, and close the connection."""
        pending = PendingResponse(h11.Connection(h11.SERVER))
        pending.closes = True
        pending.response = codec.RawResponse(error.status, (), b"")
        with self._changed:
            self._pending.append(pending)
            self._send_ready()

    def await_responses(self) -> None:
        """Wait until all responses are sent and discard input; return early on a disconnect."""
        while True:
            with self._changed:
                if not self._pending or self._is_closed:
                    break
            try:
                self._wait_readable(MAX_POLL_S, only_hangup=True)
            except exceptions.CallerDisconnectedError:
                return
        self._discard_input()

    def abandon(self) -> None:
        """Cancel all requests in progress and close the connection."""
        with self._changed:
            self._is_closed = True
            abandoned = tuple(self._pending)
            self._pending.clear()
            self._changed.notify_all()
        for pending in abandoned:
            pending.cancelled.cancel()
            pending.cancelled.end()
        self._socket.close()

    def _read_request(
        self, parser: h11.Connection, limits: deployment.CallerLimits
    ) -> ReceivedRequest:
        head = self._read_head(parser, limits)
        reservation = self._memory.create_reservation()
        try:
            body = self._read_body(parser, limits, reservation)
            received = self._finish_request(parser, head, body)
        except BaseException:
            reservation.release()
            raise
        reservation.start_waiting()
        received.pending.cancelled.call_at_end(reservation.release)
        return received

    def _read_body(
        self,
        parser: h11.Connection,
        limits: deployment.CallerLimits,
        reservation: response_memory.BodyReservation,
    ) -> bytes:
        body = bytearray()
        framing = response_framing.FramingTally()
        ends_at_s = time.monotonic() + BODY_TIMEOUT_S
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    self._send_continue(parser)
                data = self._receive_bytes(ends_at_s, limits)
                framing.add_received(len(data))
                parser.receive_data(data)
            elif isinstance(event, h11.Data):
                body += event.data
                framing.add_event(event)
                if len(body) > limits.body_bytes or framing.is_excessive:
                    raise exceptions.BadRequestError(STATUS_TOO_LARGE, "the body is too large")
                if not reservation.add(len(event.data)):
                    raise exceptions.BadRequestError(STATUS_UNAVAILABLE, "no memory for the body")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)

    def _read_head(self, parser: h11.Connection, limits: deployment.CallerLimits) -> h11.Request:
        ends_at_s: float | None = None
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                _check_head(event, limits)
                return event
            if event is not h11.NEED_DATA:
                raise exceptions.CallerDisconnectedError("closed")
            if parser.trailing_data[0] and ends_at_s is None:
                ends_at_s = time.monotonic() + limits.header_timeout_s
            parser.receive_data(self._receive_bytes(ends_at_s, limits))

    def _finish_request(
        self, parser: h11.Connection, head: h11.Request, body: bytes
    ) -> ReceivedRequest:
        self._leftover, _ = parser.trailing_data
        pending = PendingResponse(parser)
        pending.closes = self._is_draining or parser.their_state is h11.MUST_CLOSE
        with self._changed:
            if self._is_closed:
                raise exceptions.CallerDisconnectedError("closed")
            # The response ahead of this request may not be sent before the instance stops;
            # this request would then be lost as well.
            if self._pending and (self._is_draining or self._pending[-1].closes):
                raise exceptions.ConnectionDrainingError
            self._pending.append(pending)
        headers = tuple(
            outcomes.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        )
        request = exchange.RawRequest(
            head.method.decode("ascii"), head.target.decode("latin-1"), headers, body
        )
        return ReceivedRequest(request, pending, has_more=not pending.closes)

    def _receive_bytes(self, ends_at_s: float | None, limits: deployment.CallerLimits) -> bytes:
        idle_ends_at_s = time.monotonic() + limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        while True:
            limit_s = ends_at_s if ends_at_s is not None else idle_ends_at_s
            remaining_s = limit_s - time.monotonic()
            if remaining_s <= 0:
                self._check_pending(is_incomplete=ends_at_s is not None)
                idle_ends_at_s = time.monotonic() + limits.idle_timeout_s
                continue
            if not self._wait_readable(min(remaining_s, MAX_POLL_S)):
                continue
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise exceptions.CallerDisconnectedError(str(error)) from error
            if not data:
                raise exceptions.CallerDisconnectedError("closed")
            return data

    def _check_pending(self, *, is_incomplete: bool) -> None:
        """End the connection at a timeout, unless it only waits for pending responses.

        An incomplete request that timed out closes the connection after those responses.
        """
        with self._lock:
            if not self._pending:
                raise exceptions.CallerDisconnectedError("timed out")
            if is_incomplete:
                self._pending[-1].closes = True
                raise exceptions.ConnectionDrainingError

    def _wait_readable(self, timeout_s: float, *, only_hangup: bool = False) -> bool:
        poll = select.poll()
        try:
            wanted = select.POLLRDHUP if only_hangup else select.POLLIN | select.POLLRDHUP
            poll.register(self._socket, wanted)
            events = poll.poll(timeout_s * MS_PER_S)
        except (OSError, ValueError) as error:
            raise exceptions.CallerDisconnectedError(str(error)) from error
        if events and only_hangup:
            raise exceptions.CallerDisconnectedError("closed")
        return bool(events)

    def _discard_input(self) -> None:
        """Discard unread input; closing with unread bytes would reset the last response."""
        ends_at_s = time.monotonic() + DISCARD_TIMEOUT_S
        while time.monotonic() < ends_at_s:
            try:
                if self._wait_readable(DISCARD_TIMEOUT_S) and not self._socket.recv(RECEIVE_BYTES):
                    return
            except (OSError, exceptions.CallerDisconnectedError):
                return

    def _send_continue(self, parser: h11.Connection) -> None:
        status = h11.InformationalResponse(status_code=STATUS_CONTINUE, headers=[])
        data = parser.send(status)
        with self._changed:
            self._changed.wait_for(lambda: not self._pending or self._is_closed)
            self._send(data or b"")

    def _send_ready(self) -> None:
        while self._pending and not self._is_closed:
            pending = self._pending[0]
            if pending.response is None:
                return
            self._pending.popleft()
            # While draining, the last pending response closes the connection: a later request
            # on it would be interrupted when the instance stops.
            pending.closes = pending.closes or (self._is_draining and not self._pending)
            self._send(_encode(pending, pending.response))
            pending.cancelled.end()
            if pending.closes:
                self._is_closed = True
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_WR)

    def _send(self, data: bytes) -> None:
        view = memoryview(data)
        ends_at_s = time.monotonic() + SEND_TIMEOUT_S
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                if not self._wait_writable(ends_at_s - time.monotonic()):
                    self._close_unread()
                    return
            except OSError:
                # The reading task detects the same failure and cancels the requests in progress.
                self._is_closed = True
                return

    def _close_unread(self) -> None:
        """Close the connection of a caller that does not read, so that the reading task ends."""
        logging.info("connection closed, step send: the caller does not read its responses")
        self._is_closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def _wait_writable(self, timeout_s: float) -> bool:
        poll = select.poll()
        try:
            poll.register(self._socket, select.POLLOUT)
            return timeout_s > 0 and bool(poll.poll(timeout_s * MS_PER_S))
        except (OSError, ValueError):
            return False


def _check_head(head: h11.Request, limits: deployment.CallerLimits) -> None:
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limits.header_bytes:
        raise exceptions.BadRequestError(STATUS_HEADER_TOO_LARGE, "the header is too large")


def _encode(pending: PendingResponse, response: codec.RawResponse) -> bytes:
    headers = [
        (header.name.encode("latin-1"), header.value.encode("latin-1"))
        for header in response.headers
    ]
    headers.append((b"Content-Length", str(len(response.body)).encode()))
    if pending.closes:
        headers.append((b"Connection", b"close"))
    parser = pending.parser
    head = h11.Response(status_code=response.status, headers=headers)
    data = parser.send(head) or b""
    if response.body and parser.our_state is h11.SEND_BODY:
        data += parser.send(h11.Data(data=response.body)) or b""
    data += parser.send(h11.EndOfMessage()) or b""
    return data
