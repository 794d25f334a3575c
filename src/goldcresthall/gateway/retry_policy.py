"""Retry policy: which attempts may be retried, and how long a request waits for a server."""

from __future__ import annotations

import functools

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.routing import retries

RECHECK_INTERVAL_S = 0.1
MAX_WAIT_FRACTION = 0.7
# A usual move of a range takes 0.1 to 0.3 s, some 0.5 s. A lost owner's range is free
# only after seconds, and the time of a request that is held and then refused is a cost to its
# caller.
MOVE_WAIT_S = 0.6
MAX_WAIT_TARGET_FRACTION = 0.75
MIN_WAIT_S = 0.001


class WaitBudget:
    """Limit on the time that a request waits for a usable owner of its key.

    Only the waits count, not the attempts between them.

    Parameters
    ----------
    available_s
        Seconds from now until attempts must end.
    target_latency_s
        Latency target of the request's route in seconds.
    """

    def __init__(self, available_s: float, target_latency_s: float) -> None:
        self._move_s = min(MOVE_WAIT_S, MAX_WAIT_TARGET_FRACTION * target_latency_s)
        self._available_s = MAX_WAIT_FRACTION * available_s
        self._spent_s = 0.0

    def find_left_s(self, max_wait_s: float | None = None) -> float:
        """Return the seconds left to wait; 0 once the limit has passed.

        Parameters
        ----------
        max_wait_s
            Seconds after which no wait helps, counted over all waits; `None` for the time of a
            usual move.
        """
        useful_s = self._move_s if max_wait_s is None else max_wait_s
        left_s = min(self._available_s, useful_s) - self._spent_s
        return left_s if left_s >= MIN_WAIT_S else 0.0

    def spend(self, waited_s: float) -> None:
        """Count a wait."""
        self._spent_s += waited_s


@functools.singledispatch
def find_retry_reason(attempt: attempts.Attempt, *, idempotent: bool) -> retries.RetryReason | None:
    """Return the reason to retry an attempt, or `None` if it must not be retried."""
    raise NotImplementedError(type(attempt).__name__)


@find_retry_reason.register
def _(attempt: attempts.AttemptAnswered, *, idempotent: bool) -> retries.RetryReason | None:
    if idempotent and attempt.answer.is_server_error:
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
    if not isinstance(attempt, attempts.AttemptNotRun):
        return True
    return (
        attempt.step is not outcomes.Step.CONNECT
        and attempt.reason is not outcomes.RefusalReason.CONNECT_FAILED
    )
