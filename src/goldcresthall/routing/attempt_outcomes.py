"""Conversion of attempts at backend servers to the outcome of the request."""

from __future__ import annotations

import dataclasses
import functools

from goldcresthall.core import attempts
from goldcresthall.core import outcomes


@functools.singledispatch
def create_outcome(attempt: attempts.Attempt, server: str, tries: int) -> outcomes.Outcome:
    """Return the outcome of a request by its latest attempt alone."""
    raise NotImplementedError(type(attempt).__name__)


@create_outcome.register
def _(attempt: attempts.AttemptAnswered, server: str, tries: int) -> outcomes.Outcome:
    return outcomes.Answered(attempt.answer, server, tries)


@create_outcome.register
def _(attempt: attempts.AttemptNotRun, server: str, tries: int) -> outcomes.Outcome:
    return outcomes.Refused(
        attempt.reason,
        attempt.step,
        server,
        attempt.detail,
        retry_after_s=attempt.retry_after_s,
        tries=tries,
    )


@create_outcome.register
def _(attempt: attempts.AttemptUnknown, server: str, tries: int) -> outcomes.Outcome:
    return outcomes.OutcomeUnknown(attempt.reason, attempt.step, server, attempt.detail, tries)


def combine_outcomes(
    earlier: outcomes.Outcome | None, latest: outcomes.Outcome
) -> outcomes.Outcome:
    """Return the outcome of all attempts so far.

    A refusal after an attempt of unknown outcome does not prove that the request was
    not run. The outcome stays unknown until an attempt gets a response.
    """
    if isinstance(earlier, outcomes.OutcomeUnknown) and isinstance(latest, outcomes.Refused):
        return dataclasses.replace(earlier, tries=max(earlier.tries, latest.tries))
    return latest
