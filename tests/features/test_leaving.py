"""Scenarios and steps of leaving.feature."""

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
    """Request a batch of pages; return the servers that answered."""
    exchanges = system.send_many(
        "GET", [f"/{service}/pages/{number}" for number in range(BATCH_SIZE)]
    )
    return {exchange.server for exchange in exchanges}


@given(parsers.parse("pages of {service} are served by {names}"))
@then(parsers.parse("pages of {service} are served by {names}"))
def _(system: systems.SystemHarness, service: str, names: str) -> None:
    system.send_until_ok("GET", f"/{service}/pages/first", 0)
    system.send_until_ok("GET", f"/{service}/pages/first", 1)
    servers = set(names.split(", "))
    for _ in range(MAX_BATCHES):
        if servers <= send_batch(system, service):
            return
    pytest.fail("some server got no request")


@when(parsers.parse("server {server} reports that it is draining"))
def _(system: systems.SystemHarness, server: str) -> None:
    faults = backend.BackendFaults(draining=True)
    system.fleet.inject_backend_faults(find_config(system, server), faults)


@when(parsers.parse("the instance list marks server {server} as leaving"))
def _(system: systems.SystemHarness, server: str) -> None:
    system.fleet.publish_leaving_server(find_config(system, server))


@when(parsers.parse("a preset marks server {server} as draining"))
def _(system: systems.SystemHarness, server: str) -> None:
    system.policies = [_mark_draining(policy, server) for policy in system.policies]
    assert system.publish("maintenance").outcome == "accepted"


def _mark_draining(policy: preset.ServicePolicy, server: str) -> preset.ServicePolicy:
    servers = tuple(
        dataclasses.replace(
            backend_server, draining=backend_server.draining or backend_server.name == server
        )
        for backend_server in policy.servers
    )
    return dataclasses.replace(policy, servers=servers)


@then(parsers.parse("server {server} gets no more requests"))
def _(system: systems.SystemHarness, server: str) -> None:
    service = server.partition("-")[0]
    batches_without_server = 0
    for _ in range(MAX_BATCHES):
        batches_without_server = (
            0 if server in send_batch(system, service) else batches_without_server + 1
        )
        if batches_without_server == REQUIRED_BATCHES_WITHOUT_SERVER:
            return
    pytest.fail(f"{server} still gets requests")


@when("each instance has learned this from a health check")
def _(system: systems.SystemHarness) -> None:
    deadline_s = time.monotonic() + fleets.START_TIMEOUT_S
    for router in system.fleet.routers:
        while b"goldcresthall_draining_servers 1.0" not in _fetch_metrics(router):
            assert time.monotonic() < deadline_s
            time.sleep(POLL_INTERVAL_S)


def _fetch_metrics(router: fleets.RouterProcess) -> bytes:
    return urllib3.request("GET", f"{router.admin_url}/metrics", timeout=10.0).data


@then(parsers.parse("server {server} has run nothing after pages of {service} were requested"))
def _(system: systems.SystemHarness, server: str, service: str) -> None:
    assert server not in send_batch(system, service)
    assert all(effect.server != server for effect in system.read_effects())


class LoadBalancer:
    """Requests a page continuously from the ready instances, over persistent connections.

    Once an instance is seen not ready, it gets no more requests.
    """

    def __init__(self, routers: tuple[fleets.RouterProcess, ...], path: str) -> None:
        self._routers = routers
        self._path = path
        self._ready = {router.settings.name for router in routers}
        self._stopping = threading.Event()
        self._pool = urllib3.PoolManager(num_pools=10, maxsize=SENDER_COUNT, retries=False)
        self._probe_pool = urllib3.PoolManager(num_pools=10, retries=False)
        self._executor = concurrent.futures.ThreadPoolExecutor(SENDER_COUNT + 1)
        self.failures: list[str] = []
        self.statuses: list[int] = []
        self.closing_instances: set[str] = set()

    def start(self) -> None:
        self._executor.submit(self._probe_readiness)
        for number in range(SENDER_COUNT):
            self._executor.submit(self._send, number)

    def stop(self) -> None:
        self._stopping.set()
        self._executor.shutdown()

    def _probe_readiness(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            for router in self._routers:
                if not self._is_ready(router):
                    self._ready.discard(router.settings.name)

    def _is_ready(self, router: fleets.RouterProcess) -> bool:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f"{router.admin_url}/readyz"
            return self._probe_pool.request("GET", url, timeout=5.0).status == fleets.STATUS_OK
        return False

    def _send(self, number: int) -> None:
        while not self._stopping.is_set():
            ready = [router for router in self._routers if router.settings.name in self._ready]
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
def balancer(system: systems.SystemHarness) -> Iterator[LoadBalancer]:
    """Yield a load balancer that is stopped after the test."""
    load_balancer = LoadBalancer(system.fleet.routers, "/program/pages/today")
    yield load_balancer
    load_balancer.stop()


@when(parsers.parse("a load balancer requests pages of {service} continuously"))
def _(system: systems.SystemHarness, balancer: LoadBalancer, service: str) -> None:
    for index in range(2):
        system.send_until_ok("GET", f"/{service}/pages/today", index)
    balancer.start()
    deadline_s = time.monotonic() + fleets.START_TIMEOUT_S
    while len(balancer.statuses) < BATCH_SIZE:
        assert time.monotonic() < deadline_s
        time.sleep(POLL_INTERVAL_S)


@when(parsers.parse("instance {name} gets SIGTERM"), target_fixture="draining_instance")
def _(system: systems.SystemHarness, name: str) -> fleets.RouterProcess:
    draining_instance = next(
        router for router in system.fleet.routers if router.settings.name == name
    )
    system.signal_router(name, signal.SIGTERM)
    return draining_instance


@when(parsers.parse("instance {name} is paused and resumed"))
def _(system: systems.SystemHarness, name: str) -> None:
    system.signal_router(name, signal.SIGSTOP)
    system.signal_router(name, signal.SIGCONT)


@when("it has exited with status 0")
@then("it has exited with status 0")
def _(draining_instance: fleets.RouterProcess) -> None:
    assert draining_instance.process.wait(fleets.STOP_TIMEOUT_S) == 0


@then("every request of the load balancer got a complete response")
def _(balancer: LoadBalancer) -> None:
    balancer.stop()
    assert balancer.failures == []
    assert set(balancer.statuses) == {fleets.STATUS_OK}


@then(parsers.parse("only {name} closed persistent connections"))
def _(balancer: LoadBalancer, name: str) -> None:
    assert balancer.closing_instances == {name}
