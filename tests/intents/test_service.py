"""Tests of the outcome of repeated requests at any instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import outcomes
from goldcresthall.encoding import log_entries
from goldcresthall.replication import state_encoding
from tests.fakes import clock as clocks
from tests.fakes import stepped_replica as replicas
from tests.intents import conftest as doubles

if TYPE_CHECKING:
    from tests.fakes import log as logs

Pair = tuple[doubles.FakeInstance, doubles.FakeInstance]


def fail_on_dispatch() -> outcomes.Outcome:
    pytest.fail("the request was dispatched a second time")


def test_repeat_at_another_instance_gets_the_recorded_response(pair: Pair) -> None:
    first, second = pair
    assert first.run("0.a", doubles.answer) == doubles.answer()
    repeated = second.run("0.a", fail_on_dispatch)
    assert isinstance(repeated, outcomes.Answered)
    assert repeated.answer.body == b"done"


def test_repeat_of_unrecorded_large_response_gets_already_answered(pair: Pair) -> None:
    first, second = pair
    first.run("0.a", lambda: doubles.answer(b"x" * 2_000))
    repeated = second.run("0.a", fail_on_dispatch)
    assert isinstance(repeated, outcomes.AlreadyAnswered)
    assert repeated.status == 201


def test_refused_attempt_may_run_again(pair: Pair) -> None:
    first, second = pair
    assert first.run("0.a", doubles.refuse) == doubles.refuse()
    assert second.run("0.a", doubles.answer) == doubles.answer()


def test_request_with_unknown_outcome_is_not_run_again(pair: Pair) -> None:
    first, second = pair
    first.run("0.a", doubles.lose_response)
    repeated = second.run("0.a", fail_on_dispatch)
    assert isinstance(repeated, outcomes.OutcomeUnknown)
    assert repeated.reason is outcomes.UnknownReason.INTENT_UNKNOWN


def test_repeat_of_an_unconcluded_request_waits_at_most_until_its_deadline(pair: Pair) -> None:
    first, second = pair
    first.writer.is_holding_records = True
    first.run("0.a", doubles.answer)
    repeated = second.run("0.a", fail_on_dispatch)
    assert isinstance(repeated, outcomes.OutcomeUnknown)
    assert repeated.reason is outcomes.UnknownReason.ATTEMPT_IN_PROGRESS
    assert first.clock.read_s() < 1_000 + doubles.DEADLINE_S


def test_key_reused_for_another_request_is_refused(pair: Pair) -> None:
    first, second = pair
    first.run("0.a", doubles.answer)
    refusal = second.run("0.a", fail_on_dispatch, body=b"another order")
    assert isinstance(refusal, outcomes.Refused)
    assert refusal.reason is outcomes.RefusalReason.IDEMPOTENCY_KEY_REUSED


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        ("", outcomes.RefusalReason.IDEMPOTENCY_KEY_MISSING),
        ("order-1", outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED),
        ("7.never issued", outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED),
        ("999.a", outcomes.RefusalReason.IDEMPOTENCY_KEY_MALFORMED),
    ],
)
def test_unusable_key_is_refused(pair: Pair, key: str, reason: outcomes.RefusalReason) -> None:
    refusal = pair[0].run(key, fail_on_dispatch)
    assert isinstance(refusal, outcomes.Refused)
    assert refusal.reason is reason


@pytest.mark.parametrize(
    "behavior",
    [
        replicas.AppendBehavior.REFUSED,
        replicas.AppendBehavior.ANSWER_LOST,
        replicas.AppendBehavior.DELAYED,
    ],
)
def test_unrecorded_intent_is_refused_and_may_run_later(
    pair: Pair, behavior: replicas.AppendBehavior
) -> None:
    first, second = pair
    first.replica.append_behavior = behavior
    refusal = first.run("0.a", fail_on_dispatch)
    assert isinstance(refusal, outcomes.Refused)
    assert refusal.reason is outcomes.RefusalReason.INTENT_NOT_RECORDED
    assert refusal.retry_after_s is not None
    first.replica.append_delayed()
    assert second.run("0.a", doubles.answer) == doubles.answer()


def test_request_with_forgotten_key_is_expired_and_not_run(
    pair: Pair, log: logs.InMemoryLog
) -> None:
    first, second = pair
    first.run("0.a", doubles.answer)
    record = intents.IntentsForgotten(
        record_id=identity.create_record_id(), base=2, author="test", reason="test", below=2
    )
    log.append((log_entries.encode_record(record),))
    for instance in pair:
        instance.replica.catch_up()
        repeated = instance.run("0.a", fail_on_dispatch)
        assert isinstance(repeated, outcomes.OutcomeUnknown)
        assert repeated.reason is outcomes.UnknownReason.IDEMPOTENCY_KEY_EXPIRED
    assert second.run(second.create_key(), doubles.answer) == doubles.answer()


def test_late_conclusion_does_not_release_another_attempt(pair: Pair) -> None:
    first, second = pair
    first.replica.append_behavior = replicas.AppendBehavior.DELAYED
    first.writer.is_holding_records = second.writer.is_holding_records = True
    assert isinstance(first.run("0.a", fail_on_dispatch), outcomes.Refused)
    assert second.run("0.a", doubles.answer) == doubles.answer()
    first.writer.append_held_records()
    first.replica.append_behavior = replicas.AppendBehavior.DONE
    assert isinstance(first.run("0.a", fail_on_dispatch), outcomes.OutcomeUnknown)


def test_replay_rejects_a_key_with_an_offset_not_yet_issued(
    pair: Pair, log: logs.InMemoryLog
) -> None:
    record = intents.IntentRecorded(
        record_id=identity.create_record_id(),
        base=0,
        author="test",
        reason="test",
        service="ordering",
        key=intents.IdempotencyKey(1, "a"),
        digest="",
        attempt=1,
    )
    log.append((log_entries.encode_record(record),))
    pair[0].replica.catch_up()
    assert not pair[0].replica.state.intents


def test_oldest_intents_are_forgotten_beyond_the_limit(log: logs.InMemoryLog) -> None:
    instance = doubles.FakeInstance("router-1", log, clocks.ManualClock(), remembered_limit=8)
    oldest = instance.create_key()
    instance.run(oldest, doubles.answer)
    for _ in range(8):
        newest = instance.create_key()
        instance.run(newest, doubles.answer)
    instance.replica.catch_up()
    instance.service._pruner.propose()
    assert len(instance.replica.state.intents) == 6
    expired, repeated = instance.run(oldest, fail_on_dispatch), instance.run(
        newest, fail_on_dispatch
    )
    instance.stop()
    assert isinstance(expired, outcomes.OutcomeUnknown)
    assert expired.reason is outcomes.UnknownReason.IDEMPOTENCY_KEY_EXPIRED
    assert isinstance(repeated, outcomes.Answered)


def test_intents_survive_a_snapshot(pair: Pair) -> None:
    first, _ = pair
    for key, attempt in (
        ("0.a", doubles.answer),
        ("0.b", doubles.refuse),
        ("0.c", doubles.lose_response),
    ):
        first.run(key, attempt)
    first.replica.catch_up()
    encoded = state_encoding.encode_state(first.replica.state)
    restored = state_encoding.decode_state(encoded.pieces, encoded.state_digest)
    assert restored.intents == first.replica.state.intents
    assert len(restored.intents) == 3
