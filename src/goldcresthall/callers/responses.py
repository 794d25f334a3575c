"""Conversion of outcomes to HTTP responses, by the type of outcome."""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import Final

from goldcresthall.core import outcomes
from goldcresthall.encoding import documents

OUTCOME_HEADER: Final = "Goldcresthall-Outcome"
REASON_HEADER: Final = "Goldcresthall-Reason"
STEP_HEADER: Final = "Goldcresthall-Step"
PEER_HEADER: Final = "Goldcresthall-Peer"
TRIES_HEADER: Final = "Goldcresthall-Tries"
SERVER_HEADER: Final = "Goldcresthall-Server"

STATUS_BAD_REQUEST: Final = 400
STATUS_CONFLICT: Final = 409
STATUS_TOO_LARGE: Final = 413
STATUS_UNPROCESSABLE: Final = 422
STATUS_UNAVAILABLE: Final = 503
STATUS_NOT_FOUND: Final = 404
STATUS_GATEWAY_TIMEOUT: Final = 504
STATUS_BAD_GATEWAY: Final = 502

REFUSAL_STATUSES: Final = {
    outcomes.RefusalReason.MALFORMED_REQUEST: STATUS_BAD_REQUEST,
    outcomes.RefusalReason.REQUEST_TOO_LARGE: STATUS_TOO_LARGE,
    outcomes.RefusalReason.UNKNOWN_SERVICE: STATUS_NOT_FOUND,
    outcomes.RefusalReason.KEY_MISSING: STATUS_BAD_REQUEST,
    outcomes.RefusalReason.IDEMPOTENCY_KEY_MISSING: STATUS_BAD_REQUEST,
    outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED: STATUS_BAD_REQUEST,
    outcomes.RefusalReason.IDEMPOTENCY_KEY_REUSED: STATUS_UNPROCESSABLE,
}

UNKNOWN_STATUSES: Final = {
    outcomes.UnknownReason.ANSWER_TIMEOUT: STATUS_GATEWAY_TIMEOUT,
    outcomes.UnknownReason.INTENT_UNKNOWN: STATUS_CONFLICT,
    outcomes.UnknownReason.ATTEMPT_IN_PROGRESS: STATUS_CONFLICT,
    outcomes.UnknownReason.IDEMPOTENCY_KEY_EXPIRED: STATUS_CONFLICT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Problem:
    outcome: str
    reason: str
    step: str
    peer: str
    detail: str


@functools.singledispatch
def create_response(outcome: outcomes.Outcome) -> Response:
    """Return the response that reports an outcome to the caller."""
    raise NotImplementedError(type(outcome).__name__)


@create_response.register
def _(outcome: outcomes.Answered) -> Response:
    headers = (
        *outcome.answer.headers,
        outcomes.Header(OUTCOME_HEADER, "answered"),
        outcomes.Header(SERVER_HEADER, outcome.server),
        outcomes.Header(TRIES_HEADER, str(outcome.tries)),
    )
    return Response(outcome.answer.status, headers, outcome.answer.body)


@create_response.register
def _(outcome: outcomes.Refused) -> Response:
    problem = _Problem(
        "refused_not_run", outcome.reason.value, outcome.step.value, outcome.peer, outcome.detail
    )
    status = REFUSAL_STATUSES.get(outcome.reason, STATUS_UNAVAILABLE)
    headers: tuple[outcomes.Header, ...] = ()
    if outcome.retry_after_s is not None:
        headers = (outcomes.Header("Retry-After", str(math.ceil(outcome.retry_after_s))),)
    return _create_problem_response(status, problem, outcome.tries, headers)


@create_response.register
def _(outcome: outcomes.OutcomeUnknown) -> Response:
    problem = _Problem(
        "unknown", outcome.reason.value, outcome.step.value, outcome.peer, outcome.detail
    )
    status = UNKNOWN_STATUSES.get(outcome.reason, STATUS_BAD_GATEWAY)
    return _create_problem_response(status, problem, outcome.tries, ())


@create_response.register
def _(outcome: outcomes.AlreadyAnswered) -> Response:
    detail = f"status {outcome.status}, body digest {outcome.digest}; the response was not stored"
    step = outcomes.Step.RECORD_INTENT.value
    problem = _Problem("already_answered", "already_answered", step, outcome.server, detail)
    return _create_problem_response(STATUS_CONFLICT, problem, outcome.tries, ())


def _create_problem_response(
    status: int, problem: _Problem, tries: int, headers: tuple[outcomes.Header, ...]
) -> Response:
    common = (
        outcomes.Header("Content-Type", "application/json"),
        outcomes.Header(OUTCOME_HEADER, problem.outcome),
        outcomes.Header(REASON_HEADER, problem.reason),
        outcomes.Header(STEP_HEADER, problem.step),
        outcomes.Header(PEER_HEADER, problem.peer),
        outcomes.Header(TRIES_HEADER, str(tries)),
    )
    return Response(status, common + headers, documents.encode_document(problem).encode())
