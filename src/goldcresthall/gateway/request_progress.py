"""Progress of one request: the attempts made and the outcome that they add up to."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import outcomes
from goldcresthall.gateway import explanations
from goldcresthall.gateway import retry_policy
from goldcresthall.routing import attempt_outcomes

if TYPE_CHECKING:
    from goldcresthall.core import attempts


MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProgress:
    """The attempts made for a request so far.

    Attributes
    ----------
    sent
        Number of attempts that may have reached a server.
    attempt_descriptions
        One text for each attempt: the server and the result.
    list_ages_ms
        Age of the server list in milliseconds as each attempt began.
    """

    sent: int = 0
    tried: frozenset[str] = frozenset()
    outcome: outcomes.Outcome | None = None
    attempt_descriptions: tuple[str, ...] = ()
    list_ages_ms: tuple[int, ...] = ()


NO_ATTEMPTS: Final = RequestProgress()


def record_attempt(
    progress: RequestProgress, server: str, attempt: attempts.Attempt, list_age_s: float = 0.0
) -> RequestProgress:
    """Return the progress after one more attempt at a server.

    Parameters
    ----------
    list_age_s
        Age of the server list in seconds as the attempt began.
    """
    tries = len(progress.attempt_descriptions) + 1
    latest = attempt_outcomes.create_outcome(attempt, server, tries)
    return RequestProgress(
        sent=progress.sent + retry_policy.was_sent(attempt),
        tried=progress.tried | {server},
        outcome=attempt_outcomes.combine_outcomes(progress.outcome, latest),
        attempt_descriptions=(
            *progress.attempt_descriptions,
            f"{server} {explanations.describe_attempt(attempt)}",
        ),
        list_ages_ms=(*progress.list_ages_ms, int(list_age_s * MS_PER_S)),
    )


def apply_refusal(progress: RequestProgress, refused: outcomes.Refused) -> RequestProgress:
    """Return the progress that ends with a refusal; an answer of a server goes before it."""
    outcome = (
        attempt_outcomes.combine_outcomes(progress.outcome, refused)
        if progress.outcome
        else refused
    )
    if isinstance(progress.outcome, outcomes.Answered):
        outcome = progress.outcome
    return dataclasses.replace(progress, outcome=outcome)


def apply_cancellation(progress: RequestProgress) -> RequestProgress:
    """Return the progress that ends because the caller disconnected."""
    unknown = outcomes.OutcomeUnknown(
        outcomes.UnknownReason.CALLER_LEFT, outcomes.Step.RECEIVE, "caller"
    )
    return dataclasses.replace(progress, outcome=unknown)
