"""Tests of the circuits of servers that lost requests, and of the relay of reports on them."""

from __future__ import annotations

import random

import pytest

from goldcresthall.admission import lost_server_relay
from goldcresthall.admission import server_circuits
from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import server_news
from goldcresthall.observability import metrics
from tests.fakes import clock

OWNER = deployment.ServerIncarnation("owner", 1)
WORK_S = 0.1
ANSWERED = attempts.AttemptAnswered(outcomes.Answer(200, (), b""))
TIMED_OUT = attempts.AttemptUnknown(
    outcomes.UnknownReason.ANSWER_TIMEOUT, outcomes.Step.RECEIVE, "timed out"
)
NOT_CONNECTED = attempts.AttemptNotRun(
    outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, "timed out"
)
CLOSED_BEFORE_SENDING = attempts.AttemptNotRun(
    outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.SEND, "reset"
)


class Circuits:
    """The circuits of one instance, with a manual clock."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        built = kernel.Kernel()
        built.register(names.CLOCK, self.clock)
        built.register(names.METRICS, metrics.Metrics())
        self.circuits = server_circuits.ServerCircuits(built, random.Random(1))
        self.circuits.start()

    @property
    def is_open(self) -> bool:
        return self.circuits.find_open(OWNER) is not None

    def record(self, attempt: attempts.Attempt, sent_ago_s: float = 2.0) -> None:
        sent_at_s = self.clock.read_s() - sent_ago_s
        if server_circuits.has_answered(attempt):
            self.circuits.record_answer(OWNER, sent_at_s)
        else:
            self.circuits.record_failure(OWNER, attempt, sent_at_s, WORK_S)

    def apply(self, *ages_s: float) -> None:
        self.circuits.apply_news(tuple(server_news.FullServer(OWNER, age) for age in ages_s))


@pytest.fixture
def circuits() -> Circuits:
    return Circuits()


@pytest.mark.parametrize("evidence", [TIMED_OUT, NOT_CONNECTED])
def test_own_evidence_opens_a_circuit_for_a_second(
    circuits: Circuits, evidence: attempts.Attempt
) -> None:
    assert not circuits.is_open
    circuits.record(evidence)
    assert circuits.is_open
    circuits.clock.advance(0.9)
    assert circuits.is_open
    circuits.clock.advance(0.2)
    assert not circuits.is_open


def test_answer_to_a_later_request_closes_a_circuit(circuits: Circuits) -> None:
    circuits.record(TIMED_OUT, sent_ago_s=1.0)
    circuits.record(ANSWERED, sent_ago_s=1.5)
    assert circuits.is_open
    circuits.record(ANSWERED, sent_ago_s=0.5)
    assert not circuits.is_open


def test_request_lost_before_a_later_one_was_answered_opens_no_circuit(
    circuits: Circuits,
) -> None:
    """One request that hangs would otherwise shut out an owner that serves all others."""
    circuits.record(ANSWERED, sent_ago_s=0.5)
    circuits.record(TIMED_OUT, sent_ago_s=2.0)
    assert not circuits.is_open


def test_wait_shorter_than_slow_work_opens_no_circuit(circuits: Circuits) -> None:
    """A caller with a short deadline would otherwise shut out servers that are only slow."""
    circuits.record(TIMED_OUT, sent_ago_s=3.9 * WORK_S)
    assert not circuits.is_open


def test_kept_connection_that_was_closed_opens_no_circuit(circuits: Circuits) -> None:
    circuits.record(CLOSED_BEFORE_SENDING)
    assert not circuits.is_open


def test_one_instance_with_a_broken_link_does_not_shut_a_server_out(circuits: Circuits) -> None:
    circuits.apply(0.1)
    assert not circuits.is_open
    circuits.apply(0.1, 0.2)
    assert circuits.is_open


def test_reported_circuit_closes_a_second_after_the_second_latest_report(
    circuits: Circuits,
) -> None:
    circuits.apply(0.1, 0.6)
    circuits.clock.advance(0.35)
    assert circuits.is_open
    circuits.clock.advance(0.1)
    assert not circuits.is_open


def test_own_answer_after_the_reports_closes_a_reported_circuit(circuits: Circuits) -> None:
    circuits.apply(0.5, 0.5)
    circuits.record(ANSWERED, sent_ago_s=0.3)
    assert not circuits.is_open


def test_lost_owner_is_expected_back_when_its_lease_has_run_out(circuits: Circuits) -> None:
    circuits.record(NOT_CONNECTED)
    circuits.clock.advance(0.9)
    circuits.record(NOT_CONNECTED)
    circuit = circuits.circuits.find_open(OWNER)
    assert circuit is not None
    remaining_s = circuit.room_at_s - circuits.clock.read_s()
    assert remaining_s == pytest.approx(server_circuits.LOST_OWNER_S - 0.9)


@pytest.mark.parametrize("instances", [2, 83])
def test_probes_of_all_instances_stay_few_but_do_not_end(instances: int) -> None:
    """A server that recovers must be found, without all instances sending to it at once."""
    passed = [0] * 10
    for number in range(instances):
        circuits = Circuits()
        circuits.circuits._generator = random.Random(number)
        for tenth in range(10):
            passed[tenth] += circuits.circuits.try_probe(OWNER, instances)
            circuits.clock.advance(0.1)
    assert 2 <= sum(passed) <= 2 * server_circuits.PROBES_PER_S
    assert max(passed) <= 6


def test_relay_tells_an_instance_what_the_others_saw_within_a_second() -> None:
    relay = lost_server_relay.LostServerRelay()
    row = server_news.FullServer(OWNER, 0.2)
    relay.add("one", (row,), 10.0)
    relay.add("one", (row,), 10.1)
    assert relay.find_for("one", 10.2) == ()
    (known,) = relay.find_for("two", 10.2)
    assert known.age_s == pytest.approx(0.3)
    for name in ("two", "three", "four"):
        relay.add(name, (row,), 10.2)
    assert len(relay.find_for("five", 10.2)) == lost_server_relay.MAX_ROWS_PER_SERVER
    assert relay.find_for("five", 11.1) == ()
