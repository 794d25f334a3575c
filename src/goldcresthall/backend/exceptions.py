"""Failures of an exchange with a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import outcomes


class ExchangeError(Exception):
    """An exchange failed.

    Attributes
    ----------
    step
        The step at which it failed.
    """

    def __init__(self, step: outcomes.Step, detail: str) -> None:
        super().__init__(detail)
        self.step = step


class ConnectFailedError(ExchangeError):
    """No connection was made; no byte of the request was sent."""


class ConnectionRejectedError(ConnectFailedError):
    """The server accepted the connection and reset it, as an overloaded server does."""


class NotSentError(ConnectFailedError):
    """The request was no longer allowed once there was a connection; no byte of it was sent."""


class SendExpiredError(NotSentError):
    """No time was left to send the request once there was a connection."""


class TimedOutError(ExchangeError):
    """The complete response was not received in time."""


class TruncatedError(ExchangeError):
    """The response is truncated, too large, not valid HTTP or for another request."""


class TooLargeError(TruncatedError):
    """The response exceeds a limit on its body or on its framing, as one without end does."""


class MemoryShortError(TruncatedError):
    """There was no memory for the body, because others wait for callers that read slowly."""


class ConnectionLostError(ExchangeError):
    """The connection ended before the request was sent or before the response began."""


class ConnectionForgottenError(ConnectionLostError):
    """The server reset a reused connection at once, which it had forgotten while it was idle.

    The request may still have run: a server that crashes at this moment looks the same.
    """
