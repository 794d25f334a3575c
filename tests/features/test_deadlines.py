"""Scenarios of deadlines.feature."""

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

DRIP_MS = 2_000.0
DEADLINE_HEADER = "Goldcresthall-Deadline-Ms"


@given(parsers.parse("page {page} of {service} is served"))
def _(system: systems.RunningSystem, page: str, service: str) -> None:
    system.send_until_answered("GET", f"/{service}/pages/{page}")


@when(parsers.parse("server {server} drips its answers for longer than any deadline"))
def _(system: systems.RunningSystem, server: str) -> None:
    misbehavior = backend.BackendMisbehavior(drip_ms=DRIP_MS)
    system.fleet.misbehave_backend(system.backends[server].configs[0], misbehavior)


@when(parsers.parse("server {server} is frozen"))
def _(system: systems.RunningSystem, server: str) -> None:
    system.signal_backend(server, signal.SIGSTOP)


@then(
    parsers.parse(
        "page {page} of {service} within {deadline} ms is answered as unknown by {reason}"
    )
)
def _(system: systems.RunningSystem, page: str, service: str, deadline: str, reason: str) -> None:
    sent = system.send("GET", f"/{service}/pages/{page}", headers={DEADLINE_HEADER: deadline})
    assert sent.headers["Goldcresthall-Outcome"] == "unknown"
    assert sent.headers["Goldcresthall-Reason"] == reason


@then(parsers.parse("{count:d} pages of {service} are all served within {deadline} ms"))
def _(system: systems.RunningSystem, count: int, service: str, deadline: str) -> None:
    headers = {DEADLINE_HEADER: deadline}
    for number in range(count):
        sent = system.send("GET", f"/{service}/pages/{number}", headers=headers)
        assert sent.status == fleets.STATUS_OK
