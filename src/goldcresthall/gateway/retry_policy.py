"""Retry policy: which attempts may be retried, and how long a request waits for a server."""

from __future__ import annotations

import dataclasses
import functools
import math

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.routing import retries

RECHECK_INTERVAL_S = 0.1
MAX_WAIT_FRACTION = 0.7
MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class WaitBudget:
    """Limit on the time that a request waits for a usable owner of its key.

    Attributes
    ----------
    began_at_s
        Clock reading in seconds at which the budget starts.
    available_s
        Seconds from then until attempts must end.
    """

    began_at_s: float
    available_s: float

    def find_remaining_s(self, now_s: float, max_wait_s: float = math.inf) -> float:
        """Return the seconds left to wait; negative once the limit has passed.

        Parameters
        ----------
        max_wait_s
            Seconds from the start of the budget after which no wait helps.
        """
        wait_s = min(MAX_WAIT_FRACTION * self.available_s, max_wait_s)
        return self.began_at_s + wait_s - now_s


@functools.singledispatch
def find_retry_reason(attempt: attempts.Attempt, *, idempotent: bool) -> retries.RetryReason | None:
    """Return the reason to retry an attempt, or `None` if it must not be retried."""
    raise NotImplementedError(type(attempt).__name__)


@find_retry_reason.register
def _(attempt: attempts.AttemptAnswered, *, idempotent: bool) -> retries.RetryReason | None:
    if idempotent and attempt.answer.status >= MIN_SERVER_ERROR_STATUS:
        return outcomes.UnknownReason.SERVER_ERROR
    return None


@find_retry_reason.register
def _(attempt: attempts.AttemptNotRun, *, idempotent: bool) -> retries.RetryReason | None:
    if attempt.reason is outcomes.RefusalReason.DEADLINE_EXPIRED:
        return None
    return attempt.reason


@find_retry_reason.register
def _(attempt: attempts.AttemptUnknown, *, idempotent: bool) -> retries.RetryReason | None:
    if not idempotent or attempt.reason is outcomes.UnknownReason.CALLER_LEFT:
        return None
    return attempt.reason


def was_sent(attempt: attempts.Attempt) -> bool:
    """Return whether the request may have reached a server in an attempt."""
    return not (
        isinstance(attempt, attempts.AttemptNotRun) and attempt.step is outcomes.Step.CONNECT
    )
