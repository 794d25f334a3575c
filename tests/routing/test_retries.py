"""Tests of retries: which are safe, within what budget and until when."""

from __future__ import annotations

import dataclasses
import random

import pytest

from goldcresthall.core import outcomes
from goldcresthall.routing import retries
from tests.fakes import backends
from tests.routing import conftest


def test_work_that_was_not_run_is_tried_at_another_server(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy())
    bench.script(backends.CONNECT_FAILED)
    outcome = bench.handle("POST", "/orders/molde")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 2
    first, second = bench.backends.sent
    assert first.server != second.server
    assert bench.read_metric("goldcresthall_retries_total", reason="connect_failed") == 1


@pytest.mark.parametrize("attempt", [backends.LOST, backends.TIMED_OUT])
def test_unknown_work_is_repeated_only_if_idempotent(
    bench: conftest.RouterBench, attempt: outcomes.OutcomeUnknown
) -> None:
    bench.publish(conftest.create_policy())
    bench.script(attempt)
    assert isinstance(bench.handle("POST", "/orders/molde"), outcomes.OutcomeUnknown)
    assert len(bench.backends.sent) == 1
    bench.script(attempt)
    assert isinstance(bench.handle("GET"), outcomes.Answered)


def test_refusal_after_an_unknown_try_is_not_called_not_run(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(count=2))
    bench.script(backends.LOST, backends.SHED)
    outcome = bench.handle("GET")
    assert isinstance(outcome, outcomes.OutcomeUnknown)
    assert outcome.tries == 2


def test_retries_stay_within_the_budget(bench: conftest.RouterBench) -> None:
    policy = dataclasses.replace(conftest.create_policy(), retry_budget=0.25)
    bench.publish(policy)
    bench.backends.on_send = lambda _: backends.LOST
    requests = 200
    for _ in range(requests):
        bench.handle("GET")
    retried = len(bench.backends.sent) - requests
    assert retried <= retries.BUDGET_BURST + requests * policy.retry_budget
    assert retried >= requests * policy.retry_budget
    denied = bench.read_metric("goldcresthall_retries_denied_total", reason="connection_lost")
    assert denied > 0


def test_budget_of_zero_forbids_retries(bench: conftest.RouterBench) -> None:
    bench.publish(dataclasses.replace(conftest.create_policy(), retry_budget=0.0))
    bench.script(backends.CONNECT_FAILED)
    assert isinstance(bench.handle("GET"), outcomes.Refused)


def test_no_retry_begins_past_the_deadline(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy())
    bench.backends.on_send = lambda _: bench.clock.advance(0.3) or backends.LOST
    began_at_s = bench.clock.read_s()
    outcome = bench.handle("GET", deadline_s=0.5)
    assert isinstance(outcome, outcomes.OutcomeUnknown)
    assert all(dispatch.timeout_s < 0.5 for dispatch in bench.backends.sent)
    assert len(bench.backends.sent) == 2
    assert bench.clock.read_s() - began_at_s < 0.7


def test_owner_that_sheds_is_left_alone_as_long_as_it_asks(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(keyed=True))
    bench.give_ownership("program-1")
    bench.script(backends.SHED)
    assert isinstance(bench.handle("GET"), outcomes.Answered)
    assert bench.replica.waits == [1.0]


def test_shed_work_that_cannot_wait_is_refused_at_once(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(keyed=True))
    bench.give_ownership("program-1")
    bench.script(backends.SHED)
    outcome = bench.handle("GET", deadline_s=0.5)
    assert isinstance(outcome, outcomes.Refused)
    assert outcome.retry_after_s == 1.0
    assert bench.replica.waits == []


def test_key_without_owner_waits_for_the_change_itself(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(keyed=True))

    def change(_: float) -> None:
        bench.clock.advance(0.2)
        bench.give_ownership("program-2")

    bench.replica.on_wait = change
    outcome = bench.handle("POST", "/orders/molde")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.server == "program-2"
    assert len(bench.replica.waits) == 1


def test_key_that_gets_no_owner_is_refused_before_its_deadline(
    bench: conftest.RouterBench,
) -> None:
    bench.publish(conftest.create_policy(keyed=True))
    began_at_s = bench.clock.read_s()
    outcome = bench.handle("GET", deadline_s=0.5)
    assert isinstance(outcome, outcomes.Refused)
    assert outcome.reason is outcomes.RefusalReason.NO_OWNER
    assert bench.clock.read_s() < began_at_s + 0.5
    assert len(bench.replica.waits) == 1


def test_moving_key_does_not_use_up_the_budget(bench: conftest.RouterBench) -> None:
    bench.publish(dataclasses.replace(conftest.create_policy(keyed=True), retry_budget=0.0))
    bench.give_ownership("program-1")
    bench.script(backends.NOT_OWNER, backends.CONNECT_FAILED, backends.NOT_OWNER)
    outcome = bench.handle("POST", "/orders/molde")
    assert isinstance(outcome, outcomes.Answered)
    assert outcome.tries == 4
    assert bench.replica.waits == sorted(bench.replica.waits)


def test_backoff_grows_and_is_bounded_and_jittered() -> None:
    generator = random.Random(5)
    pauses = [retries.find_backoff_s(number, generator) for number in range(12)]
    assert pauses[0] <= retries.FIRST_PAUSE_S
    assert max(pauses) <= retries.LONGEST_PAUSE_S
    assert min(pauses[8:]) >= retries.LONGEST_PAUSE_S * retries.LEAST_JITTER
    assert len(set(pauses[8:])) == 4
