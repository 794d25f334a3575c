"""Tests of server selection, ejection, slow start and draining."""

from __future__ import annotations

import collections
import dataclasses

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.routing import observations
from goldcresthall.routing import server_stats
from tests.fakes import backends
from tests.routing import conftest

REQUEST_COUNT = 300
SLOW_RESPONSE_S = 0.05
FAST_RESPONSE_S = 0.002


def respond_with(
    harness: conftest.RouterHarness, signals: attempts.ServerSignals, slow: str = ""
) -> None:
    def respond(dispatch: attempts.Dispatch) -> attempts.Attempt:
        is_slow = dispatch.server.name == slow
        harness.clock.advance(SLOW_RESPONSE_S if is_slow else FAST_RESPONSE_S)
        sent_signals = signals if is_slow else attempts.NO_SIGNALS
        return attempts.AttemptAnswered(backends.ANSWERED.answer, sent_signals)

    harness.backends.on_send = respond


def count_sent(harness: conftest.RouterHarness) -> collections.Counter[str]:
    return collections.Counter(dispatch.server.name for dispatch in harness.backends.sent)


def send_many(
    harness: conftest.RouterHarness, count: int = REQUEST_COUNT
) -> collections.Counter[str]:
    harness.backends.sent.clear()
    for _ in range(count):
        harness.handle()
    return count_sent(harness)


def warm_up(harness: conftest.RouterHarness) -> None:
    harness.handle()
    harness.clock.advance(server_stats.SLOW_START_S)


def test_slow_server_gets_few_requests(harness: conftest.RouterHarness) -> None:
    harness.publish(conftest.create_policy(4))
    respond_with(harness, attempts.NO_SIGNALS, slow="program-1")
    sent = send_many(harness)
    assert sent["program-1"] < REQUEST_COUNT / 20


def test_zero_load_report_does_not_override_measured_latency(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(4))
    respond_with(harness, attempts.ServerSignals(load=0.0), slow="program-1")
    sent = send_many(harness)
    assert sent["program-1"] < REQUEST_COUNT / 20


def test_reported_load_decays_with_age(harness: conftest.RouterHarness) -> None:
    harness.observations.record_signals("program-1", attempts.ServerSignals(load=8.0))
    loads = []
    for _ in range(3):
        loads.append(harness.observations.observe("program-1").external_load)
        harness.clock.advance(server_stats.LOAD_DECAY_TIME_S)
    assert loads[0] == pytest.approx(8.0)
    assert loads[0] > 2 * loads[1] > 4 * loads[2] > 0


def test_server_with_long_running_attempt_is_avoided(harness: conftest.RouterHarness) -> None:
    harness.publish(conftest.create_policy(4))
    respond_with(harness, attempts.NO_SIGNALS)
    warm_up(harness)
    respond_with(harness, attempts.NO_SIGNALS, slow="program-2")
    send_many(harness)
    sent_before = send_many(harness)["program-1"]
    harness.observations.start_attempt("program-1", preset.RequestClass.SHORT)
    harness.clock.advance(1.0)
    assert sent_before > REQUEST_COUNT / 8
    assert send_many(harness)["program-1"] == 0


def test_failing_server_is_ejected_and_readmitted_after_one_successful_request(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(4))
    warm_up(harness)
    failing = {"program-1"}

    def respond(dispatch: attempts.Dispatch) -> attempts.Attempt:
        harness.clock.advance(FAST_RESPONSE_S)
        is_failing = dispatch.server.name in failing
        return backends.CONNECT_FAILED if is_failing else backends.ANSWERED

    harness.backends.on_send = respond
    sent = send_many(harness)
    assert sent["program-1"] == observations.FAILURES_TO_EJECT
    assert harness.observations.count_ejected() == 1
    harness.clock.advance(server_stats.INITIAL_EJECTION_S)
    assert send_many(harness, 50)["program-1"] == 1
    harness.clock.advance(server_stats.INITIAL_EJECTION_S)
    assert send_many(harness, 50)["program-1"] == 0
    failing.clear()
    harness.clock.advance(server_stats.INITIAL_EJECTION_S)
    returned = send_many(harness)["program-1"]
    assert 0 < returned < REQUEST_COUNT / 8
    harness.clock.advance(server_stats.SLOW_START_S)
    assert send_many(harness)["program-1"] > REQUEST_COUNT / 8


def test_half_open_server_gets_no_second_concurrent_request(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(4))
    warm_up(harness)
    policy = conftest.create_policy(4)
    for _ in range(observations.FAILURES_TO_EJECT):
        in_flight = harness.observations.start_attempt("program-1", preset.RequestClass.SHORT)
        harness.observations.finish_attempt(in_flight, policy, backends.TIMED_OUT)
    harness.clock.advance(server_stats.INITIAL_EJECTION_S)
    harness.observations.start_attempt("program-1", preset.RequestClass.LONG)
    assert send_many(harness)["program-1"] == 0


def test_ejection_stops_at_the_maximum_fraction(
    harness: conftest.RouterHarness,
) -> None:
    harness.publish(conftest.create_policy(4))
    harness.backends.on_send = lambda _: backends.CONNECTION_LOST
    send_many(harness)
    assert harness.observations.count_ejected() == 2


def test_new_server_is_in_slow_start(harness: conftest.RouterHarness) -> None:
    harness.publish(conftest.create_policy(3))
    respond_with(harness, attempts.NO_SIGNALS)
    warm_up(harness)
    harness.publish(conftest.create_policy(4))
    sent = send_many(harness)
    assert 0 < sent["program-4"] < REQUEST_COUNT / 8


def mark_in_preset(harness: conftest.RouterHarness) -> None:
    policy = conftest.create_policy(3)
    first = dataclasses.replace(policy.servers[0], draining=True)
    harness.publish(dataclasses.replace(policy, servers=(first, *policy.servers[1:])))


def mark_in_list(harness: conftest.RouterHarness) -> None:
    harness.instances.list_leaving_server("program-1")


def mark_in_responses(harness: conftest.RouterHarness) -> None:
    harness.observations.record_signals("program-1", attempts.ServerSignals(draining=True))


def refuse_as_draining(harness: conftest.RouterHarness) -> None:
    refusal = attempts.AttemptNotRun(
        outcomes.RefusalReason.SERVER_DRAINING, outcomes.Step.EXECUTE, "draining"
    )
    in_flight = harness.observations.start_attempt("program-1", preset.RequestClass.SHORT)
    harness.observations.finish_attempt(in_flight, conftest.create_policy(3), refusal)


@pytest.mark.parametrize(
    "mark", [mark_in_preset, mark_in_list, mark_in_responses, refuse_as_draining]
)
def test_draining_server_gets_no_new_requests(
    harness: conftest.RouterHarness, mark: conftest.HarnessAction
) -> None:
    harness.publish(conftest.create_policy(3))
    respond_with(harness, attempts.NO_SIGNALS)
    assert send_many(harness)["program-1"] > 0
    mark(harness)
    assert send_many(harness)["program-1"] == 0


def test_statistics_of_a_removed_server_are_discarded(harness: conftest.RouterHarness) -> None:
    harness.observations.record_signals("program-1", attempts.ServerSignals(load=8.0))
    harness.observations.track_servers(frozenset({"program-2"}))
    assert harness.observations.observe("program-1").external_load == 0
