"""Scenarios and steps of at_most_once.feature."""

from __future__ import annotations

import collections
import concurrent.futures
import signal
import time
from typing import TYPE_CHECKING

import pytest
import pytest_bdd
import urllib3
from goldcresthall_stand_ins import fleet as fleets
from goldcresthall_stand_ins import platform
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from goldcresthall.admin import messages
from tests.features import system as systems

if TYPE_CHECKING:
    from collections.abc import Iterator

pytest_bdd.scenarios("at_most_once.feature")

ORDER_BODY = b"one keepsake copy"
RETRY_DEADLINE_MS = "500"


class Orders:
    """Orders of one scenario, with the responses that each got."""

    def __init__(self, system: systems.SystemHarness) -> None:
        self.system = system
        self.exchanges: dict[str, list[systems.Exchange]] = collections.defaultdict(list)
        self.work_ms: collections.Counter[str] = collections.Counter()
        self.executor = concurrent.futures.ThreadPoolExecutor(64)
        self.pending: concurrent.futures.Future[systems.Exchange | None] | None = None

    def send(self, name: str, index: int = 0, deadline_ms: str = "5000") -> systems.Exchange | None:
        """Send an order; return `None` if the connection fails before the response."""
        headers = {"Idempotency-Key": f"0.{name}", "Goldcresthall-Deadline-Ms": deadline_ms}
        path = f"/ordering/items/{name}?work_ms={self.work_ms[name]}"
        try:
            exchange = self.system.send("POST", path, index, headers=headers, body=ORDER_BODY)
        except urllib3.exceptions.HTTPError:
            return None
        self.exchanges[name].append(exchange)
        return exchange

    def count_effects(self) -> collections.Counter[str]:
        """Return how often the servers ran each order."""
        effects = self.system.read_effects()
        return collections.Counter(effect.path.rpartition("/")[2] for effect in effects)

    def wait_until_replayed(self, index: int, offset: int) -> None:
        """Wait until an instance has replayed the log beyond an offset."""
        deadline_s = time.monotonic() + systems.EVENT_TIMEOUT_S
        while self.read_next_offset(index) <= offset:
            assert time.monotonic() < deadline_s

    def read_next_offset(self, index: int) -> int:
        """Return the offset up to which an instance has replayed the log."""
        view = self.system.create_admin_client(index).fetch("/status", messages.StatusView)
        return view.instance.next_offset


@pytest.fixture
def orders(system: systems.SystemHarness) -> Iterator[Orders]:
    scenario_orders = Orders(system)
    yield scenario_orders
    scenario_orders.executor.shutdown()


@given("every instance serves requests")
def _(system: systems.SystemHarness) -> None:
    for index in range(len(system.fleet.routers)):
        system.send_until_ok("GET", "/ordering/pages/today", index)


@when(parsers.parse("{count:d} orders are each sent through all instances concurrently"))
def _(orders: Orders, count: int) -> None:
    calls = [(f"order-{number}", index) for number in range(count) for index in range(3)]
    futures = [orders.executor.submit(orders.send, *call) for call in calls]
    for future in futures:
        assert future.result() is not None


@when("each order is retried through all instances")
def _(orders: Orders) -> None:
    for name in list(orders.exchanges):
        for index in range(3):
            assert orders.send(name, index) is not None


@then("all attempts of each order got the same response")
def _(orders: Orders) -> None:
    for exchanges in orders.exchanges.values():
        assert {(exchange.status, exchange.body) for exchange in exchanges} == {
            (200, exchanges[0].body)
        }


@then("each order has exactly one effect")
def _(orders: Orders) -> None:
    counts = orders.count_effects()
    assert {name: counts[name] for name in orders.exchanges} == dict.fromkeys(orders.exchanges, 1)


@then("no order has more than one effect")
def _(orders: Orders) -> None:
    assert not [
        name
        for name, count in orders.count_effects().items()
        if name in orders.exchanges and count > 1
    ]


@when(parsers.parse("order {name} is sent through the first instance and runs for {work_ms:d} ms"))
def _(orders: Orders, name: str, work_ms: int) -> None:
    offset = orders.read_next_offset(1)
    orders.work_ms[name] = work_ms
    orders.pending = orders.executor.submit(orders.send, name, 0)
    orders.wait_until_replayed(1, offset)


@when(parsers.parse("the first instance is {change}"))
def _(system: systems.SystemHarness, orders: Orders, change: str) -> None:
    signals = {"killed": signal.SIGKILL, "frozen": signal.SIGSTOP, "resumed": signal.SIGCONT}
    system.signal_router("router-1", signals[change])
    if change != "frozen":
        assert orders.pending is not None
        orders.pending.result()


@when(parsers.parse("order {name} is retried through another instance"))
def _(orders: Orders, name: str) -> None:
    last_index = len(orders.system.fleet.routers) - 1
    assert orders.send(name, last_index, deadline_ms=RETRY_DEADLINE_MS) is not None


@then("the retry gets outcome unknown")
def _(orders: Orders) -> None:
    for exchanges in orders.exchanges.values():
        assert exchanges[-1].headers["Goldcresthall-Outcome"] == "unknown"


@given(parsers.parse("the log responds {delay_ms:d} ms late"))
def _(system: systems.SystemHarness, delay_ms: int) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(delay_ms=delay_ms))


@when("the log is down")
def _(system: systems.SystemHarness) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(down=True))


@when(parsers.parse("the log recovers but loses the responses of {count:d} appends"))
def _(system: systems.SystemHarness, count: int) -> None:
    system.fleet.inject_platform_faults(platform.PlatformFaults(lost_answers=count))


@given(parsers.parse("order {name} was answered"))
@when(parsers.parse("order {name} is retried until it is answered"))
def _(orders: Orders, name: str) -> None:
    deadline_s = time.monotonic() + systems.EVENT_TIMEOUT_S
    while True:
        exchange = orders.send(name)
        if exchange is not None and exchange.status == fleets.STATUS_OK:
            return
        assert time.monotonic() < deadline_s, exchange


@given(parsers.parse("every instance returns the recorded response of order {name}"))
def _(system: systems.SystemHarness, orders: Orders, name: str) -> None:
    for index in range(len(system.fleet.routers)):
        exchange = orders.send(name, index)
        assert exchange is not None
        assert exchange.headers["Goldcresthall-Recorded"] == "true"


@when(parsers.parse("order {name} is sent once"))
def _(orders: Orders, name: str) -> None:
    assert orders.send(name, 1) is not None


@then("it is refused as not run, with Retry-After")
def _(orders: Orders) -> None:
    (refused,) = orders.exchanges["molde"]
    assert refused.headers["Goldcresthall-Outcome"] == "refused_not_run"
    assert refused.headers["Goldcresthall-Reason"] == "intent_not_recorded"
    assert "Retry-After" in refused.headers


@then(parsers.parse("a retry of order {name} gets the recorded response"))
def _(orders: Orders, name: str) -> None:
    exchange = orders.send(name, 2)
    assert exchange is not None
    assert exchange.headers["Goldcresthall-Recorded"] == "true"
    assert exchange.body == orders.exchanges[name][0].body


@then(parsers.parse("order {name} has exactly one effect"))
def _(orders: Orders, name: str) -> None:
    assert orders.count_effects()[name] == 1


@then(parsers.parse("the outcomes reported for order {name} agree with its effects"))
def _(orders: Orders, name: str) -> None:
    outcomes = {exchange.headers["Goldcresthall-Outcome"] for exchange in orders.exchanges[name]}
    count = orders.count_effects()[name]
    assert count == 1 or "answered" not in outcomes
    run_ids = {effect.request_id for effect in orders.system.read_effects()}
    refused_ids = {
        exchange.headers["Goldcresthall-Request-Id"]
        for exchange in orders.exchanges[name]
        if exchange.headers["Goldcresthall-Outcome"] == "refused_not_run"
    }
    assert not run_ids & refused_ids
