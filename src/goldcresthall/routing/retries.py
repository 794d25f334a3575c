"""Retry rules, exponential backoff and retry budgets."""

from __future__ import annotations

import dataclasses
import functools
import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import attempts
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    import random

BUDGET_BURST_TOKENS = 10.0
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5
BACKOFF_FACTOR = 2.0
MIN_JITTER_FACTOR = 0.5

OWNER_CHANGE_REASONS: Final = frozenset(
    {outcomes.RefusalReason.NOT_OWNER, outcomes.RefusalReason.CONNECT_FAILED}
)

RetryReason = outcomes.RefusalReason | outcomes.UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class RetryContext:
    """Properties of the request that decide about a retry along with the attempt's result."""

    idempotent: bool
    keyed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """A retry is unsafe or useless."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryFromBudget:
    """A retry is safe and consumes a token of the service's retry budget.

    Attributes
    ----------
    retry_after_s
        Seconds that the server asked clients to wait before they retry.
    """

    reason: RetryReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfterOwnerChange:
    """The key may be moving: retry after the replicated state has changed.

    The server refused the request before it did any work, or could not be reached.
    Such a retry consumes no token, since the budget protects servers from repeated
    work.
    """

    reason: RetryReason


RetryDecision = NoRetry | RetryFromBudget | RetryAfterOwnerChange


@functools.singledispatch
def decide_retry(attempt: attempts.Attempt, context: RetryContext) -> RetryDecision:
    """Decide whether and how to retry after an attempt, by the type of its result.

    An attempt that was not run can always be retried; one of unknown outcome only if
    the request is idempotent.
    """
    raise NotImplementedError(type(attempt).__name__)


@decide_retry.register
def _(attempt: attempts.AttemptAnswered, context: RetryContext) -> RetryDecision:
    return NoRetry()


@decide_retry.register
def _(attempt: attempts.AttemptNotRun, context: RetryContext) -> RetryDecision:
    if attempt.reason is outcomes.RefusalReason.DEADLINE_EXPIRED:
        return NoRetry()
    if context.keyed and attempt.reason in OWNER_CHANGE_REASONS:
        return RetryAfterOwnerChange(attempt.reason)
    return RetryFromBudget(attempt.reason, attempt.retry_after_s or 0.0)


@decide_retry.register
def _(attempt: attempts.AttemptUnknown, context: RetryContext) -> RetryDecision:
    if not context.idempotent:
        return NoRetry()
    return RetryFromBudget(attempt.reason)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDelay:
    """Delay before the next attempt.

    Attributes
    ----------
    ends_on_change
        Whether a change of the replicated state ends the delay early.
    """

    seconds: float
    ends_on_change: bool


@functools.singledispatch
def find_retry_delay(
    decision: RetryDecision, context: RetryContext, backoff_s: float, remaining_s: float
) -> RetryDelay | None:
    """Return the delay before a retry, or `None` if it would exceed the deadline.

    Parameters
    ----------
    backoff_s
        Exponential backoff in seconds.
    remaining_s
        Seconds until the deadline of the request.
    """
    raise NotImplementedError(type(decision).__name__)


@find_retry_delay.register
def _(
    decision: NoRetry, context: RetryContext, backoff_s: float, remaining_s: float
) -> RetryDelay | None:
    return None


@find_retry_delay.register
def _(
    decision: RetryFromBudget, context: RetryContext, backoff_s: float, remaining_s: float
) -> RetryDelay | None:
    requested_s = decision.retry_after_s if context.keyed else 0.0
    seconds = max(backoff_s, requested_s)
    return RetryDelay(seconds, ends_on_change=context.keyed) if seconds < remaining_s else None


@find_retry_delay.register
def _(
    decision: RetryAfterOwnerChange, context: RetryContext, backoff_s: float, remaining_s: float
) -> RetryDelay | None:
    return RetryDelay(backoff_s, ends_on_change=True) if backoff_s < remaining_s else None


def find_backoff_s(retries: int, generator: random.Random) -> float:
    """Return the backoff before the next retry: exponential, capped and jittered.

    Parameters
    ----------
    retries
        Retries of the same request so far.

    Returns
    -------
    float
        Seconds.
    """
    max_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * BACKOFF_FACTOR**retries)
    return max_s * generator.uniform(MIN_JITTER_FACTOR, 1.0)


class RetryBudget:
    """A token bucket to which first attempts add and from which retries take.

    Parameters
    ----------
    burst
        Capacity of the bucket in tokens; it starts full.
    """

    def __init__(self, burst: float = BUDGET_BURST_TOKENS) -> None:
        self._burst = burst
        self._tokens = burst
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """Number of tokens; a retry takes one."""
        return self._tokens

    def deposit(self, fraction: float) -> None:
        """Add a fraction of a token for a first attempt."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + fraction)

    def withdraw(self, fraction: float) -> bool:
        """Take a token; return whether there was one. A fraction of zero forbids all retries."""
        with self._lock:
            if fraction <= 0 or self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class RetryBudgets:
    """The retry budgets of all services of an instance."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def find(self, service: str) -> RetryBudget:
        """Return the budget of a service; create a full one on first use."""
        budget = self._budgets.get(service)
        return self._budgets.setdefault(service, RetryBudget()) if budget is None else budget
