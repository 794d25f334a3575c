"""Scenarios of whole_answers.feature."""

from __future__ import annotations

import concurrent.futures
import hashlib
import itertools
import json
from typing import TYPE_CHECKING

import pytest_bdd
from goldcresthall_stand_ins import backend
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

if TYPE_CHECKING:
    from tests.features import system as systems

pytest_bdd.scenarios("whole_answers.feature")

CALLER_COUNT = 48
REQUESTS_PER_ROUND = 1_000
STATUS_OK = 200
numbers = itertools.count()


def request_page(system: systems.SystemHarness, number: int) -> systems.Exchange:
    """Ask for a page of one's own and check that the answer is whole and one's own."""
    body = f"caller {number}".encode() * (number % 50 + 1)
    path = f"/pages/{number}"
    index = number % len(system.fleet.routers)
    exchange = system.send("GET", f"/program{path}", index, body=body)
    if exchange.headers["Goldcresthall-Outcome"] == "answered":
        content = json.loads(exchange.body)
        assert content["path"] == path
        assert content["request_id"] == exchange.headers["Goldcresthall-Request-Id"]
        assert content["body_digest"] == hashlib.blake2b(body, digest_size=8).hexdigest()
    return exchange


@given("instances are reached")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        system.send_until_answered("GET", "/program/pages/0", index)


@when("1000 callers ask at the same time")
def _(system: systems.SystemHarness) -> None:
    with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as executor:
        asked = itertools.islice(numbers, REQUESTS_PER_ROUND)
        list(executor.map(lambda number: request_page(system, number), asked))


@when(parsers.parse("server {name} {fault}"))
def _(system: systems.SystemHarness, name: str, fault: str) -> None:
    faults = {
        "truncates its answers": backend.BackendFaults(truncate=True),
        "answers under another request's identifier": backend.BackendFaults(wrong_request_id=True),
    }[fault]
    (config,) = system.backends[name].configs
    system.fleet.inject_backend_faults(config, faults)


@then("every answer is whole and its caller's own")
def _(system: systems.SystemHarness) -> None:
    told = {exchange.headers["Goldcresthall-Outcome"] for exchange in system.exchanges}
    assert told <= {"answered", "unknown", "refused_not_run"}
    for exchange in system.exchanges:
        assert len(exchange.body) == int(exchange.headers["Content-Length"])


@then(parsers.parse("only server {name} answered at the end"))
def _(system: systems.SystemHarness, name: str) -> None:
    latest = [
        exchange
        for exchange in system.exchanges
        if int(exchange.path.rpartition("/")[2]) >= REQUESTS_PER_ROUND
    ]
    assert {exchange.server for exchange in latest if exchange.status == STATUS_OK} == {name}
