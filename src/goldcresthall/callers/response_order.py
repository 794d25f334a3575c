"""Sends the responses of one connection in the order of its requests."""

from __future__ import annotations

import collections
import contextlib
import socket
import threading
from typing import TYPE_CHECKING
from typing import Final

import h11

from goldcresthall.backend import header_fields
from goldcresthall.backend import outgoing
from goldcresthall.callers import exceptions
from goldcresthall.callers import refusals
from goldcresthall.kernel import cancellation
from goldcresthall.memory import progress

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.callers import caller_socket
    from goldcresthall.callers import codec

MAX_PIPELINED_REQUESTS: Final = 16
# A receiver may announce room only once half of its buffer is free.
SEND_LIMITS: Final = progress.ProgressLimits(max_pause_s=30.0)


class PendingResponse:
    """The position of one response in a connection's response order."""

    def __init__(self, parser: h11.Connection) -> None:
        self.parser = parser
        self.cancelled = cancellation.Cancellation()
        self.closes = False
        self.response: codec.RawResponse | None = None


class ResponseOrder:
    """The responses that a connection owes, and whether it takes more requests.

    Parameters
    ----------
    count_refusal
        Called if the caller does not read a response.
    is_memory_short
        Asked while a caller reads nothing.
    """

    def __init__(
        self,
        caller: caller_socket.CallerSocket,
        count_refusal: Callable[[refusals.Reason, str], None],
        is_memory_short: Callable[[], bool],
    ) -> None:
        self._caller = caller
        self._is_memory_short = is_memory_short
        self._count_refusal = count_refusal
        self._changed = threading.Condition(threading.Lock())
        self._pending: collections.deque[PendingResponse] = collections.deque()
        self._is_closed = False
        self._is_draining = False
        self._is_sending = False

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending."""
        return not self._pending

    @property
    def is_draining(self) -> bool:
        """Whether the connection closes after the last pending response."""
        return self._is_draining

    @property
    def has_ended(self) -> bool:
        """Whether nothing is left to send, or nothing more can be sent."""
        return self._is_closed or not self._pending

    def start_draining(self) -> None:
        """Close the connection after the last pending response, or after the next one."""
        self._is_draining = True

    def close_idle(self) -> bool:
        """Close the connection if no response is pending; return whether it was closed."""
        with self._changed:
            if self._pending:
                return False
            self._is_closed = True
        self._caller.shutdown(socket.SHUT_RDWR)
        return True

    def wait_for_turn(self) -> None:
        """Wait until another request may be read."""
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._pending) < MAX_PIPELINED_REQUESTS or self._is_closed
            )

    def append(self, pending: PendingResponse) -> None:
        """Add the response of a complete request.

        Raises
        ------
        CallerDisconnectedError
            If the connection is closed.
        ConnectionDrainingError
            If the connection closes with the response ahead.
        """
        with self._changed:
            if self._is_closed:
                raise exceptions.CallerDisconnectedError("closed")
            # The response ahead of this request may not be sent before the instance stops;
            # this request would then be lost as well.
            if self._pending and (self._is_draining or self._pending[-1].closes):
                raise exceptions.ConnectionDrainingError
            self._pending.append(pending)

    def respond_last(self, response: codec.RawResponse) -> None:
        """Submit a response that no request is pending for, and close the connection after it."""
        pending = PendingResponse(h11.Connection(h11.SERVER))
        pending.closes = True
        pending.response = response
        with self._changed:
            self._pending.append(pending)
        self.send_due()

    def close_after_pending(self) -> bool:
        """Close the connection after the pending responses; return whether there are any."""
        with self._changed:
            if self._pending:
                self._pending[-1].closes = True
            return bool(self._pending)

    def send_interim(self, data: bytes) -> None:
        """Send an interim response of the request that is being read, after all earlier ones."""
        with self._changed:
            self._changed.wait_for(lambda: not self._pending or self._is_closed)
            if self._is_closed:
                raise exceptions.CallerDisconnectedError("closed")
        message = outgoing.OutgoingMessage((data,))
        if not self._caller.send(message, SEND_LIMITS, self._is_memory_short):
            raise exceptions.CallerDisconnectedError("an interim response was not read")

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
        # Wakes a task that sends, which still uses the descriptor.
        self._caller.shutdown(socket.SHUT_RDWR)
        with self._changed:
            self._changed.wait_for(lambda: not self._is_sending)
        self._caller.close()

    def send_due(self) -> None:
        """Send the responses that are due, unless another task does so.

        The lock is not held while a response is sent, as a caller may read slowly.
        """
        with self._changed:
            if self._is_sending:
                return
            self._is_sending = True
        try:
            while (pending := self._find_due()) is not None:
                self._send(pending)
        except BaseException:
            with self._changed:
                self._is_closed = True
                self._is_sending = False
                self._changed.notify_all()
            self._caller.shutdown(socket.SHUT_RDWR)
            raise

    def _find_due(self) -> PendingResponse | None:
        """Return the next response to send; without one, this task sends no more."""
        with self._changed:
            if self._pending and not self._is_closed:
                pending = self._pending[0]
                if pending.response is not None:
                    # While draining, the last pending response closes the connection: a later
                    # request on it would be interrupted when the instance stops.
                    is_last = len(self._pending) == 1
                    pending.closes = pending.closes or (self._is_draining and is_last)
                    return pending
            self._is_sending = False
            self._changed.notify_all()
            return None

    def _send(self, pending: PendingResponse) -> None:
        is_sent = False
        with contextlib.suppress(exceptions.CallerDisconnectedError):
            # The reading task detects the same failure and cancels the requests in progress.
            is_sent = self._caller.send(_encode(pending), SEND_LIMITS, self._is_memory_short)
            if not is_sent:
                self._count_refusal(refusals.Reason.RESPONSE_UNREAD, "a response was not read")
        with self._changed:
            if self._pending and self._pending[0] is pending:
                self._pending.popleft()
            # A task that sends the responses behind this one must not keep its memory.
            pending.response = None
            self._is_closed = self._is_closed or not is_sent or pending.closes
            self._changed.notify_all()
        pending.cancelled.end()
        if not is_sent:
            self._caller.shutdown(socket.SHUT_RDWR)
        elif pending.closes:
            self._caller.shutdown(socket.SHUT_WR)


def _encode(pending: PendingResponse) -> outgoing.OutgoingMessage:
    response = pending.response
    if response is None:
        return outgoing.OutgoingMessage(())
    headers = header_fields.encode(response.headers)
    headers.append((b"Content-Length", str(len(response.body)).encode()))
    if pending.closes:
        headers.append((b"Connection", b"close"))
    parser = pending.parser
    parts = [parser.send(h11.Response(status_code=response.status, headers=headers)) or b""]
    if response.body and parser.our_state is h11.SEND_BODY:
        parts += parser.send_with_data_passthrough(h11.Data(data=response.body)) or []
    parts.append(parser.send(h11.EndOfMessage()) or b"")
    return outgoing.OutgoingMessage(parts)
