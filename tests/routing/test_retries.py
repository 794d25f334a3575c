"""Tests of retries: safety, budget, backoff and deadline."""

from __future__ import annotations

import dataclasses
import random

import pytest

from goldcresthall.core import outcomes
from goldcresthall.routing import retries
from tests.fakes import backends
from tests.routing import conftest


def test_request_that_was_not_run_is_retried_at_another_server(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy())
    harness.script_attempts(backends.CONNECT_FAILED)
    outcome = harness.handle("POST", "/orders/molde")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 2
    first, second = harness.backends.sent
    assert first.server != second.server
    assert harness.read_metric("goldcresthall_retries_total", reason="connect_failed") == 1


def test_request_sent_again_to_its_owner_is_marked(harness: conftest.RouterHarness) -> None:
    """On a kept connection a copy of its earlier refusal would bear the same id (TWICE)."""
    harness.publish(conftest.create_policy(keyed=True))
    harness.set_owner("program-1")
    harness.script_attempts(backends.SHED)
    assert isinstance(harness.handle("POST", "/orders/molde"), outcomes.Answered)
    assert [dispatch.sent_before for dispatch in harness.backends.sent] == [False, True]


def test_request_sent_to_another_server_is_not_marked(harness: conftest.RouterHarness) -> None:
    harness.publish(conftest.create_policy(count=2))
    harness.script_attempts(backends.SHED)
    harness.handle("POST", "/orders/molde")
    assert [dispatch.sent_before for dispatch in harness.backends.sent] == [False, False]


@pytest.mark.parametrize("attempt", [backends.CONNECTION_LOST, backends.TIMED_OUT])
def test_attempt_of_unknown_outcome_is_retried_only_if_idempotent(
    harness: conftest.RouterHarness, attempt: outcomes.OutcomeUnknown
) -> None:
    harness.publish(conftest.create_policy())
    harness.script_attempts(attempt)
    assert isinstance(harness.handle("POST", "/orders/molde"), outcomes.OutcomeUnknown)
    assert len(harness.backends.sent) == 1
    harness.script_attempts(attempt)
    assert isinstance(harness.handle("GET"), outcomes.Answered)


def test_refusal_after_unknown_attempt_leaves_outcome_unknown(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(count=2))
    harness.script_attempts(backends.CONNECTION_LOST, backends.SHED)
    outcome = harness.handle("GET")
    assert isinstance(outcome, outcomes.OutcomeUnknown)
    assert outcome.tries == 2


def test_retries_stay_within_the_retry_budget(harness: conftest.RouterHarness) -> None:
    policy = dataclasses.replace(conftest.create_policy(), retry_budget=0.25)
    harness.publish(policy)
    harness.backends.on_send = lambda _: backends.CONNECTION_LOST
    requests = 200
    for _ in range(requests):
        harness.handle("GET")
    retried = len(harness.backends.sent) - requests
    assert retried <= retries.BUDGET_BURST_TOKENS + requests * policy.retry_budget
    assert retried >= requests * policy.retry_budget
    denied = harness.read_metric("goldcresthall_retries_denied_total", reason="connection_lost")
    assert denied > 0


def test_zero_retry_budget_forbids_retries(harness: conftest.RouterHarness) -> None:
    harness.publish(dataclasses.replace(conftest.create_policy(), retry_budget=0.0))
    harness.script_attempts(backends.CONNECT_FAILED)
    assert isinstance(harness.handle("GET"), outcomes.Refused)


def test_no_retry_starts_after_the_deadline(harness: conftest.RouterHarness) -> None:
    harness.publish(conftest.create_policy())
    harness.backends.on_send = lambda _: harness.clock.advance(0.3) or backends.CONNECTION_LOST
    began_at_s = harness.clock.read_s()
    outcome = harness.handle("GET", deadline_s=0.5)
    assert isinstance(outcome, outcomes.OutcomeUnknown)
    assert all(dispatch.timeout_s < 0.5 for dispatch in harness.backends.sent)
    assert len(harness.backends.sent) == 2
    assert harness.clock.read_s() - began_at_s < 0.7


def test_retry_at_shedding_owner_waits_for_its_retry_after(harness: conftest.RouterHarness) -> None:
    harness.publish(conftest.create_policy(keyed=True))
    harness.set_owner("program-1")
    harness.script_attempts(backends.SHED)
    assert isinstance(harness.handle("GET"), outcomes.Answered)
    assert harness.replica.waits == [1.0]


def test_shed_request_is_refused_at_once_if_retry_after_exceeds_deadline(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(keyed=True))
    harness.set_owner("program-1")
    harness.script_attempts(backends.SHED)
    outcome = harness.handle("GET", deadline_s=0.5)
    assert isinstance(outcome, outcomes.Refused)
    assert outcome.retry_after_s == 1.0
    assert harness.replica.waits == []


def test_request_for_key_without_owner_waits_for_state_change(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(keyed=True))

    def change(_: float) -> None:
        harness.clock.advance(0.2)
        harness.set_owner("program-2")

    harness.replica.on_wait = change
    outcome = harness.handle("POST", "/orders/molde")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.server == "program-2"
    assert len(harness.replica.waits) == 1


def test_request_for_key_that_gets_no_owner_is_refused_before_deadline(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(keyed=True))
    began_at_s = harness.clock.read_s()
    outcome = harness.handle("GET", deadline_s=0.5)
    assert isinstance(outcome, outcomes.Refused)
    assert outcome.reason is outcomes.RefusalReason.NO_OWNER
    assert harness.clock.read_s() < began_at_s + 0.5
    assert len(harness.replica.waits) == 1


def test_retries_for_moving_key_do_not_consume_retry_budget(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(dataclasses.replace(conftest.create_policy(keyed=True), retry_budget=0.0))
    harness.set_owner("program-1")
    harness.script_attempts(backends.NOT_OWNER, backends.CONNECT_FAILED, backends.NOT_OWNER)
    outcome = harness.handle("POST", "/orders/molde")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 4
    assert harness.replica.waits == sorted(harness.replica.waits)


def test_backoff_is_exponential_capped_and_jittered() -> None:
    generator = random.Random(5)
    delays = [retries.find_backoff_s(number, generator) for number in range(12)]
    assert delays[0] <= retries.INITIAL_BACKOFF_S
    assert max(delays) <= retries.MAX_BACKOFF_S
    assert min(delays[8:]) >= retries.MAX_BACKOFF_S * retries.MIN_JITTER_FACTOR
    assert len(set(delays[8:])) == 4
