"""Classification of a backend server's response or failure as the result of an attempt."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING
from typing import Final

import urllib3

from goldcresthall.backend import protocol
from goldcresthall.core import attempts
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Mapping

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NOT_RETURNED: Final = HOP_BY_HOP_HEADERS | {
    "content-length",
    protocol.DRAINING_HEADER.lower(),
    protocol.LOAD_HEADER.lower(),
}

MIN_ERROR_STATUS: Final = 400

NOT_RUN_REASONS: Final = {
    protocol.NOT_RUN_NOT_OWNER: outcomes.RefusalReason.NOT_OWNER,
    protocol.NOT_RUN_SHED: outcomes.RefusalReason.SERVER_SHED,
    protocol.NOT_RUN_DRAINING: outcomes.RefusalReason.SERVER_DRAINING,
}


def classify_response(
    request_id: str, status: int, headers: Mapping[str, str], body: bytes, *, is_first: bool
) -> attempts.Attempt:
    """Return the result of an attempt from a complete response.

    Parameters
    ----------
    is_first
        Whether it is the first response on its connection. Without an id any other may be a copy
        of an earlier one.
    """
    echoed = headers.get(protocol.REQUEST_ID_HEADER)
    if echoed is None and not is_first:
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_MISMATCHED,
            outcomes.Step.RECEIVE,
            "response without an id on a kept connection",
        )
    if echoed is not None and echoed != request_id:
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_MISMATCHED,
            outcomes.Step.RECEIVE,
            f"response to request {echoed}",
        )
    signals = read_signals(headers)
    not_run = headers.get(protocol.NOT_RUN_HEADER)
    if not_run is not None and status < MIN_ERROR_STATUS:
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_MISMATCHED,
            outcomes.Step.RECEIVE,
            f"status {status} with {protocol.NOT_RUN_HEADER}: {not_run}",
        )
    if not_run in NOT_RUN_REASONS:
        return attempts.AttemptNotRun(
            NOT_RUN_REASONS[not_run],
            outcomes.Step.EXECUTE,
            not_run,
            _parse_number(headers.get("Retry-After")),
            signals,
        )
    returned = tuple(
        outcomes.Header(name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_RETURNED
    )
    return attempts.AttemptAnswered(outcomes.Answer(status, returned, body), signals)


def classify_receive_error(error: Exception) -> attempts.AttemptUnknown:
    """Return the result of an attempt whose response was not received completely."""
    if isinstance(error, TimeoutError | urllib3.exceptions.ReadTimeoutError):
        reason = outcomes.UnknownReason.ANSWER_TIMEOUT
    elif isinstance(
        error,
        urllib3.exceptions.IncompleteRead
        | urllib3.exceptions.InvalidChunkLength
        | http.client.IncompleteRead,
    ) or (isinstance(error, urllib3.exceptions.ProtocolError) and _is_incomplete(error)):
        reason = outcomes.UnknownReason.ANSWER_TRUNCATED
    else:
        reason = outcomes.UnknownReason.CONNECTION_LOST
    return attempts.AttemptUnknown(reason, outcomes.Step.RECEIVE, _describe(error))


def classify_send_error(error: Exception) -> attempts.Attempt:
    """Return the result of an attempt whose request was not sent completely.

    Only an error while the request is being built proves that nothing was sent.
    """
    if isinstance(error, ValueError | http.client.InvalidURL):
        return attempts.AttemptNotRun(
            outcomes.RefusalReason.MALFORMED_REQUEST, outcomes.Step.SEND, _describe(error)
        )
    return attempts.AttemptUnknown(
        outcomes.UnknownReason.SEND_INTERRUPTED, outcomes.Step.SEND, _describe(error)
    )


def classify_connect_error(error: Exception) -> attempts.AttemptNotRun:
    """Return the result of an attempt without a connection; no byte of it was sent."""
    return attempts.AttemptNotRun(
        outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, _describe(error)
    )


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _is_incomplete(error: urllib3.exceptions.ProtocolError) -> bool:
    return any(isinstance(argument, http.client.IncompleteRead) for argument in error.args)


def read_signals(headers: Mapping[str, str]) -> attempts.ServerSignals:
    """Return the draining and load signals in the headers of a response."""
    draining = headers.get(protocol.DRAINING_HEADER)
    load = headers.get(protocol.LOAD_HEADER)
    if draining is None and load is None:
        return attempts.NO_SIGNALS
    return attempts.ServerSignals(draining is not None, _parse_number(load))


def _parse_number(value: str | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and 0 <= number < float("inf") else None
