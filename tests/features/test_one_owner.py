"""Scenarios and steps of one_owner.feature."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import signal
import time
from typing import TYPE_CHECKING

import pytest_bdd
from goldcresthall_stand_ins import platform
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from goldcresthall.admin import messages
from tests.features import system as systems

if TYPE_CHECKING:
    import pytest

pytest_bdd.scenarios("one_owner.feature")

STATUS_OK = 200
MS_PER_S = 1_000
POLL_INTERVAL_S = 0.05


def explain(system: systems.SystemHarness, service: str, key: str) -> messages.KeyView:
    path = f"/explain?service={service}&key={key}"
    return system.create_admin_client(system.reachable_indexes[0]).fetch(path, messages.KeyView)


def find_lessor(system: systems.SystemHarness, service: str, key: str) -> str:
    return explain(system, service, key).lessor.partition("/")[0]


@given(parsers.parse("a lessor's authority lasts {seconds:d} seconds"))
def _(system: systems.SystemHarness, seconds: int) -> None:
    system.leases = dataclasses.replace(system.leases, authority_s=seconds)


@when(
    parsers.parse("{count:d} requests for key {key} of {service} are in flight"),
    target_fixture="in_flight",
)
def _(
    system: systems.SystemHarness,
    request: pytest.FixtureRequest,
    count: int,
    key: str,
    service: str,
) -> list[concurrent.futures.Future[systems.Exchange]]:
    executor = concurrent.futures.ThreadPoolExecutor(count)
    request.addfinalizer(executor.shutdown)
    path = f"/{service}/items/{key}"
    return [executor.submit(system.send, "GET", path) for _ in range(count)]


@then("the requests in flight get responses")
def _(in_flight: list[concurrent.futures.Future[systems.Exchange]]) -> None:
    statuses = {future.result().status for future in in_flight}
    assert statuses <= {STATUS_OK, 503, 504}


@when(parsers.parse("the log responds {delay_ms:d} ms late"))
def _(system: systems.SystemHarness, delay_ms: int) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=delay_ms))


@when(
    parsers.parse("the lessor of key {key} of {service} is {change}"), target_fixture="old_lessor"
)
def _(system: systems.SystemHarness, key: str, service: str, change: str) -> str:
    lessor = find_lessor(system, service, key)
    signal_lessor(system, lessor, change)
    return lessor


@when("that lessor is resumed")
def _(system: systems.SystemHarness, old_lessor: str) -> None:
    system.signal_router(old_lessor, signal.SIGCONT)
    system.excluded.discard(old_lessor)


@when(parsers.parse("the owner of key {key} of {service} and its lessor are killed"))
def _(system: systems.SystemHarness, key: str, service: str) -> None:
    view = explain(system, service, key)
    system.signal_backend(view.owner, signal.SIGKILL)
    signal_lessor(system, view.lessor.partition("/")[0], "killed")


@when(
    parsers.parse(
        "the log is down for {seconds:d} seconds while key {key} of {service} is requested"
    ),
    target_fixture="during_outage",
)
def _(
    system: systems.SystemHarness, seconds: int, key: str, service: str
) -> list[systems.Exchange]:
    system.fleet.inject_platform_faults(platform.PlatformFaults(down=True))
    deadline_s = time.monotonic() + seconds
    exchanges = []
    while time.monotonic() < deadline_s:
        exchanges.append(send_in_turn(system, f"/{service}/items/{key}", len(exchanges)))
        time.sleep(POLL_INTERVAL_S)
    system.fleet.inject_platform_faults(platform.PlatformFaults())
    return exchanges


@then("every request during the outage succeeded")
def _(during_outage: list[systems.Exchange]) -> None:
    assert {exchange.status for exchange in during_outage} == {STATUS_OK}


@given(parsers.parse("the owner of key {key} of {service} is recorded"), target_fixture="recorded")
def _(system: systems.SystemHarness, key: str, service: str) -> messages.KeyView:
    return explain(system, service, key)


@then(parsers.parse("key {key} of {service} still has the recorded owner"))
def _(system: systems.SystemHarness, recorded: messages.KeyView, key: str, service: str) -> None:
    view = explain(system, service, key)
    assert (view.owner, view.epoch) == (recorded.owner, recorded.epoch)


@then(parsers.parse("key {key} of {service} has another lessor"))
def _(system: systems.SystemHarness, old_lessor: str, key: str, service: str) -> None:
    deadline_s = time.monotonic() + systems.EVENT_TIMEOUT_S
    while find_lessor(system, service, key) == old_lessor:
        assert time.monotonic() < deadline_s
        time.sleep(POLL_INTERVAL_S)


def signal_lessor(system: systems.SystemHarness, lessor: str, change: str) -> None:
    if change == "frozen":
        # Send requests only to the other instances, as a load balancer does.
        system.excluded.add(lessor)
        system.signal_router(lessor, signal.SIGSTOP)
    else:
        system.signal_router(lessor, signal.SIGKILL)


def send_in_turn(system: systems.SystemHarness, path: str, number: int) -> systems.Exchange:
    """Send the request with this number to one instance after the other."""
    return system.send("GET", path, number % len(system.fleet.routers))
