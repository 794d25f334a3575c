"""Scenarios of leaving.feature."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import signal
import threading
import time
from typing import TYPE_CHECKING

import pytest
import pytest_bdd
import urllib3
from goldcresthall_stand_ins import backend
from goldcresthall_stand_ins import fleet as fleets
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.core import preset
    from tests.features import system as systems

pytest_bdd.scenarios("leaving.feature")

BATCH_SIZE = 60
MAX_BATCHES = 200
REQUIRED_BATCHES_WITHOUT_SERVER = 3
SENDER_COUNT = 8
POLL_INTERVAL_S = 0.05


def find_config(system: systems.SystemHarness, server: str) -> backend.BackendConfig:
    return system.backends[server].configs[0]


def send_batch(system: systems.SystemHarness, service: str) -> set[str]:
    """Send a batch of pages; return the servers that answered."""
    exchange = system.send_many(
        "GET", [f"/{service}/pages/{number}" for number in range(BATCH_SIZE)]
    )
    return {item.server for item in exchange}


@given(parsers.parse("pages of {service} are served by {names}"))
@then(parsers.parse("pages of {service} are served by {names}"))
def _(system: systems.SystemHarness, service: str, names: str) -> None:
    system.send_until_answered("GET", f"/{service}/pages/first", 0)
    system.send_until_answered("GET", f"/{service}/pages/first", 1)
    servers = set(names.split(", "))
    for _ in range(MAX_BATCHES):
        if servers <= send_batch(system, service):
            return
    pytest.fail("some server never got work")


@when(parsers.parse("server {server} is leaving by its own word"))
def _(system: systems.SystemHarness, server: str) -> None:
    faults = backend.BackendFaults(draining=True)
    system.fleet.inject_backend_faults(find_config(system, server), faults)


@when(parsers.parse("server {server} is leaving by the instance list"))
def _(system: systems.SystemHarness, server: str) -> None:
    system.fleet.publish_leaving_server(find_config(system, server))


@when(parsers.parse("server {server} is leaving by the preset"))
def _(system: systems.SystemHarness, server: str) -> None:
    system.policies = [_mark_draining(policy, server) for policy in system.policies]
    assert system.publish("maintenance").outcome == "accepted"


def _mark_draining(policy: preset.ServicePolicy, server: str) -> preset.ServicePolicy:
    servers = tuple(
        dataclasses.replace(item, draining=item.draining or item.name == server)
        for item in policy.servers
    )
    return dataclasses.replace(policy, servers=servers)


@then(parsers.parse("server {server} gets no more work"))
def _(system: systems.SystemHarness, server: str) -> None:
    service = server.partition("-")[0]
    without = 0
    for _ in range(MAX_BATCHES):
        without = 0 if server in send_batch(system, service) else without + 1
        if without == REQUIRED_BATCHES_WITHOUT_SERVER:
            return
    pytest.fail(f"{server} still gets work")


@when("each instance was told so by a probe")
def _(system: systems.SystemHarness) -> None:
    ends_at_s = time.monotonic() + fleets.START_TIMEOUT_S
    for router in system.fleet.routers:
        while b"goldcresthall_draining_servers 1.0" not in _read_metrics(router):
            assert time.monotonic() < ends_at_s
            time.sleep(POLL_INTERVAL_S)


def _read_metrics(router: fleets.RouterProcess) -> bytes:
    return urllib3.request("GET", f"{router.admin_url}/metrics", timeout=10.0).data


@then(parsers.parse("server {server} has run nothing after pages of {service} were asked for"))
def _(system: systems.SystemHarness, server: str, service: str) -> None:
    assert server not in send_batch(system, service)
    assert all(effect.server != server for effect in system.read_effects())


class Balancer:
    """Sends pages without pause over connections that it keeps, to instances that are ready."""

    def __init__(self, routers: tuple[fleets.RouterProcess, ...], path: str) -> None:
        self._routers = routers
        self._path = path
        self._ready = {router.settings.name for router in routers}
        self._ending = threading.Event()
        self._pool = urllib3.PoolManager(num_pools=10, maxsize=SENDER_COUNT, retries=False)
        self._probe_pool = urllib3.PoolManager(num_pools=10, retries=False)
        self._executor = concurrent.futures.ThreadPoolExecutor(SENDER_COUNT + 1)
        self.failures: list[str] = []
        self.statuses: list[int] = []
        self.closing_instances: set[str] = set()

    def start(self) -> None:
        self._executor.submit(self._watch)
        for number in range(SENDER_COUNT):
            self._executor.submit(self._send, number)

    def stop(self) -> None:
        self._ending.set()
        self._executor.shutdown()

    def _watch(self) -> None:
        while not self._ending.wait(POLL_INTERVAL_S):
            for router in self._routers:
                if not self._is_ready(router):
                    self._ready.discard(router.settings.name)

    def _is_ready(self, router: fleets.RouterProcess) -> bool:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"{router.admin_url}/readyz"
            return self._probe_pool.request("GET", url, timeout=5.0).status == fleets.STATUS_OK
        return False

    def _send(self, number: int) -> None:
        while not self._ending.is_set():
            ready = [item for item in self._routers if item.settings.name in self._ready]
            number += 1
            router = ready[number % len(ready)]
            try:
                response = self._pool.request("GET", router.callers_url + self._path, timeout=30.0)
            except urllib3.exceptions.HTTPError as error:
                self.failures.append(f"{router.settings.name}: {error!r}")
                continue
            self.statuses.append(response.status)
            if response.headers.get("Connection") == "close":
                self.closing_instances.add(router.settings.name)


@pytest.fixture
def balancer(system: systems.SystemHarness) -> Iterator[Balancer]:
    """Yield a balancer that is stopped after the test."""
    created = Balancer(system.fleet.routers, "/program/pages/today")
    yield created
    created.stop()


@when(parsers.parse("a balancer sends pages of {service} without pause"))
def _(system: systems.SystemHarness, balancer: Balancer, service: str) -> None:
    for index in range(2):
        system.send_until_answered("GET", f"/{service}/pages/today", index)
    balancer.start()
    ends_at_s = time.monotonic() + fleets.START_TIMEOUT_S
    while len(balancer.statuses) < BATCH_SIZE:
        assert time.monotonic() < ends_at_s
        time.sleep(POLL_INTERVAL_S)


@when(parsers.parse("instance {name} is asked to end"), target_fixture="leaving")
def _(system: systems.SystemHarness, name: str) -> fleets.RouterProcess:
    leaving = next(item for item in system.fleet.routers if item.settings.name == name)
    system.signal_router(name, signal.SIGTERM)
    return leaving


@when(parsers.parse("instance {name} is paused and resumed"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.signal_router(name, signal.SIGSTOP)
    system.signal_router(name, signal.SIGCONT)


@when("it has ended")
@then("it has ended")
def _(leaving: fleets.RouterProcess) -> None:
    assert leaving.process.wait(fleets.STOP_TIMEOUT_S) == 0


@then("every request the balancer sent has a whole answer")
def _(balancer: Balancer) -> None:
    balancer.stop()
    assert balancer.failures == []
    assert set(balancer.statuses) == {fleets.STATUS_OK}


@then(parsers.parse("open connections to {name} were told to close"))
def _(balancer: Balancer, name: str) -> None:
    assert balancer.closing_instances == {name}
