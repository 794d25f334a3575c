"""Scenarios and steps of deadlines.feature."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest_bdd
from goldcresthall_stand_ins import backend
from goldcresthall_stand_ins import fleet as fleets
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

if TYPE_CHECKING:
    from tests.features import system as systems

pytest_bdd.scenarios("deadlines.feature")

DRIP_INTERVAL_MS = 2_000.0
DEADLINE_HEADER = "Goldcresthall-Deadline-Ms"


@given(parsers.parse("page {page} of {service} is served"))
def _(system: systems.SystemHarness, page: str, service: str) -> None:
    system.send_until_ok("GET", f"/{service}/pages/{page}")


@when(
    parsers.parse("server {server} sends its responses byte by byte for longer than any deadline")
)
def _(system: systems.SystemHarness, server: str) -> None:
    faults = backend.BackendFaults(drip_ms=DRIP_INTERVAL_MS)
    system.fleet.inject_backend_faults(system.backends[server].configs[0], faults)


@when(parsers.parse("server {server} is frozen"))
def _(system: systems.SystemHarness, server: str) -> None:
    system.signal_backend(server, signal.SIGSTOP)


@then(
    parsers.parse(
        "page {page} of {service} with deadline {deadline} ms gets outcome unknown"
        " with reason {reason}"
    )
)
def _(system: systems.SystemHarness, page: str, service: str, deadline: str, reason: str) -> None:
    exchange = system.send("GET", f"/{service}/pages/{page}", headers={DEADLINE_HEADER: deadline})
    assert exchange.headers["Goldcresthall-Outcome"] == "unknown"
    assert exchange.headers["Goldcresthall-Reason"] == reason


@then(parsers.parse("{count:d} pages of {service} with deadline {deadline} ms are all served"))
def _(system: systems.SystemHarness, count: int, service: str, deadline: str) -> None:
    headers = {DEADLINE_HEADER: deadline}
    for number in range(count):
        exchange = system.send("GET", f"/{service}/pages/{number}", headers=headers)
        assert exchange.status == fleets.STATUS_OK
