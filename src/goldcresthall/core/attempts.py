"""One try of a request at one backend server."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import outcomes
from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class FencingToken:
    """The grant under which keyed work is sent, for the server to check."""

    partition: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """What is sent to one backend server.

    Attributes
    ----------
    timeout_s
        Seconds left until the caller must have an answer.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSignals:
    """What a server says of itself along with an answer.

    Attributes
    ----------
    draining
        Whether it is leaving and wants no new work.
    load
        Requests that it has in progress or in its queue; none if not told.
    """

    draining: bool = False
    load: float | None = None


NO_SIGNALS = ServerSignals()


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """The server ran the request and its answer is whole."""

    answer: outcomes.Answer
    signals: ServerSignals = NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptNotRun:
    """No byte of the request left, or the server itself said it was not run."""

    reason: outcomes.RefusalReason
    step: outcomes.Step
    detail: str
    retry_after_s: float | None = None
    signals: ServerSignals = NO_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptUnknown:
    """The server may or may not have run the request."""

    reason: outcomes.UnknownReason
    step: outcomes.Step
    detail: str


Attempt = AttemptAnswered | AttemptNotRun | AttemptUnknown
