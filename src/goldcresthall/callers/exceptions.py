"""Exceptions of callers' connections."""

from __future__ import annotations


class CallerDisconnectedError(Exception):
    """The caller closed the connection, or the connection timed out."""


class ConnectionDrainingError(Exception):
    """The connection closes after the pending responses; the request was not accepted."""


class BadRequestError(Exception):
    """The caller sent a malformed or oversized request; `status` is the response's."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
