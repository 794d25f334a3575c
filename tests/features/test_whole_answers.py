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

CALLERS = 48
CALLERS_A_ROUND = 1_000
STATUS_OK = 200
numbers = itertools.count()


def ask(system: systems.RunningSystem, number: int) -> systems.Sent:
    """Ask for a page of one's own and check that the answer is whole and one's own."""
    body = f"caller {number}".encode() * (number % 50 + 1)
    path = f"/pages/{number}"
    index = number % len(system.fleet.routers)
    sent = system.send("GET", f"/program{path}", index, body=body)
    if sent.headers["Goldcresthall-Outcome"] == "answered":
        content = json.loads(sent.body)
        assert content["path"] == path
        assert content["request_id"] == sent.headers["Goldcresthall-Request-Id"]
        assert content["body_digest"] == hashlib.blake2b(body, digest_size=8).hexdigest()
    return sent


@given("instances are reached")
def _(system: systems.RunningSystem) -> None:
    for index in range(len(system.fleet.routers)):
        system.send_until_answered("GET", "/program/pages/0", index)


@when("1000 callers ask at the same time")
def _(system: systems.RunningSystem) -> None:
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
        asked = itertools.islice(numbers, CALLERS_A_ROUND)
        list(executor.map(lambda number: ask(system, number), asked))


@when(parsers.parse("server {name} {fault}"))
def _(system: systems.RunningSystem, name: str, fault: str) -> None:
    misbehavior = {
        "truncates its answers": backend.BackendMisbehavior(truncate=True),
        "answers under another request's identifier": backend.BackendMisbehavior(
            wrong_request_id=True
        ),
    }[fault]
    (config,) = system.backends[name].configs
    system.fleet.misbehave_backend(config, misbehavior)


@then("every answer is whole and its caller's own")
def _(system: systems.RunningSystem) -> None:
    told = {sent.headers["Goldcresthall-Outcome"] for sent in system.sent}
    assert told <= {"answered", "unknown", "refused_not_run"}
    for sent in system.sent:
        assert len(sent.body) == int(sent.headers["Content-Length"])


@then(parsers.parse("only server {name} answered at the end"))
def _(system: systems.RunningSystem, name: str) -> None:
    latest = [sent for sent in system.sent if int(sent.path.rpartition("/")[2]) >= CALLERS_A_ROUND]
    assert {sent.server for sent in latest if sent.status == STATUS_OK} == {name}
