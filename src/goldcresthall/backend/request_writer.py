"""Encoding and sending of requests to backend servers."""

from __future__ import annotations

import enum
import select
import socket
import time
from typing import TYPE_CHECKING

import h11

from goldcresthall.backend import exceptions
from goldcresthall.backend import header_fields
from goldcresthall.backend import outgoing
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from goldcresthall.backend import exchange

HEADER_LIMIT_BYTES = 65_536
MS_PER_S = 1_000


class SendResult(enum.Enum):
    """How far a request was sent before its response is read."""

    SENT = "sent"
    RESPONSE_BEGAN = "response began"
    FAILED = "failed"


def encode(request: exchange.RawRequest) -> tuple[h11.Connection, outgoing.OutgoingMessage]:
    """Return a parser that expects the response to a request, and the request's message."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEADER_LIMIT_BYTES)
    parts = [parser.send(_create_head(request)) or b""]
    if request.body:
        parts += parser.send_with_data_passthrough(h11.Data(data=request.body)) or []
    parts.append(parser.send(h11.EndOfMessage()) or b"")
    return parser, outgoing.OutgoingMessage(parts)


def send(
    connected: socket.socket, message: outgoing.OutgoingMessage, ends_at_s: float
) -> SendResult:
    """Send a request, unless a response begins before it is sent completely.

    A server may respond to a long body before it has read all of it. The rest is then not
    sent, so the connection cannot be used again. If the connection fails meanwhile, the response
    can be read, but the end of its stream is not the server's.

    Raises
    ------
    ExchangeError
        If the connection ends, or the server takes too long to read the request.
    """
    try:
        connected.settimeout(0.0)
        while not message.is_sent:
            try:
                message.send_some(connected)
            except BlockingIOError:
                if _wait_writable(connected, ends_at_s) & select.POLLIN:
                    return SendResult.RESPONSE_BEGAN
    except OSError as error:
        if _has_input(connected):
            # The server ended the connection after an early response, which can still be read.
            return SendResult.FAILED
        if message.is_untouched:
            raise exceptions.NotSentError(outcomes.Step.SEND, str(error)) from error
        raise exceptions.ConnectionLostError(outcomes.Step.SEND, str(error)) from error
    return SendResult.SENT


def _has_input(connected: socket.socket) -> bool:
    try:
        return bool(connected.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def _wait_writable(connected: socket.socket, ends_at_s: float) -> int:
    """Wait until more can be sent or a response begins; return the events of the poll."""
    poll = select.poll()
    poll.register(connected, select.POLLIN | select.POLLOUT)
    ready = poll.poll(max(0.0, ends_at_s - time.monotonic()) * MS_PER_S)
    if not ready:
        raise exceptions.TimedOutError(outcomes.Step.SEND, "timed out")
    return ready[0][1]


def _create_head(request: exchange.RawRequest) -> h11.Request:
    headers = header_fields.encode(request.headers)
    if request.body:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    elif request.method not in {"GET", "HEAD"}:
        headers.append((b"Content-Length", b"0"))
    return h11.Request(method=request.method, target=request.target, headers=headers)
