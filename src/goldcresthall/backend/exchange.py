"""HTTP exchange of one request and its response with a backend server."""

from __future__ import annotations

import contextlib
import dataclasses
import io
import itertools
import select
import socket
import struct
import time
from typing import TYPE_CHECKING
from typing import Final

import h11

from goldcresthall.backend import exceptions
from goldcresthall.backend import header_fields
from goldcresthall.backend import idle_survival
from goldcresthall.backend import request_writer
from goldcresthall.backend import response_framing
from goldcresthall.backend import response_heads
from goldcresthall.backend import stream_ends
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.backend import response_memory
    from goldcresthall.core import identity

CONNECT_TIMEOUT_S = 0.3
EARLY_RESET_WAIT_S = 0.005
MS_PER_S = 1_000
RECEIVE_BYTES = 65_536
MAX_RESPONSES_READ = 4
EVENTS_PER_DEADLINE_CHECK = 256
# Closing resets the connection, also when the process is killed. Otherwise the kernel would go on
# delivering what a partition holds up, so that a command arrived long after it had been given up.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """An HTTP request."""

    method: str
    target: str
    headers: tuple[outcomes.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RawResponse:
    """A complete HTTP response.

    Attributes
    ----------
    is_first
        Whether it is the first response on its connection. Any other may be a copy of an earlier
        one, unless it bears something that only the request's own response can bear.
    """

    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes
    is_first: bool = False

    def find(self, name: str) -> str | None:
        """Return the value of a header by its lower-case name, or `None`."""
        return header_fields.find(self.headers, name)


class Connection:
    """A connection to a backend server for one exchange at a time.

    Attributes
    ----------
    max_idle_s
        Seconds after which the server may close it while it is idle.
    """

    def __init__(
        self, connected: socket.socket, policy: idle_survival.ReusePolicy = idle_survival.CAUTIOUS
    ) -> None:
        self._socket = connected
        self._leftover = b""
        self._received_count = 0
        self._is_reusable = False
        self._is_persistent = False
        self._stream_end = stream_ends.StreamEnd.SERVER
        self._policy = policy
        self.max_idle_s = policy.unstated_s
        self.idle_since_s = 0.0

    @classmethod
    def open(
        cls,
        address: identity.Address,
        timeout_s: float,
        policy: idle_survival.ReusePolicy,
    ) -> Connection:
        """Open a connection.

        Raises
        ------
        ConnectFailedError
            If the server does not accept it within `timeout_s` seconds.
        """
        try:
            connected = socket.create_connection((address.host, address.port), timeout_s)
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError as error:
            detail = f"{type(error).__name__}: {error}"
            raise exceptions.ConnectFailedError(outcomes.Step.CONNECT, detail) from error
        return cls(connected, policy)

    def check_early_reset(self) -> None:
        """Wait briefly for an overloaded server to reset the connection.

        A reset before anything is sent proves that the request was not run.

        Raises
        ------
        ConnectionRejectedError
            If the server resets or closes the connection.
        """
        if self._is_readable(EARLY_RESET_WAIT_S):
            self.close()
            raise exceptions.ConnectionRejectedError(
                outcomes.Step.CONNECT, "reset or closed after connecting"
            )

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can be used for another exchange."""
        return self._is_reusable and not self.has_expired and not self._is_readable()

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have come that belong to no response; the end of the stream is none."""
        if self._leftover:
            return True
        try:
            self._socket.settimeout(0.0)
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def idle_s(self) -> float:
        """Seconds since the end of the last exchange."""
        return time.monotonic() - self.idle_since_s

    @property
    def has_expired(self) -> bool:
        """Whether it has been idle for so long that the server may close it."""
        return self.idle_s > self.max_idle_s

    def exchange(
        self,
        request: RawRequest,
        id_header: str,
        timeout_s: float,
        reservation: response_memory.BodyReservation,
    ) -> RawResponse:
        """Send a request and return its response; a few responses to other requests are skipped.

        Parameters
        ----------
        id_header
            Lower-case name of the request id header, which the response echoes.
        reservation
            Memory for the body; empty. The caller releases it.

        Raises
        ------
        ExchangeError
            If no complete response is received within `timeout_s` seconds.
        """
        ends_at_s = time.monotonic() + timeout_s
        self._is_reusable = False
        expected = header_fields.find(request.headers, id_header) or ""
        parser, message = request_writer.encode(request)
        sent = request_writer.send(self._socket, message, ends_at_s)
        if sent is request_writer.SendResult.FAILED:
            self._stream_end = stream_ends.StreamEnd.SEND_FAILED
        is_sent = sent is request_writer.SendResult.SENT
        for _ in range(MAX_RESPONSES_READ):
            response = self._receive(parser, ends_at_s, reservation)
            echoed = response.find(id_header)
            if echoed is None or echoed == expected:
                self._is_reusable = is_sent and self._is_persistent and not self._leftover
                return response
            reservation.release()
            if not self._is_persistent:
                break
            parser, _ = request_writer.encode(request)
        raise exceptions.TruncatedError(outcomes.Step.RECEIVE, "no response to this request")

    def interrupt(self) -> None:
        """Abort an exchange in progress; called from another thread."""
        self._stream_end = stream_ends.StreamEnd.INTERRUPTED
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _receive(
        self,
        parser: h11.Connection,
        ends_at_s: float,
        reservation: response_memory.BodyReservation,
    ) -> RawResponse:
        """Return the next response; the parser is one that has sent the request."""
        framing = response_framing.FramingTally()
        if self._leftover:
            framing.add_received(len(self._leftover))
            parser.receive_data(self._leftover)
        try:
            response = self._read_response(parser, ends_at_s, reservation, framing)
        except h11.RemoteProtocolError as error:
            raise exceptions.TruncatedError(outcomes.Step.RECEIVE, str(error)) from error
        self._leftover, at_end = parser.trailing_data
        self._is_persistent = parser.their_state is h11.DONE and not at_end
        self._record_keep_alive(response)
        self._received_count += 1
        return dataclasses.replace(response, is_first=self._received_count == 1)

    def _read_response(
        self,
        parser: h11.Connection,
        ends_at_s: float,
        reservation: response_memory.BodyReservation,
        framing: response_framing.FramingTally,
    ) -> RawResponse:
        head: h11.Response | None = None
        # Its value is the buffer itself; joining parts would hold the body twice.
        body = io.BytesIO()
        head_bytes = response_heads.HeadBytes(self._leftover)
        for event in self._read_events(parser, ends_at_s, framing, head_bytes):
            if isinstance(event, h11.Response):
                head = event
                fault = head_bytes.find_fault(head, parser.trailing_data[0])
                if fault is not None:
                    raise exceptions.TruncatedError(outcomes.Step.RECEIVE, fault)
            elif isinstance(event, h11.Data):
                if not reservation.add(len(event.data)):
                    error_type = (
                        exceptions.MemoryShortError
                        if reservation.is_held_up
                        else exceptions.TooLargeError
                    )
                    raise error_type(outcomes.Step.RECEIVE, "no memory for the response")
                body.write(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return RawResponse(head.status_code, header_fields.decode(head), body.getvalue())
        raise exceptions.ConnectionLostError(outcomes.Step.RECEIVE, "closed before the response")

    def _read_events(
        self,
        parser: h11.Connection,
        ends_at_s: float,
        framing: response_framing.FramingTally,
        head_bytes: response_heads.HeadBytes,
    ) -> Iterator[h11.Event]:
        """Yield the parts of a response until the connection ends."""
        for number in itertools.count(1):
            # A block received may hold thousands of tiny chunks.
            if number % EVENTS_PER_DEADLINE_CHECK == 0:
                _find_remaining_s(ends_at_s)
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = self._receive_bytes(parser, ends_at_s)
                framing.add_received(len(data))
                if parser.their_state is not h11.SEND_BODY:
                    head_bytes.add(data)
                parser.receive_data(data)
                continue
            if isinstance(event, h11.ConnectionClosed) or not isinstance(event, h11.Event):
                return
            framing.add_event(event)
            if framing.is_excessive:
                raise exceptions.TooLargeError(
                    outcomes.Step.RECEIVE, "the response has too much framing"
                )
            yield event

    def _receive_bytes(self, parser: h11.Connection, ends_at_s: float) -> bytes:
        header_received = parser.their_state is h11.SEND_BODY
        try:
            self._socket.settimeout(_find_remaining_s(ends_at_s))
            data = self._socket.recv(RECEIVE_BYTES)
        except TimeoutError as error:
            raise exceptions.TimedOutError(outcomes.Step.RECEIVE, "timed out") from error
        except OSError as error:
            error_type = (
                exceptions.TruncatedError if header_received else exceptions.ConnectionLostError
            )
            raise error_type(outcomes.Step.RECEIVE, str(error)) from error
        if not data and not header_received and not parser.trailing_data[0]:
            raise exceptions.ConnectionLostError(
                outcomes.Step.RECEIVE, "closed before the response"
            )
        if not data and not self._stream_end.completes_body:
            raise exceptions.TruncatedError(outcomes.Step.RECEIVE, self._stream_end.value)
        return data

    def _record_keep_alive(self, response: RawResponse) -> None:
        self.idle_since_s = time.monotonic()
        stated_s = idle_survival.parse_timeout_s(response.find("keep-alive"))
        if stated_s is not None:
            self.max_idle_s = self._policy.find_max_idle_s(stated_s)

    def _is_readable(self, timeout_s: float = 0.0) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return bool(poll.poll(timeout_s * MS_PER_S))


def _find_remaining_s(ends_at_s: float) -> float:
    remaining_s = ends_at_s - time.monotonic()
    if remaining_s <= 0:
        raise exceptions.TimedOutError(outcomes.Step.RECEIVE, "timed out")
    return remaining_s
