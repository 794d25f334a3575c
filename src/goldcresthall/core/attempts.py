"""One attempt to run a request at one backend server."""

from __future__ import annotations

import dataclasses
from typing import Final

from goldcresthall.core import outcomes
from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class FencingToken:
    """Fencing token of a keyed request: the grant it is sent under, checked by the server."""

    partition: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """A request to one backend server.

    Attributes
    ----------
    timeout_s
        Seconds left until the caller's deadline.
    sent_before
        Whether the request was sent to this server before, so that a copy of the earlier response
        bears the same id.
    """

    request_id: str
    server: preset.BackendServer
    connection_limit: int
    method: str
    target: str
    headers: tuple[outcomes.Header, ...]
    body: bytes
    timeout_s: float
    grant: FencingToken | None = None
    idempotent: bool = True
    sent_before: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSignals:
    """Draining and load signals that a server sends along with a response.

    Attributes
    ----------
    draining
        Whether the server is draining and wants no new requests.
    load
        Number of requests in progress or queued at the server; `None` if not reported.
    pause_s
        Seconds for which the server wants no request from this instance; 0 if it did not say so.
    queued
        Number of requests that wait for a slot at the server; `None` if not reported.
    slowdown
        How much longer than usual work takes on the server's machine now, as a factor; `None` if
        not reported.
    """

    draining: bool = False
    load: float | None = None
    pause_s: float = 0.0
    queued: int | None = None
    slowdown: float | None = None


NO_SIGNALS: Final = ServerSignals()


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The server ran the request and its response is complete."""

    answer: outcomes.Answer
    signals: ServerSignals = NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptNotRun:
    """No byte of the request was sent, or the server reported that it was not run."""

    reason: outcomes.RefusalReason
    step: outcomes.Step
    detail: str
    retry_after_s: float | None = None
    signals: ServerSignals = NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptUnknown:
    """The server may or may not have run the request.

    Attributes
    ----------
    signals
        What holds whichever request the response was for; no signals without a response.
    """

    reason: outcomes.UnknownReason
    step: outcomes.Step
    detail: str
    signals: ServerSignals = NO_SIGNALS


Attempt = AttemptAnswered | AttemptNotRun | AttemptUnknown
