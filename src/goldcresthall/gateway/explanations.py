"""Short descriptions of outcomes and attempts for the request log, by type."""

from __future__ import annotations

import dataclasses
import functools

from goldcresthall.core import attempts
from goldcresthall.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """An outcome as written to the request log."""

    outcome: str
    reason: str = ""
    step: str = ""
    peer: str = ""
    detail: str = ""


@functools.singledispatch
def explain(outcome: outcomes.Outcome) -> Explanation:
    """Return the description of an outcome."""
    raise NotImplementedError(type(outcome).__name__)


@explain.register
def _(outcome: outcomes.Answered) -> Explanation:
    return Explanation(f"answered {outcome.answer.status}", peer=outcome.server)


@explain.register
def _(outcome: outcomes.Refused) -> Explanation:
    return Explanation(
        "refused", outcome.reason.value, outcome.step.value, outcome.peer, outcome.detail
    )


@explain.register
def _(outcome: outcomes.OutcomeUnknown) -> Explanation:
    return Explanation(
        "unknown", outcome.reason.value, outcome.step.value, outcome.peer, outcome.detail
    )


@functools.singledispatch
def describe_attempt(attempt: attempts.Attempt) -> str:
    """Return the description of an attempt."""
    raise NotImplementedError(type(attempt).__name__)


@describe_attempt.register
def _(attempt: attempts.AttemptAnswered) -> str:
    return f"answered {attempt.answer.status}"


@describe_attempt.register
def _(attempt: attempts.AttemptNotRun) -> str:
    return f"not run: {attempt.reason.value} at {attempt.step.value}: {attempt.detail}"


@describe_attempt.register
def _(attempt: attempts.AttemptUnknown) -> str:
    return f"unknown: {attempt.reason.value} at {attempt.step.value}: {attempt.detail}"
