"""Scenarios and steps of whole_answers.feature."""

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
request_numbers = itertools.count()


def request_page(system: systems.SystemHarness, number: int) -> systems.Exchange:
    """Request a page with a distinct body and check that an answered response matches it."""
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


@given("every instance serves requests")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        system.send_until_ok("GET", "/program/pages/0", index)


@when("1000 requests are sent concurrently")
def _(system: systems.SystemHarness) -> None:
    with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as executor:
        numbers = itertools.islice(request_numbers, REQUESTS_PER_ROUND)
        list(executor.map(lambda number: request_page(system, number), numbers))


@when(parsers.parse("server {name} {fault}"))
def _(system: systems.SystemHarness, name: str, fault: str) -> None:
    faults = {
        "truncates its responses": backend.BackendFaults(truncate=True),
        "responds with another request's identifier": backend.BackendFaults(wrong_request_id=True),
    }[fault]
    (config,) = system.backends[name].configs
    system.fleet.inject_backend_faults(config, faults)


@then("every response is complete and matches its request")
def _(system: systems.SystemHarness) -> None:
    # `request_page` compares each answered response with its request.
    outcomes = {exchange.headers["Goldcresthall-Outcome"] for exchange in system.exchanges}
    assert outcomes <= {"answered", "unknown", "refused_not_run"}
    for exchange in system.exchanges:
        assert len(exchange.body) == int(exchange.headers["Content-Length"])


@then(parsers.parse("only server {name} answered the second round"))
def _(system: systems.SystemHarness, name: str) -> None:
    second_round = [
        exchange
        for exchange in system.exchanges
        if int(exchange.path.rpartition("/")[2]) >= REQUESTS_PER_ROUND
    ]
    assert {exchange.server for exchange in second_round if exchange.status == STATUS_OK} == {name}
