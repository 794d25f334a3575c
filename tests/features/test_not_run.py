"""Scenarios and steps of not_run.feature."""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import itertools
import json
import signal
import time
from typing import TYPE_CHECKING

import pytest_bdd
import urllib3
from goldcresthall_stand_ins import backend
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

if TYPE_CHECKING:
    from tests.features import system as systems

pytest_bdd.scenarios("not_run.feature")

ORDER_COUNT = 60
CALLER_COUNT = 24
DEADLINE_MS = "800"
EVENT_TIMEOUT_S = 60.0
order_numbers = itertools.count()


def send_order(system: systems.SystemHarness, number: int) -> None:
    """Send one order; ignore a connection that fails before the response."""
    headers = {"Idempotency-Key": f"0.{number}", "Goldcresthall-Deadline-Ms": DEADLINE_MS}
    index = number % len(system.fleet.routers)
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        system.send(
            "POST", f"/ordering/items/{number}?work_ms=20", index, headers=headers, body=b"order"
        )


def submit_orders(
    system: systems.SystemHarness, executor: concurrent.futures.Executor
) -> list[concurrent.futures.Future[None]]:
    """Submit the next orders to an executor."""
    return [executor.submit(send_order, system, next(order_numbers)) for _ in range(ORDER_COUNT)]


def list_request_ids(system: systems.SystemHarness, outcome: str) -> set[str]:
    """Return the identifiers of the requests that got an outcome."""
    return {
        exchange.headers["Goldcresthall-Request-Id"]
        for exchange in system.exchanges
        if exchange.headers["Goldcresthall-Outcome"] == outcome
    }


def count_effects(system: systems.SystemHarness) -> collections.Counter[str]:
    """Return the number of effects by request identifier."""
    return collections.Counter(effect.request_id for effect in system.read_effects())


@when("orders are sent through all instances")
def _(system: systems.SystemHarness) -> None:
    with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as executor:
        futures = submit_orders(system, executor)
    for future in futures:
        future.result()


@when("an instance is killed while orders are sent")
def _(system: systems.SystemHarness) -> None:
    with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as executor:
        futures = submit_orders(system, executor)
        concurrent.futures.wait(futures, return_when=concurrent.futures.FIRST_COMPLETED)
        system.signal_router("router-1", signal.SIGKILL)
    for future in futures:
        future.result()


@when(parsers.re(r"server (?P<name>\S+) (?P<change>is killed|freezes|sheds all requests)"))
def _(system: systems.SystemHarness, name: str, change: str) -> None:
    signals = {"is killed": signal.SIGKILL, "freezes": signal.SIGSTOP}
    if change in signals:
        system.signal_backend(name, signals[change])
        return
    (config,) = system.backends[name].configs
    system.fleet.inject_backend_faults(config, backend.BackendFaults(shed=True))


@when(parsers.parse("server {name} resumes and runs the requests it had received"))
def _(system: systems.SystemHarness, name: str) -> None:
    resumed_at_s = time.monotonic()
    system.signal_backend(name, signal.SIGCONT)
    while not _has_run_since(system, name, resumed_at_s):
        assert time.monotonic() < resumed_at_s + EVENT_TIMEOUT_S


def _has_run_since(system: systems.SystemHarness, name: str, at_s: float) -> bool:
    return any(effect.server == name and effect.at_s > at_s for effect in system.read_effects())


@then("no order reported as not run has an effect")
def _(system: systems.SystemHarness) -> None:
    assert not list_request_ids(system, "refused_not_run") & set(count_effects(system))


@then("every order reported as answered has one effect")
def _(system: systems.SystemHarness) -> None:
    counts = count_effects(system)
    answered = [exchange for exchange in system.exchanges if exchange.status == 200]
    assert {counts[json.loads(exchange.body)["request_id"]] for exchange in answered} == {1}


@then("some orders were reported as not run, some as answered and some as unknown")
def _(system: systems.SystemHarness) -> None:
    for outcome in ("refused_not_run", "answered", "unknown"):
        assert list_request_ids(system, outcome), outcome
