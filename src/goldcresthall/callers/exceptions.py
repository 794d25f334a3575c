"""Exceptions of callers' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.callers import refusals


class CallerDisconnectedError(Exception):
    """The caller closed the connection, or the connection timed out."""


class ConnectionDrainingError(Exception):
    """The connection closes after the pending responses; the request was not accepted."""


class BadRequestError(Exception):
    """A request was refused before it was complete.

    Attributes
    ----------
    status
        Status of the response.
    reason
        Reason under which it is counted.
    """

    def __init__(self, status: int, detail: str, reason: refusals.Reason) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
