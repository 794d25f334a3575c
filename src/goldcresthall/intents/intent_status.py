"""Status of a non-idempotent request according to the replicated state."""

from __future__ import annotations

import base64
import dataclasses
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import intents
from goldcresthall.core import outcomes
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from goldcresthall.intents import keys

RECORDED_HEADER: Final = outcomes.Header("Goldcresthall-Recorded", "true")


@dataclasses.dataclass(frozen=True, slots=True)
class MayRun:
    """No attempt is active; the request may run as this attempt once that is recorded."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """An instance has recorded an intent that has no conclusion yet."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """The request must not run; the caller gets this outcome."""

    outcome: outcomes.Outcome


IntentStatus = MayRun | InProgress | Resolved


def find_status(request: keys.DeduplicatedRequest, state: replicated.State) -> IntentStatus:
    """Return the status of a request by the intent recorded for its key, if any."""
    intent = state.intents.get(replicated.IntentId(request.service, request.key.text))
    if intent is None:
        return _find_first_status(request, state)
    if intent.digest != request.digest:
        return Resolved(_create_reuse_refusal(intent))
    if intent.conclusion is None:
        return InProgress(intent.holder)
    if intent.conclusion is intents.Conclusion.NOT_RUN:
        return MayRun(intent.attempt + 1)
    if intent.conclusion is intents.Conclusion.UNKNOWN:
        return Resolved(
            create_unknown_outcome(outcomes.UnknownReason.INTENT_UNKNOWN, intent.holder)
        )
    return Resolved(_create_repeated_answer(intent))


def create_unknown_outcome(reason: outcomes.UnknownReason, holder: str) -> outcomes.OutcomeUnknown:
    """Return the outcome of a repeat whose earlier attempt has no known result."""
    detail = "a request with this key was already attempted; it is not run again"
    return outcomes.OutcomeUnknown(reason, outcomes.Step.RECORD_INTENT, holder, detail, tries=0)


def _find_first_status(request: keys.DeduplicatedRequest, state: replicated.State) -> IntentStatus:
    if request.key.issued_at < state.intents_horizon:
        return Resolved(_create_expired_outcome(state))
    if request.key.issued_at > state.next_offset:
        detail = "the offset of the key has not been issued yet"
        return Resolved(_create_refusal(outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED, detail))
    return MayRun(1)


def _create_expired_outcome(state: replicated.State) -> outcomes.OutcomeUnknown:
    detail = (
        f"keys issued before offset {state.intents_horizon} have expired; this request is not run,"
        " and whether an earlier request with its key ran is unknown"
    )
    return outcomes.OutcomeUnknown(
        outcomes.UnknownReason.IDEMPOTENCY_KEY_EXPIRED,
        outcomes.Step.RECORD_INTENT,
        "",
        detail,
        tries=0,
    )


def _create_reuse_refusal(intent: replicated.Intent) -> outcomes.Refused:
    detail = f"the key identifies another request, recorded at offset {intent.offset}"
    return _create_refusal(outcomes.RefusalReason.IDEMPOTENCY_KEY_REUSED, detail)


def _create_refusal(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(reason, outcomes.Step.RECORD_INTENT, "", detail)


def _create_repeated_answer(intent: replicated.Intent) -> outcomes.Outcome:
    if intent.answer is None:
        return outcomes.AlreadyAnswered(intent.status, intent.server, intent.answer_digest)
    headers = (*intent.answer.headers, RECORDED_HEADER)
    body = base64.b64decode(intent.answer.body)
    return outcomes.Answered(
        outcomes.Answer(intent.answer.status, headers, body), intent.server, tries=0
    )
