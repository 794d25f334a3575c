"""When a request may be tried again, and after what pause."""

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

BUDGET_BURST = 10.0
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.5
PAUSE_GROWTH = 2.0
LEAST_JITTER = 0.5

OWNER_REASONS: Final = frozenset(
    {outcomes.RefusalReason.NOT_OWNER, outcomes.RefusalReason.CONNECT_FAILED}
)

RetryReason = outcomes.RefusalReason | outcomes.UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What decides about a retry beside the attempt itself."""

    idempotent: bool
    keyed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Another try is not safe or is of no use."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryFromBudget:
    """Another try is safe and is paid for from the service's retry budget.

    Attributes
    ----------
    retry_after_s
        Seconds for which the same server asked to be left alone.
    """

    reason: RetryReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAtOwner:
    """The key may be moving: try again when the replicated state has changed.

    The server refused before it did any work, or was not there at all, so that
    the budget, which guards servers against repeated work, is not charged.
    """

    reason: RetryReason


RetryRule = NoRetry | RetryFromBudget | RetryAtOwner


@functools.singledispatch
def find_rule(attempt: attempts.Attempt, situation: Situation) -> RetryRule:
    """Return the retry rule that follows from an attempt, by its type.

    An attempt that was not run may always be repeated; one of unknown outcome
    only if the work is idempotent.
    """
    raise NotImplementedError(type(attempt).__name__)


@find_rule.register
def _(attempt: attempts.AttemptAnswered, situation: Situation) -> RetryRule:
    return NoRetry()


@find_rule.register
def _(attempt: attempts.AttemptNotRun, situation: Situation) -> RetryRule:
    if attempt.reason is outcomes.RefusalReason.DEADLINE_EXPIRED:
        return NoRetry()
    if situation.keyed and attempt.reason in OWNER_REASONS:
        return RetryAtOwner(attempt.reason)
    return RetryFromBudget(attempt.reason, attempt.retry_after_s or 0.0)


@find_rule.register
def _(attempt: attempts.AttemptUnknown, situation: Situation) -> RetryRule:
    if not situation.idempotent:
        return NoRetry()
    return RetryFromBudget(attempt.reason)


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """How long to wait before the next try.

    Attributes
    ----------
    ends_on_change
        Whether a change of the replicated state ends the pause at once.
    """

    seconds: float
    ends_on_change: bool


@functools.singledispatch
def find_pause(
    rule: RetryRule, situation: Situation, backoff_s: float, remaining_s: float
) -> Pause | None:
    """Return the pause that a rule asks for, or none if no try can follow it.

    Parameters
    ----------
    backoff_s
        Seconds of the exponential pause.
    remaining_s
        Seconds until the next try would be too late.
    """
    raise NotImplementedError(type(rule).__name__)


@find_pause.register
def _(rule: NoRetry, situation: Situation, backoff_s: float, remaining_s: float) -> Pause | None:
    return None


@find_pause.register
def _(
    rule: RetryFromBudget, situation: Situation, backoff_s: float, remaining_s: float
) -> Pause | None:
    asked_s = rule.retry_after_s if situation.keyed else 0.0
    seconds = max(backoff_s, asked_s)
    return Pause(seconds, ends_on_change=situation.keyed) if seconds < remaining_s else None


@find_pause.register
def _(
    rule: RetryAtOwner, situation: Situation, backoff_s: float, remaining_s: float
) -> Pause | None:
    return Pause(backoff_s, ends_on_change=True) if backoff_s < remaining_s else None


def find_backoff_s(retries: int, generator: random.Random) -> float:
    """Return the pause before the next retry: exponential, bounded and jittered.

    Parameters
    ----------
    retries
        Retries of the same request so far.

    Returns
    -------
    float
        Seconds.
    """
    longest_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * PAUSE_GROWTH**retries)
    return longest_s * generator.uniform(LEAST_JITTER, 1.0)


class RetryBudget:
    """A token bucket filled by first tries and emptied by retries.

    Parameters
    ----------
    burst
        Most tokens that are kept, and the number at the start.
    """

    def __init__(self, burst: float = BUDGET_BURST) -> None:
        self._burst = burst
        self._tokens = burst
        self._lock = threading.Lock()

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def add_first_try(self, fraction: float) -> None:
        """Add the fraction of a retry that one first try earns."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + fraction)

    def take_retry(self, fraction: float) -> bool:
        """Take one retry; return whether there was one. A fraction of zero forbids all."""
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
        """Return the budget of a service; it starts full."""
        budget = self._budgets.get(service)
        return self._budgets.setdefault(service, RetryBudget()) if budget is None else budget
