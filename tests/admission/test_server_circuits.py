"""Tests of the circuits of servers that lost requests, and of the relay of reports on them."""

from __future__ import annotations

import random

import pytest

from goldcresthall.admission import lost_server_relay
from goldcresthall.admission import probe_schedule
from goldcresthall.admission import server_circuits
from goldcresthall.core import attempts
from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import server_reports
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
        self.circuits.record_attempt(OWNER, attempt, sent_at_s, WORK_S)

    def apply(self, *ages_s: float) -> None:
        self.circuits.apply_reports(tuple(server_reports.LostServer(OWNER, age) for age in ages_s))


@pytest.fixture
def circuits() -> Circuits:
    return Circuits()


@pytest.mark.parametrize(("evidence", "count"), [(TIMED_OUT, 1), (NOT_CONNECTED, 2)])
def test_own_evidence_opens_a_circuit_for_a_second(
    circuits: Circuits, evidence: attempts.Attempt, count: int
) -> None:
    """One connect that took over 0.3 s shut an owner out for a second."""
    for _ in range(count):
        assert not circuits.is_open
        circuits.record(evidence, sent_ago_s=0.9)
        circuits.clock.advance(0.9)
    circuits.clock.advance(-0.9)
    assert circuits.is_open
    circuits.clock.advance(0.9)
    assert circuits.is_open
    circuits.clock.advance(0.2)
    assert not circuits.is_open


def test_connects_that_fail_at_the_same_time_open_no_circuit(circuits: Circuits) -> None:
    """They have one cause, such as a busy moment of this instance."""
    circuits.record(NOT_CONNECTED, sent_ago_s=0.3)
    circuits.record(NOT_CONNECTED, sent_ago_s=0.29)
    assert not circuits.is_open


def test_answer_between_two_failed_connects_keeps_a_circuit_closed(circuits: Circuits) -> None:
    circuits.record(NOT_CONNECTED, sent_ago_s=0.3)
    circuits.clock.advance(0.5)
    circuits.record(ANSWERED, sent_ago_s=0.2)
    circuits.record(NOT_CONNECTED, sent_ago_s=0.1)
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


@pytest.mark.parametrize("has_failed_connect", [False, True])
def test_one_instance_with_a_broken_link_does_not_shut_a_server_out(
    circuits: Circuits, *, has_failed_connect: bool
) -> None:
    """Its repeated reports must not count as those of several instances."""
    relay = lost_server_relay.LostServerRelay()

    def report(name: str, failure_domain: str) -> None:
        row = server_reports.LostServer(OWNER, 0.0, has_failed_connect, failure_domain)
        circuits.clock.advance(0.1)
        relay.add(name, (row,), circuits.clock.read_s())
        circuits.circuits.apply_reports(relay.find_for("receiver", circuits.clock.read_s()))

    for _ in range(20):
        report("one", "north")
        report("one", "north")
        report("receiver", "south")
        assert not circuits.is_open
    report("two", "south")
    assert circuits.is_open


def test_failed_connects_of_one_failure_domain_are_not_relayed() -> None:
    """Instances that were cut off made all others refuse 22 in 100 requests of sound owners."""
    relay = lost_server_relay.LostServerRelay()
    row = server_reports.LostServer(OWNER, 0.0, True, "north")
    for number in range(19):
        relay.add(f"cut-{number}", (row,), 10.0)
    assert relay.find_for("receiver", 10.0) == ()
    relay.add("south", (server_reports.LostServer(OWNER, 0.0, True, "south"),), 10.2)
    rows = relay.find_for("receiver", 10.2)
    assert len(rows) == server_circuits.MIN_REPORTERS


def test_lost_requests_of_one_failure_domain_are_relayed_beside_failed_connects() -> None:
    relay = lost_server_relay.LostServerRelay()
    relay.add("a", (server_reports.LostServer(OWNER, 0.0, False, "north"),), 10.0)
    relay.add("b", (server_reports.LostServer(OWNER, 0.0, False, "north"),), 10.0)
    for number in range(9):
        relay.add(f"c{number}", (server_reports.LostServer(OWNER, 0.0, True, "north"),), 10.0)
    rows = relay.find_for("receiver", 10.0)
    assert [row.has_failed_connect for row in rows] == [False, False]


def test_own_answer_of_the_last_three_seconds_overrides_reports(circuits: Circuits) -> None:
    """A link that works says more of an owner than the broken links of others."""
    circuits.record(ANSWERED, sent_ago_s=0.1)
    circuits.clock.advance(2.9)
    circuits.apply(0.1, 0.1)
    assert not circuits.is_open
    circuits.clock.advance(0.2)
    assert circuits.is_open


def test_own_failure_after_an_answer_lets_reports_count(circuits: Circuits) -> None:
    circuits.record(ANSWERED, sent_ago_s=0.5)
    circuits.record(NOT_CONNECTED, sent_ago_s=0.3)
    assert not circuits.is_open
    circuits.apply(0.1, 0.1)
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
    circuits.record(NOT_CONNECTED, sent_ago_s=0.3)
    circuits.clock.advance(0.9)
    circuits.record(NOT_CONNECTED, sent_ago_s=0.3)
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
        circuits.circuits._schedule._generator = random.Random(number)
        for tenth in range(10):
            passed[tenth] += circuits.circuits.try_probe(OWNER, instances)
            circuits.clock.advance(0.1)
    assert 2 <= sum(passed) <= 2 * probe_schedule.PROBES_PER_S
    assert max(passed) <= 6


def test_first_probe_after_own_evidence_passes_at_once(circuits: Circuits) -> None:
    """It was drawn in the future, so that the next request for the owner was refused."""
    circuits.record(TIMED_OUT)
    assert circuits.circuits.try_probe(OWNER, 83)
    assert not circuits.circuits.try_probe(OWNER, 83)


def test_relay_tells_an_instance_what_the_others_saw_within_a_second() -> None:
    relay = lost_server_relay.LostServerRelay()
    row = server_reports.LostServer(OWNER, 0.2)
    relay.add("one", (row,), 10.0)
    relay.add("one", (row,), 10.1)
    assert relay.find_for("one", 10.2) == ()
    (known,) = relay.find_for("two", 10.2)
    assert known.age_s == pytest.approx(0.3)
    for name in ("two", "three", "four"):
        relay.add(name, (row,), 10.2)
    assert len(relay.find_for("five", 10.3)) == lost_server_relay.MAX_ROWS_PER_SERVER
    assert relay.find_for("five", 11.1) == ()


def test_relay_keeps_few_rows_of_a_server_and_sorts_them_at_intervals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """25 lost servers and 58 instances cost the lessor 1.3 ms for each report."""
    relay = lost_server_relay.LostServerRelay()
    servers = [deployment.ServerIncarnation(f"server-{number}", 1) for number in range(25)]
    rows = tuple(server_reports.LostServer(server, 0.0) for server in servers)
    for number in range(58):
        relay.add(f"instance-{number}", rows, 10.0)
    kept = [len(seen) for seen in relay._kept.values()]
    assert kept == [lost_server_relay.MAX_KEPT_PER_SERVER] * 25
    chosen: list[int] = []
    choose = lost_server_relay._choose
    monkeypatch.setattr(lost_server_relay, "_choose", lambda seen: chosen.append(1) or choose(seen))
    for number in range(58):
        assert len(relay.find_for(f"instance-{number}", 10.05)) == 50
    assert len(chosen) == 25
