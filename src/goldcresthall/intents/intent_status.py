"""How a piece of work stands according to the replicated state."""

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
    """Nobody holds the work; it may run under this attempt number once that is recorded."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """An instance holds the work and has not concluded it."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """The work does not run now, and this is what its caller is told."""

    outcome: outcomes.Outcome


IntentStatus = MayRun | InProgress | Resolved


def find_status(work: keys.DeduplicatedRequest, state: replicated.State) -> IntentStatus:
    """Return how a piece of work stands."""
    held = state.intents.get(replicated.IntentId(work.service, work.key.text))
    if held is None:
        return _judge_first(work, state)
    if held.digest != work.digest:
        return Resolved(_refuse_reuse(held))
    if held.conclusion is None:
        return InProgress(held.holder)
    if held.conclusion is intents.Conclusion.NOT_RUN:
        return MayRun(held.attempt + 1)
    if held.conclusion is intents.Conclusion.UNKNOWN:
        return Resolved(tell_unknown(outcomes.UnknownReason.INTENT_UNKNOWN, held.holder))
    return Resolved(_repeat_answer(held))


def tell_unknown(reason: outcomes.UnknownReason, holder: str) -> outcomes.OutcomeUnknown:
    """Return what a repeat is told of an attempt whose end is not known."""
    detail = "already attempted under this key; it is not run again"
    return outcomes.OutcomeUnknown(reason, outcomes.Step.RECORD_INTENT, holder, detail, tries=0)


def _judge_first(work: keys.DeduplicatedRequest, state: replicated.State) -> IntentStatus:
    if work.key.issued_at < state.intents_horizon:
        return Resolved(_tell_expired(state))
    if work.key.issued_at > state.next_offset:
        detail = "the key's offset was never issued"
        return Resolved(_refuse(outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED, detail))
    return MayRun(1)


def _tell_expired(state: replicated.State) -> outcomes.OutcomeUnknown:
    detail = (
        f"keys issued before offset {state.intents_horizon} are forgotten; this request is not"
        " run, and whether an earlier one under its key was is not known any more"
    )
    return outcomes.OutcomeUnknown(
        outcomes.UnknownReason.IDEMPOTENCY_KEY_EXPIRED,
        outcomes.Step.RECORD_INTENT,
        "",
        detail,
        tries=0,
    )


def _refuse_reuse(held: replicated.Intent) -> outcomes.Refused:
    detail = f"the key names another request, recorded at offset {held.offset}"
    return _refuse(outcomes.RefusalReason.IDEMPOTENCY_KEY_REUSED, detail)


def _refuse(reason: outcomes.RefusalReason, detail: str) -> outcomes.Refused:
    return outcomes.Refused(reason, outcomes.Step.RECORD_INTENT, "", detail)


def _repeat_answer(held: replicated.Intent) -> outcomes.Outcome:
    if held.answer is None:
        return outcomes.AlreadyAnswered(held.status, held.server, held.answer_digest)
    headers = (*held.answer.headers, RECORDED_HEADER)
    body = base64.b64decode(held.answer.body)
    return outcomes.Answered(
        outcomes.Answer(held.answer.status, headers, body), held.server, tries=0
    )
