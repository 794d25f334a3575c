"""Reads one request of a caller within the limits on its size, its pace and the memory."""

from __future__ import annotations

import dataclasses
import io
import time
from typing import TYPE_CHECKING
from typing import Final

import h11

from goldcresthall.backend import response_framing
from goldcresthall.callers import exceptions
from goldcresthall.callers import head_cost
from goldcresthall.callers import refusals
from goldcresthall.memory import holders
from goldcresthall.memory import ledger
from goldcresthall.memory import progress

if TYPE_CHECKING:
    from goldcresthall.callers import caller_socket
    from goldcresthall.callers import response_order
    from goldcresthall.core import deployment

IDLE_TIMEOUT_MARGIN_S: Final = 0.5
# How soon a body whose memory was reclaimed is given up.
RECLAIM_CHECK_S: Final = 0.25
MEMORY_POLL_S: Final = 0.1
STATUS_CONTINUE: Final = 100
STATUS_TIMEOUT: Final = 408
STATUS_TOO_LARGE: Final = 413
STATUS_HEADER_TOO_LARGE: Final = 431
STATUS_UNAVAILABLE: Final = 503


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request that was read completely.

    Attributes
    ----------
    parser
        The parser that has read it and encodes its response.
    account
        Memory of the request; whoever takes the request releases it.
    """

    parser: h11.Connection
    head: h11.Request
    body: bytes
    account: ledger.Account


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Attributes
    ----------
    leftover
        What was received after the last request.
    progressed_at_s
        Clock reading in seconds at which the caller last sent something.
    """

    def __init__(
        self,
        caller: caller_socket.CallerSocket,
        responses: response_order.ResponseOrder,
        memory: ledger.MemoryLedger,
    ) -> None:
        self._caller = caller
        self._responses = responses
        self._memory = memory
        self.leftover = b""
        self.progressed_at_s = time.monotonic()

    def read(self, limits: deployment.CallerLimits) -> CompleteRequest:
        """Return the next request.

        Raises
        ------
        CallerDisconnectedError
            If the connection ends before.
        ConnectionDrainingError
            If the head is not complete in time and responses are pending.
        BadRequestError
            If the request is refused.
        RemoteProtocolError
            If the request is malformed.
        """
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        first, self.leftover = self.leftover, b""
        if not first:
            first = self._await_request(limits)
        is_first = self._responses.is_idle
        account = self._memory.open(
            holders.RequestHolder() if is_first else holders.PipelinedHolder()
        )
        try:
            head = self._read_head(parser, first, account, limits)
            self._check_declared_length(head, account, limits)
            # Closing frees the buffer of a refused body, which the traceback would keep. The value
            # of a complete one is the buffer itself; joining parts would hold it twice.
            with io.BytesIO() as buffer:
                self._read_body(parser, limits, account, buffer)
                body = buffer.getvalue()
            account.complete()
        except BaseException:
            account.release()
            raise
        self.leftover, _ = parser.trailing_data
        return CompleteRequest(parser, head, body, account)

    def _read_head(
        self,
        parser: h11.Connection,
        first: bytes,
        account: ledger.Account,
        limits: deployment.CallerLimits,
    ) -> h11.Request:
        cost = head_cost.HeadCost()
        ends_at_s: float | None = None
        data = first
        while True:
            self._take_head(account, cost.add(data))
            parser.receive_data(data)
            event = parser.next_event()
            if isinstance(event, h11.Request):
                _check_head(event, limits)
                return event
            if event is not h11.NEED_DATA:
                raise exceptions.CallerDisconnectedError("closed")
            if parser.trailing_data[0] and ends_at_s is None:
                ends_at_s = time.monotonic() + limits.header_timeout_s
            if ends_at_s is None:
                data = self._await_request(limits)
            else:
                data = self._receive_head(ends_at_s, account)

    def _await_request(self, limits: deployment.CallerLimits) -> bytes:
        ends_at_s = time.monotonic() + limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        while True:
            now_s = time.monotonic()
            if now_s >= ends_at_s:
                if self._responses.is_idle:
                    raise exceptions.CallerDisconnectedError("idle")
                ends_at_s = now_s + limits.idle_timeout_s
            if data := self._receive(ends_at_s - now_s):
                return data

    def _receive_head(self, ends_at_s: float, account: ledger.Account) -> bytes:
        while (remaining_s := ends_at_s - time.monotonic()) > 0:
            if data := self._receive(min(remaining_s, RECLAIM_CHECK_S)):
                return data
            if account.is_reclaimed:
                raise _refuse_memory(account)
        if self._responses.close_after_pending():
            raise exceptions.ConnectionDrainingError
        raise exceptions.CallerDisconnectedError("timed out")

    def _take_head(self, account: ledger.Account, size_bytes: int) -> None:
        """Count more of a request's head, before it is parsed.

        A request that was sent behind others waits until they have left room for it, and at most
        until they are answered.
        """
        if not size_bytes:
            return
        while not self._responses.is_idle:
            if account.try_take(size_bytes):
                return
            self._caller.wait_readable(MEMORY_POLL_S, only_hangup=True)
        account.kind = holders.RequestHolder()
        if not account.take(size_bytes):
            raise _refuse_memory(account)

    def _check_declared_length(
        self, head: h11.Request, account: ledger.Account, limits: deployment.CallerLimits
    ) -> None:
        """Refuse a body by its declared length alone, if that suffices."""
        length = _find_length(head)
        if length > limits.body_bytes:
            raise _create_too_large_error()
        if length <= holders.ORDINARY_BYTES:
            return
        if not account.make_room(length):
            raise _refuse_memory(account)

    def _read_body(
        self,
        parser: h11.Connection,
        limits: deployment.CallerLimits,
        account: ledger.Account,
        body: io.BytesIO,
    ) -> None:
        framing = response_framing.FramingTally()
        pace = progress.Progress(
            progress.ProgressLimits(max_pause_s=limits.idle_timeout_s), time.monotonic()
        )
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    self._send_continue(parser)
                    pace.add(0, time.monotonic())
                data = self._receive_body(pace, account)
                framing.add_received(len(data))
                parser.receive_data(data)
            elif isinstance(event, h11.Data):
                framing.add_event(event)
                if body.tell() + len(event.data) > limits.body_bytes or framing.is_excessive:
                    raise _create_too_large_error()
                self._take_data(account, len(event.data))
                body.write(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return

    def _take_data(self, account: ledger.Account, count: int) -> None:
        if self._responses.is_idle:
            # Nothing is ahead of it any more.
            account.kind = holders.RequestHolder()
        if not account.take(count):
            raise _refuse_memory(account)

    def _receive_body(self, pace: progress.Progress, account: ledger.Account) -> bytes:
        while (remaining_s := pace.ends_at_s - time.monotonic()) > 0:
            if data := self._receive(min(remaining_s, RECLAIM_CHECK_S)):
                pace.add(len(data), time.monotonic())
                return data
            if account.is_reclaimed:
                raise _refuse_memory(account)
        raise exceptions.BadRequestError(
            STATUS_TIMEOUT, "the body comes too slowly", refusals.Reason.BODY_TOO_SLOW
        )

    def _receive(self, timeout_s: float) -> bytes:
        data = self._caller.receive(timeout_s)
        if data:
            self.progressed_at_s = time.monotonic()
        return data

    def _send_continue(self, parser: h11.Connection) -> None:
        status = h11.InformationalResponse(status_code=STATUS_CONTINUE, headers=[])
        self._responses.send_interim(parser.send(status) or b"")


def _check_head(head: h11.Request, limits: deployment.CallerLimits) -> None:
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limits.header_bytes:
        raise exceptions.BadRequestError(
            STATUS_HEADER_TOO_LARGE, "the header is too large", refusals.Reason.HEAD_TOO_LARGE
        )


def _find_length(head: h11.Request) -> int:
    """Return the declared length of a body; 0 if there is none."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def _create_too_large_error() -> exceptions.BadRequestError:
    return exceptions.BadRequestError(
        STATUS_TOO_LARGE, "the body is too large", refusals.Reason.BODY_TOO_LARGE
    )


def _refuse_memory(account: ledger.Account) -> exceptions.BadRequestError:
    if account.is_reclaimed:
        detail, reason = "its memory was reclaimed", refusals.Reason.MEMORY_RECLAIMED
    else:
        detail, reason = "no memory for the request", refusals.Reason.MEMORY_SHORT
    return exceptions.BadRequestError(STATUS_UNAVAILABLE, detail, reason)
