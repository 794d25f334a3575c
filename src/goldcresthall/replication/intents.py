"""Replay of intent records.

An intent is accepted only if its idempotency key was issued at or before the offset of
the intent, and not before the horizon below which intents are forgotten. The key of a
forgotten intent was therefore issued before the horizon and can never be accepted
again, whatever offset a caller writes into the key.
"""

from __future__ import annotations

import dataclasses

from goldcresthall.core import intents
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated


@replay.apply.register
def _(record: intents.IntentRecorded, state: replicated.State) -> replay.Decision:
    intent_id = replicated.IntentId(record.service, record.key.text)
    current = state.intents.get(intent_id)
    rejected = _check_key(record.key, state) if current is None else None
    rejected = rejected or _check_attempt(record.attempt, record.digest, current)
    if rejected is not None:
        return rejected
    intent = _create_intent(record, record.record_id, state)
    return _accept(intent_id, intent, state)


@replay.apply.register
def _(record: intents.IntentConcluded, state: replicated.State) -> replay.Decision:
    intent_id = replicated.IntentId(record.service, record.key.text)
    current = state.intents.get(intent_id)
    if current is None or current.record_id != record.intent_id:
        return _record_abandoned_attempt(record, current, state)
    if current.conclusion is not None:
        return replay.Rejected(
            replay.RejectionReason.INTENT_HELD, "the intent is already concluded"
        )
    concluded = dataclasses.replace(
        current,
        conclusion=record.conclusion,
        server=record.server,
        status=record.status,
        answer_digest=record.answer_digest,
        answer=record.answer,
    )
    return _accept(intent_id, concluded, state)


@replay.apply.register
def _(record: intents.IntentsForgotten, state: replicated.State) -> replay.Decision:
    if not state.intents_horizon < record.below <= state.next_offset:
        return replay.Rejected(
            replay.RejectionReason.BASE_OVERTAKEN, f"the horizon is {state.intents_horizon}"
        )
    kept = state.intents.evolver()
    for intent_id, intent in state.intents.items():
        if intent.offset < record.below:
            del kept[intent_id]
    return replay.Accepted(
        dataclasses.replace(state, intents=kept.persistent(), intents_horizon=record.below)
    )


def _record_abandoned_attempt(
    record: intents.IntentConcluded, current: replicated.Intent | None, state: replicated.State
) -> replay.Decision:
    """Record an abandoned attempt as not run before its own intent record is replayed.

    The author gave up the intent while its append was still outstanding. If the append
    takes effect after this record, replay rejects the intent.
    """
    if record.conclusion is not intents.Conclusion.NOT_RUN:
        return replay.Rejected(replay.RejectionReason.INTENT_HELD, "the intent does not exist")
    rejected = _check_key(record.key, state) if current is None else None
    rejected = rejected or _check_attempt(record.attempt, record.digest, current)
    if rejected is not None:
        return rejected
    intent = _create_intent(record, record.intent_id, state)
    concluded = dataclasses.replace(intent, conclusion=record.conclusion)
    return _accept(replicated.IntentId(record.service, record.key.text), concluded, state)


def _check_key(key: intents.IdempotencyKey, state: replicated.State) -> replay.Rejected | None:
    if key.issued_at < state.intents_horizon:
        return replay.Rejected(
            replay.RejectionReason.KEY_EXPIRED, f"the horizon is {state.intents_horizon}"
        )
    if key.issued_at > state.next_offset:
        return replay.Rejected(replay.RejectionReason.KEY_NOT_ISSUED, str(key.issued_at))
    return None


def _check_attempt(
    attempt: int, digest: str, current: replicated.Intent | None
) -> replay.Rejected | None:
    if current is None:
        last = 0
    elif current.digest != digest:
        return replay.Rejected(replay.RejectionReason.KEY_REUSED, f"at offset {current.offset}")
    elif current.conclusion is not intents.Conclusion.NOT_RUN:
        return replay.Rejected(replay.RejectionReason.INTENT_HELD, f"held by {current.holder}")
    else:
        last = current.attempt
    if attempt != last + 1:
        return replay.Rejected(replay.RejectionReason.INTENT_HELD, f"attempt {last} was the last")
    return None


def _create_intent(
    record: intents.IntentRecorded | intents.IntentConcluded,
    record_id: str,
    state: replicated.State,
) -> replicated.Intent:
    return replicated.Intent(
        record_id=record_id,
        holder=record.author,
        offset=state.next_offset,
        attempt=record.attempt,
        digest=record.digest,
    )


def _accept(
    intent_id: replicated.IntentId, intent: replicated.Intent, state: replicated.State
) -> replay.Accepted:
    changed = state.intents.set(intent_id, intent)
    return replay.Accepted(dataclasses.replace(state, intents=changed))
