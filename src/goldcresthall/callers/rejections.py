"""Refusal of requests that the HTTP library rejects before they reach the front end."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from cheroot import server
from cheroot import wsgi

from goldcresthall.callers import responses
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

HEADER_LIMIT_BYTES: Final = 65_536
STATUS_DIGITS: Final = 3

REFUSAL_REASONS_BY_STATUS: Final = {
    "400": outcomes.RefusalReason.MALFORMED_REQUEST,
    "405": outcomes.RefusalReason.MALFORMED_REQUEST,
    "413": outcomes.RefusalReason.REQUEST_TOO_LARGE,
    "414": outcomes.RefusalReason.REQUEST_TOO_LARGE,
    "501": outcomes.RefusalReason.MALFORMED_REQUEST,
    "503": outcomes.RefusalReason.QUEUE_FULL,
    "505": outcomes.RefusalReason.MALFORMED_REQUEST,
}


class RejectingRequest(server.HTTPRequest):
    """A request whose rejection by the library is reported and counted as a refusal."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Respond to a request that the library rejected, and close its connection."""
        reason = REFUSAL_REASONS_BY_STATUS.get(str(status)[:STATUS_DIGITS])
        if reason is None:
            super().simple_response(status, msg)
            return
        self.close_connection = True
        peer = self.conn.remote_addr or ""
        refused = outcomes.Refused(reason, outcomes.Step.DECODE, peer, msg or str(status))
        self.server.count_rejection(refused)
        self.conn.wfile.write(_create_message(str(status), responses.create_response(refused)))


class RejectingConnection(server.HTTPConnection):
    """A caller's connection, whose requests are of the class `RejectingRequest`."""

    RequestHandlerClass = RejectingRequest


class CallerServer(wsgi.Server):
    """The WSGI server for callers, with a limit on the header size.

    Attributes
    ----------
    count_rejection
        Called with each refusal that does not reach the front end.
    """

    ConnectionClass = RejectingConnection
    max_request_header_size = HEADER_LIMIT_BYTES
    count_rejection: Callable[[outcomes.Refused], None]


def _create_message(status: str, response: responses.Response) -> bytes:
    headers = (
        *response.headers,
        outcomes.Header("Content-Length", str(len(response.body))),
        outcomes.Header("Connection", "close"),
    )
    lines = [f"HTTP/1.1 {status}", *(f"{header.name}: {header.value}" for header in headers)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
