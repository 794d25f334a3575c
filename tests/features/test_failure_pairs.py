"""Scenarios and steps of failure_pairs.feature: load runs through two concurrent failures."""

from __future__ import annotations

import collections
import json
import threading
from typing import TYPE_CHECKING

import pytest
import pytest_bdd
import urllib3
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.features import failures
from tests.features import system as systems

if TYPE_CHECKING:
    from collections.abc import Iterator

pytest_bdd.scenarios("failure_pairs.feature")

CALLER_COUNT = 6
KEY_COUNT = 12


class CallerGroup:
    """Callers that read and order through all instances until they are stopped.

    Each order is sent twice, through two instances if there are that many.
    """

    def __init__(self, system: systems.SystemHarness) -> None:
        self._system = system
        self._stopping = threading.Event()
        self._finished = threading.Condition()
        self._finished_count = 0
        self.orders: dict[str, list[systems.Exchange]] = collections.defaultdict(list)
        self.reads: list[systems.Exchange] = []
        self._threads = [
            threading.Thread(target=self._call, args=(number,), daemon=True)
            for number in range(CALLER_COUNT)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all callers once each has finished its current request."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(systems.EVENT_TIMEOUT_S)
            assert not thread.is_alive()

    def wait_for_more(self, count: int) -> None:
        """Wait until a number of further requests have finished."""
        with self._finished:
            target = self._finished_count + count
            assert self._finished.wait_for(
                lambda: self._finished_count >= target, systems.EVENT_TIMEOUT_S
            )

    def _call(self, number: int) -> None:
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            router_index = (number + sequence) % 3
            path = f"/archive/items/key-{sequence % KEY_COUNT}"
            if sequence % 2:
                self._order(path, f"0.{number}-{sequence}", router_index)
            else:
                self._read(path, router_index)
            with self._finished:
                self._finished_count += 1
                self._finished.notify_all()

    def _order(self, path: str, idempotency_key: str, router_index: int) -> None:
        headers = {"Idempotency-Key": idempotency_key}
        for attempt in range(2):
            exchange = self._try_send("POST", path, router_index + attempt, headers)
            if exchange is not None:
                self.orders[idempotency_key].append(exchange)

    def _read(self, path: str, router_index: int) -> None:
        exchange = self._try_send("GET", path, router_index, None)
        if exchange is not None:
            self.reads.append(exchange)

    def _try_send(
        self, method: str, path: str, router_index: int, headers: dict[str, str] | None
    ) -> systems.Exchange | None:
        routers = self._system.fleet.routers
        try:
            return self._system.send(
                method,
                path,
                router_index % len(routers),
                headers=headers,
                body=None if method == "GET" else b"{}",
                timeout_s=10.0,
            )
        except urllib3.exceptions.HTTPError:
            return None


@pytest.fixture
def callers(system: systems.SystemHarness) -> Iterator[CallerGroup]:
    group = CallerGroup(system)
    yield group
    group.stop()


@when("callers read and order continuously")
def _(callers: CallerGroup) -> None:
    callers.start()


@when(parsers.parse("two failures chosen by seed {seed:d} begin"), target_fixture="failure_pair")
def _(system: systems.SystemHarness, seed: int) -> tuple[failures.Failure, failures.Failure]:
    pair = failures.choose_pair(system, seed)
    print(f"seed {seed}: {pair}")  # noqa: T201
    for failure in pair:
        failures.inject(failure, system)
    return pair


@when(parsers.parse("{count:d} more requests have finished"))
def _(callers: CallerGroup, count: int) -> None:
    callers.wait_for_more(count)


@when("both failures end")
def _(
    system: systems.SystemHarness,
    failure_pair: tuple[failures.Failure, failures.Failure],
) -> None:
    for failure in failure_pair:
        failures.end(failure, system)


@then("the callers stop")
def _(callers: CallerGroup) -> None:
    callers.stop()


@then("no order ran twice")
def _(system: systems.SystemHarness) -> None:
    run_counts = collections.Counter(
        effect.idempotency_key for effect in system.read_effects() if effect.idempotency_key
    )
    assert [key for key, count in run_counts.items() if count > 1] == []


@then("every answered order ran, and no order with only refusals ran")
def _(system: systems.SystemHarness, callers: CallerGroup) -> None:
    run_keys = {effect.idempotency_key for effect in system.read_effects()}
    exchanges = [exchange for attempts in callers.orders.values() for exchange in attempts]
    assert any(
        exchange.headers.get("Goldcresthall-Outcome") == "answered" for exchange in exchanges
    )
    for key, attempts in callers.orders.items():
        outcomes = [exchange.headers.get("Goldcresthall-Outcome") for exchange in attempts]
        if "answered" in outcomes:
            assert key in run_keys, (key, outcomes)
        if len(attempts) == 2 and set(outcomes) == {"refused_not_run"}:
            assert key not in run_keys, key


@then("every response to a read matched its request")
def _(callers: CallerGroup) -> None:
    for exchange in callers.reads:
        if exchange.headers.get("Goldcresthall-Outcome") == "answered":
            content = json.loads(exchange.body)
            assert content["path"] == exchange.path.removeprefix("/archive")
            assert content["request_id"] == exchange.headers["Goldcresthall-Request-Id"]
