"""Tests of the choice among servers that could all do the work."""

from __future__ import annotations

import collections
import dataclasses

import pytest

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.routing import observations
from goldcresthall.routing import server_tracks
from tests.fakes import backends
from tests.routing import conftest

REQUESTS = 300
SLOW_S = 0.05
FAST_S = 0.002


def answer_with(
    bench: conftest.RouterBench, signals: attempts.ServerSignals, slow: str = ""
) -> None:
    def answer(dispatch: attempts.Dispatch) -> attempts.Attempt:
        is_slow = dispatch.server.name == slow
        bench.clock.advance(SLOW_S if is_slow else FAST_S)
        told = signals if is_slow else attempts.NO_SIGNALS
        return attempts.AttemptAnswered(backends.ANSWERED.answer, told)

    bench.backends.on_send = answer


def count_sent(bench: conftest.RouterBench) -> collections.Counter[str]:
    return collections.Counter(dispatch.server.name for dispatch in bench.backends.sent)


def send_many(bench: conftest.RouterBench, count: int = REQUESTS) -> collections.Counter[str]:
    bench.backends.sent.clear()
    for _ in range(count):
        bench.handle()
    return count_sent(bench)


def warm_up(bench: conftest.RouterBench) -> None:
    bench.handle()
    bench.clock.advance(server_tracks.SLOW_START_S)


def test_slow_server_gets_little_work(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(4))
    answer_with(bench, attempts.NO_SIGNALS, slow="program-1")
    sent = send_many(bench)
    assert sent["program-1"] < REQUESTS / 20


def test_flattering_load_report_does_not_outweigh_what_is_seen(
    bench: conftest.RouterBench,
) -> None:
    bench.publish(conftest.create_policy(4))
    answer_with(bench, attempts.ServerSignals(load=0.0), slow="program-1")
    sent = send_many(bench)
    assert sent["program-1"] < REQUESTS / 20


def test_reported_load_counts_less_with_age(bench: conftest.RouterBench) -> None:
    bench.observations.note_signals("program-1", attempts.ServerSignals(load=8.0))
    loads = []
    for _ in range(3):
        loads.append(bench.observations.observe("program-1").foreign_load)
        bench.clock.advance(server_tracks.LOAD_AGE_SCALE_S)
    assert loads[0] == pytest.approx(8.0)
    assert loads[0] > 2 * loads[1] > 4 * loads[2] > 0


def test_server_with_an_old_try_in_progress_is_avoided(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(4))
    answer_with(bench, attempts.NO_SIGNALS)
    warm_up(bench)
    answer_with(bench, attempts.NO_SIGNALS, slow="program-2")
    send_many(bench)
    before = send_many(bench)["program-1"]
    bench.observations.begin("program-1", preset.RequestClass.SHORT)
    bench.clock.advance(1.0)
    assert before > REQUESTS / 8
    assert send_many(bench)["program-1"] == 0


def test_failing_server_is_ejected_and_returns_by_one_probe(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(4))
    warm_up(bench)
    failing = {"program-1"}

    def answer(dispatch: attempts.Dispatch) -> attempts.Attempt:
        bench.clock.advance(FAST_S)
        is_failing = dispatch.server.name in failing
        return backends.CONNECT_FAILED if is_failing else backends.ANSWERED

    bench.backends.on_send = answer
    sent = send_many(bench)
    assert sent["program-1"] == observations.FAILURES_TO_EJECT
    assert bench.observations.count_ejected() == 1
    bench.clock.advance(server_tracks.FIRST_EJECTION_S)
    assert send_many(bench, 50)["program-1"] == 1
    bench.clock.advance(server_tracks.FIRST_EJECTION_S)
    assert send_many(bench, 50)["program-1"] == 0
    failing.clear()
    bench.clock.advance(server_tracks.FIRST_EJECTION_S)
    returned = send_many(bench)["program-1"]
    assert 0 < returned < REQUESTS / 8
    bench.clock.advance(server_tracks.SLOW_START_S)
    assert send_many(bench)["program-1"] > REQUESTS / 8


def test_server_on_trial_after_ejection_gets_no_second_request(
    bench: conftest.RouterBench,
) -> None:
    bench.publish(conftest.create_policy(4))
    warm_up(bench)
    policy = conftest.create_policy(4)
    for _ in range(observations.FAILURES_TO_EJECT):
        trial = bench.observations.begin("program-1", preset.RequestClass.SHORT)
        bench.observations.finish(trial, policy, backends.TIMED_OUT)
    bench.clock.advance(server_tracks.FIRST_EJECTION_S)
    bench.observations.begin("program-1", preset.RequestClass.LONG)
    assert send_many(bench)["program-1"] == 0


def test_no_more_than_the_cap_is_ejected(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(4))
    bench.backends.on_send = lambda _: backends.LOST
    send_many(bench)
    assert bench.observations.count_ejected() == 2


def test_new_server_starts_slowly(bench: conftest.RouterBench) -> None:
    bench.publish(conftest.create_policy(3))
    answer_with(bench, attempts.NO_SIGNALS)
    warm_up(bench)
    bench.publish(conftest.create_policy(4))
    sent = send_many(bench)
    assert 0 < sent["program-4"] < REQUESTS / 8


def mark_in_preset(bench: conftest.RouterBench) -> None:
    policy = conftest.create_policy(3)
    first = dataclasses.replace(policy.servers[0], draining=True)
    bench.publish(dataclasses.replace(policy, servers=(first, *policy.servers[1:])))


def mark_in_list(bench: conftest.RouterBench) -> None:
    bench.instances.list_leaving_server("program-1")


def mark_in_answers(bench: conftest.RouterBench) -> None:
    bench.observations.note_signals("program-1", attempts.ServerSignals(draining=True))


def refuse_as_draining(bench: conftest.RouterBench) -> None:
    refusal = attempts.AttemptNotRun(
        outcomes.RefusalReason.SERVER_DRAINING, outcomes.Step.EXECUTE, "draining"
    )
    trial = bench.observations.begin("program-1", preset.RequestClass.SHORT)
    bench.observations.finish(trial, conftest.create_policy(3), refusal)


@pytest.mark.parametrize(
    "mark", [mark_in_preset, mark_in_list, mark_in_answers, refuse_as_draining]
)
def test_draining_server_gets_no_new_work(
    bench: conftest.RouterBench, mark: conftest.BenchAction
) -> None:
    bench.publish(conftest.create_policy(3))
    answer_with(bench, attempts.NO_SIGNALS)
    assert send_many(bench)["program-1"] > 0
    mark(bench)
    assert send_many(bench)["program-1"] == 0


def test_what_is_known_of_a_server_goes_with_it(bench: conftest.RouterBench) -> None:
    bench.observations.note_signals("program-1", attempts.ServerSignals(load=8.0))
    bench.observations.adopt(frozenset({"program-2"}))
    assert bench.observations.observe("program-1").foreign_load == 0
