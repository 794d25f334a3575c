"""A caller's connection with HTTP pipelining: responses are sent in request order."""

from __future__ import annotations

import dataclasses
import socket
import time
from typing import TYPE_CHECKING

import h11

from goldcresthall.backend import exchange
from goldcresthall.backend import header_fields
from goldcresthall.callers import caller_socket
from goldcresthall.callers import codec
from goldcresthall.callers import connection_limit
from goldcresthall.callers import exceptions
from goldcresthall.callers import refusals
from goldcresthall.callers import request_reader
from goldcresthall.callers import response_order

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.memory import ledger

STATUS_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that was read completely.

    Attributes
    ----------
    has_more
        Whether further requests may follow on the connection.
    """

    request: exchange.RawRequest
    pending: response_order.PendingResponse
    has_more: bool


class CallerConnection:
    """Reads a caller's requests and sends the responses in request order.

    One task reads requests; the tasks that handle them submit the responses.

    Parameters
    ----------
    memory
        Memory for the requests and responses of all connections.
    refusal_log
        Counts what is refused.
    """

    def __init__(
        self,
        accepted: socket.socket,
        memory: ledger.MemoryLedger,
        refusal_log: refusals.RefusalLog,
    ) -> None:
        self._refusal_log = refusal_log
        self._caller = caller_socket.CallerSocket(accepted)
        self._responses = response_order.ResponseOrder(
            self._caller, refusal_log.count, lambda: memory.is_short
        )
        self._reader = request_reader.RequestReader(self._caller, self._responses, memory)
        self._served_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending."""
        return self._responses.is_idle

    @property
    def activity(self) -> connection_limit.Activity:
        """What the connection is used for at the moment."""
        return connection_limit.Activity(
            is_serving=not self._responses.is_idle,
            has_served=self._served_count > 0,
            silent_s=time.monotonic() - self._reader.progressed_at_s,
            unread_s=self._caller.unread_s,
        )

    def start_draining(self) -> None:
        """Close the connection after the last pending response, or after the next one."""
        self._responses.start_draining()

    def close_idle(self) -> bool:
        """Close the connection if no response is pending; return whether it was closed."""
        return self._responses.close_idle()

    def close_unused(self) -> bool:
        """Close the connection if it is idle or its response unread; return whether it was."""
        if self.close_idle():
            return True
        if not self.activity.is_unread:
            return False
        self._caller.shutdown(socket.SHUT_RDWR)
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
            If the request is malformed, too large or too slow, or there is no memory for it.
        """
        self._responses.wait_for_turn()
        try:
            complete = self._reader.read(limits)
        except h11.RemoteProtocolError as error:
            raise exceptions.BadRequestError(
                error.error_status_hint or STATUS_BAD_REQUEST,
                str(error),
                refusals.Reason.MALFORMED,
            ) from error
        pending = response_order.PendingResponse(complete.parser)
        pending.cancelled.call_at_end(complete.account.release)
        pending.closes = (
            self._responses.is_draining or complete.parser.their_state is h11.MUST_CLOSE
        )
        try:
            self._responses.append(pending)
        except BaseException:
            pending.cancelled.end()
            raise
        self._served_count += 1
        return ReceivedRequest(_create_request(complete), pending, has_more=not pending.closes)

    def send_due(self) -> None:
        """Send the submitted responses whose turn it is.

        The task of one request may send the responses to later ones, which their caller may read
        slowly. It should hold neither its request nor its response any more.
        """
        self._responses.send_due()

    def reject(self, error: exceptions.BadRequestError) -> None:
        """Respond to a refused request after all earlier ones, and close the connection."""
        self._refusal_log.count(error.reason, str(error))
        self._responses.respond_last(codec.RawResponse(error.status, (), b""))

    def await_responses(self) -> None:
        """Wait until all responses are sent and discard input; return early on a disconnect."""
        try:
            while not self._responses.has_ended:
                self._caller.wait_readable(caller_socket.MAX_POLL_S, only_hangup=True)
        except exceptions.CallerDisconnectedError:
            return
        self._caller.discard_input()

    def abandon(self) -> None:
        """Cancel all requests in progress and close the connection."""
        self._responses.abandon()


def _create_request(complete: request_reader.CompleteRequest) -> exchange.RawRequest:
    head = complete.head
    return exchange.RawRequest(
        head.method.decode("ascii"),
        head.target.decode("latin-1"),
        header_fields.decode(head),
        complete.body,
    )
