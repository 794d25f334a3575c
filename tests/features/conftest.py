"""Steps that several features share."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.features import system as systems

if TYPE_CHECKING:
    from goldcresthall_stand_ins import fleet as fleets


@pytest.fixture
def system(fleet: fleets.Fleet) -> systems.SystemHarness:
    """Return the harness of one scenario."""
    return systems.SystemHarness(fleet)


@given("the platform runs")
def _(system: systems.SystemHarness) -> None:
    system.fleet.start_platform()


@given(parsers.parse("{count:d} router instances in failure domains {domains}"))
def _(system: systems.SystemHarness, count: int, domains: str) -> None:
    system.start_routers(count, tuple(domains.split(", ")))


@given(parsers.parse("a keyed service {name} of {count:d} servers"))
def _(system: systems.SystemHarness, name: str, count: int) -> None:
    system.add_service(name, count, keyed=True)


@given(parsers.parse("an unkeyed service {name} of {count:d} servers"))
def _(system: systems.SystemHarness, name: str, count: int) -> None:
    system.add_service(name, count, keyed=False)


@given(parsers.parse("preset {name} is published"))
def _(system: systems.SystemHarness, name: str) -> None:
    assert system.publish(name).outcome == "accepted"


@given(parsers.parse("key {key} of {service} is served"))
@when(parsers.parse("key {key} of {service} is served again"))
@then(parsers.parse("key {key} of {service} is served again"))
def _(system: systems.SystemHarness, key: str, service: str) -> None:
    for index in system.reachable_indexes:
        system.send_until_ok("GET", f"/{service}/items/{key}", index)


@when(
    parsers.parse("the owner of key {key} of {service} is {change}"),
    target_fixture="signaled_server",
)
def _(system: systems.SystemHarness, key: str, service: str, change: str) -> str:
    owner = system.find_owner(service, key)
    signal_number = {"killed": signal.SIGKILL, "frozen": signal.SIGSTOP}[change]
    system.signal_backend(owner, signal_number)
    return owner


@when("that server is resumed")
def _(system: systems.SystemHarness, signaled_server: str) -> None:
    system.signal_backend(signaled_server, signal.SIGCONT)


@then("no partition had two owners")
def _(system: systems.SystemHarness) -> None:
    assert systems.find_ownership_violations(system.read_effects()) == []
