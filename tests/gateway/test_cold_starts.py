"""Tests of the limits on requests to cold servers, shared by instances without messages."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from goldcresthall.core import deployment
from goldcresthall.core import deployment_settings
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import directory
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.ranges import report_responder
from tests.fakes import clock
from tests.gateway import conftest

LIMITS = deployment_settings.ColdServerLimits(overshoot=1.5, slack=8.0)
RATE_PER_S = 7.2
BOUND = RATE_PER_S * LIMITS.overshoot + LIMITS.slack
STEP_S = 0.25
MAX_TRAVEL_S = 0.2
WARM_UP_S = 10_000.0
SERVER = dataclasses.replace(conftest.create_server("cold"), slow_start_remaining_s=WARM_UP_S)


def create_configuration(rate_per_s: float, version: int = 1) -> deployment.Configuration:
    """Return a configuration in which cold servers bear the given rate."""
    created = conftest.create_configuration(version)
    services = tuple(
        dataclasses.replace(spec, slow_start_s=12.0, cold_requests_per_s=rate_per_s)
        for spec in created.services
    )
    return dataclasses.replace(created, services=services)


class Lessor:
    """The list of instances of a lessor, as followers get it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._reported_at_s: dict[str, float] = {}

    def list_instances(self, reporter: str, now_s: float) -> tuple[str, ...]:
        """Take a report and return the list in the reply."""
        if reporter != self.name:
            self._reported_at_s[reporter] = now_s
        oldest_s = now_s - report_responder.REPORTER_TIMEOUT_S
        present = {name for name, at_s in self._reported_at_s.items() if at_s >= oldest_s}
        return (self.name, *sorted(present))


class Fleet:
    """Instances that send to one cold server as often as they may."""

    def __init__(self, rate_per_s: float = RATE_PER_S, size: int = 40) -> None:
        self.clock = clock.ManualClock()
        self._kernel = kernel.Kernel()
        self._kernel.register(names.CLOCK, self.clock)
        self.directory = directory.Directory(self._kernel)
        self.directory.start()
        self._kernel.register(names.DIRECTORY, self.directory)
        self.directory.configurations.apply(create_configuration(rate_per_s))
        self.directory.apply_full_list((SERVER,))
        self.instances: dict[str, cold_starts.ColdStarts] = {}
        self.lessors: dict[str, Lessor] = {}
        self.cut_off: set[str] = set()
        self.arrived_at_s: list[float] = []
        first = Lessor("instance-0")
        for number in range(size):
            self.start_instance(f"instance-{number}")
            self.lessors[f"instance-{number}"] = first

    def start_instance(self, name: str) -> None:
        """Start an instance, or a new life of it."""
        created = cold_starts.ColdStarts(self._kernel, name, LIMITS)
        created.start()
        self.instances[name] = created

    def advance(self, seconds: float) -> None:
        """Let all instances report and send, step by step."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now_s = self.clock.read_s()
            for name, cold_servers in self.instances.items():
                if name not in self.cut_off:
                    listed = self.lessors[name].list_instances(name, now_s)
                    cold_servers.apply_instances(listed, now_s)
                if cold_servers.try_take(SERVER):
                    travels = (step + len(self.arrived_at_s)) % 2
                    self.arrived_at_s.append(now_s + travels * MAX_TRAVEL_S)

    def find_peak(self) -> int:
        """Return the largest number of requests that arrived within a second."""
        arrived = sorted(self.arrived_at_s)
        return max(
            (sum(start <= at_s < start + 1.0 for at_s in arrived) for start in arrived), default=0
        )


def test_calm_fleet_uses_half_of_the_bound() -> None:
    fleet = Fleet()
    fleet.advance(20.0)
    assert 0.3 * BOUND < fleet.find_peak() <= 0.5 * BOUND


def test_service_without_a_limit_is_not_restricted() -> None:
    """Without `warmup_per_s` nothing may differ from a release that knows no limit."""
    fleet = Fleet(rate_per_s=0.0, size=3)
    cold_servers = fleet.instances["instance-1"]
    assert all(cold_servers.may_send(SERVER) and cold_servers.try_take(SERVER) for _ in range(99))


def test_instance_without_a_current_list_sends_nothing_to_a_cold_server() -> None:
    fleet = Fleet(size=2)
    fleet.advance(6.0)
    fleet.clock.advance(2 * cold_starts.SEND_INTERVAL_S)
    assert not any(created.may_send(SERVER) for created in fleet.instances.values())
    warm = conftest.create_server("warm")
    fleet.directory.apply_full_list((SERVER, warm))
    assert all(created.try_take(warm) for created in fleet.instances.values())


def test_incarnation_that_has_been_replaced_gets_nothing() -> None:
    """It counted as warm, and its successor, which has its address and is cold, got the request."""
    fleet = Fleet(size=1)
    fleet.advance(2 * cold_starts.SETTLING_S)
    earlier = dataclasses.replace(
        SERVER,
        incarnation=dataclasses.replace(SERVER.incarnation, started_ms=0),
        slow_start_remaining_s=0.0,
    )
    assert not fleet.instances["instance-0"].try_take(earlier)
    unlisted = dataclasses.replace(
        SERVER, incarnation=dataclasses.replace(SERVER.incarnation, name="unlisted")
    )
    assert fleet.instances["instance-0"].try_take(unlisted)


def test_look_takes_nothing_and_taking_blocks_the_next_request() -> None:
    fleet = Fleet(size=2)
    fleet.advance(6.0)
    fleet.advance(0.25)
    created = fleet.instances["instance-1"]
    while not created.may_send(SERVER):
        fleet.clock.advance(0.1)
    assert created.may_send(SERVER)
    assert created.try_take(SERVER)
    assert not created.may_send(SERVER)
    assert not created.try_take(SERVER)


def test_bound_below_two_requests_admits_none() -> None:
    """Half of such a bound is less than one request a second."""
    fleet = Fleet(rate_per_s=0.0)
    limits = deployment_settings.ColdServerLimits(overshoot=1.0, slack=0.0)
    created = cold_starts.ColdStarts(fleet._kernel, "instance-0", limits)
    created.start()
    fleet.directory.configurations.apply(create_configuration(1.9, version=2))
    for _ in range(40):
        fleet.clock.advance(STEP_S)
        created.apply_instances(("instance-0",), fleet.clock.read_s())
        assert not created.try_take(SERVER)


@pytest.mark.parametrize("gap_s", [0.0, 0.9, 1.8, 4.0])
def test_restart_of_all_instances_keeps_the_bound(gap_s: float) -> None:
    """A new life knows nothing of the requests that its earlier life sent."""
    fleet = Fleet()
    fleet.advance(8.0)
    for name in fleet.instances:
        fleet.start_instance(name)
    fleet.clock.advance(gap_s)
    fleet.advance(8.0)
    assert fleet.find_peak() <= BOUND


class ColdStartMachine(stateful.RuleBasedStateMachine):
    """Two groups of instances with a lessor each, joins, restarts, cut-offs and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(size=24)
        self.fleet.advance(5.0)
        self.started = len(self.fleet.instances)

    @stateful.rule(quarters=strategies.integers(1, 24))
    def advance(self, quarters: int) -> None:
        self.fleet.advance(quarters * STEP_S)

    @stateful.rule(tenths=strategies.integers(1, 40))
    def suspend_all(self, tenths: int) -> None:
        self.fleet.clock.advance(tenths / 10)

    @stateful.rule(count=strategies.integers(1, 12))
    def join(self, count: int) -> None:
        lessor = next(iter(self.fleet.lessors.values()))
        for _ in range(count):
            name = f"instance-{self.started}"
            self.started += 1
            self.fleet.start_instance(name)
            self.fleet.lessors[name] = lessor

    @stateful.rule(chosen=strategies.integers(1, 7))
    def restart(self, chosen: int) -> None:
        for name in self.list_names(chosen):
            self.fleet.start_instance(name)

    @stateful.rule(chosen=strategies.integers(1, 7), is_cut_off=strategies.booleans())
    def cut_off(self, chosen: int, is_cut_off: bool) -> None:
        for name in self.list_names(chosen):
            self.fleet.cut_off.add(name) if is_cut_off else self.fleet.cut_off.discard(name)

    @stateful.rule(chosen=strategies.integers(2, 5))
    def split(self, chosen: int) -> None:
        """Part of the instances follows another lessor; an earlier second group joins the first."""
        names_in_order = list(self.fleet.instances)
        first = self.fleet.lessors[names_in_order[0]]
        moving = self.list_names(chosen)[1:]
        if moving:
            second = Lessor(moving[0])
            self.fleet.lessors = dict.fromkeys(names_in_order, first)
            self.fleet.lessors.update(dict.fromkeys(moving, second))

    @stateful.rule()
    def replace_lessor(self) -> None:
        names_in_order = list(self.fleet.instances)
        successor = Lessor(names_in_order[-1])
        self.fleet.lessors = dict.fromkeys(names_in_order, successor)

    def list_names(self, chosen: int) -> list[str]:
        """Return each so-many-th instance."""
        return list(self.fleet.instances)[::chosen]

    @stateful.invariant()
    def check_bound(self) -> None:
        assert self.fleet.find_peak() <= BOUND
        oldest_s = self.fleet.clock.read_s() - 2.0
        self.fleet.arrived_at_s = [at_s for at_s in self.fleet.arrived_at_s if at_s >= oldest_s]


TestColdStartMachine = ColdStartMachine.TestCase
TestColdStartMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=25, deadline=None
)


def test_new_lessor_breaks_the_bound_without_the_time_to_settle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A successor's first lists are short, and each instance on them would send."""
    monkeypatch.setattr(cold_starts, "SETTLING_S", 0.0)
    fleet = Fleet()
    fleet.advance(5.0)
    successor = Lessor("instance-1")
    fleet.lessors = dict.fromkeys(fleet.instances, successor)
    fleet.advance(2.0)
    assert fleet.find_peak() > BOUND
