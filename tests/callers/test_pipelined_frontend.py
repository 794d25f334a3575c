"""Tests of how the pipelined front end closes its connections."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from goldcresthall.callers import connections
from goldcresthall.callers import pipelined_frontend
from goldcresthall.callers import refusals
from goldcresthall.core import deployment
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.kernel import kernel
from goldcresthall.kernel import tasks
from goldcresthall.memory import ledger
from goldcresthall.platform import caller_codec
from tests.fakes import clock

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def front() -> pipelined_frontend.PipelinedFrontend:
    """Return a front end that is not started."""
    address = identity.Address("127.0.0.1", 0)
    settings = deployment_settings.DeploymentSettings(
        name="one",
        failure_domain="near",
        listen=deployment_settings.DeploymentListen(
            callers=address, readiness=address, peers=address
        ),
        store=address,
        heartbeat_s=1.0,
        max_lease_s=10.0,
        drain_s=2.0,
        grace_s=6.0,
    )
    created = pipelined_frontend.PipelinedFrontend(
        kernel.Kernel(), settings, caller_codec.PlatformCallerCodec()
    )
    created._clock = clock.ManualClock()
    return created


@pytest.fixture
def pairs(
    front: pipelined_frontend.PipelinedFrontend,
) -> Iterator[list[tuple[socket.socket, connections.CallerConnection]]]:
    """Yield three connections, each with its caller's socket."""
    created = []
    for _ in range(3):
        accepted, caller = _connect()
        connection = connections.CallerConnection(
            accepted, ledger.MemoryLedger(1_000_000), refusals.RefusalLog()
        )
        created.append((caller, connection))
    yield created
    for caller, connection in created:
        caller.close()
        connection.abandon()


def _connect() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return accepted, caller


def test_idle_connections_are_closed_while_a_busy_one_stays_open(
    front: pipelined_frontend.PipelinedFrontend,
    pairs: list[tuple[socket.socket, connections.CallerConnection]],
) -> None:
    caller, busy = pairs[0]
    caller.sendall(REQUEST)
    busy.receive(deployment.CallerLimits())
    front._connections = {connection: None for _, connection in pairs}  # type: ignore[assignment]
    assert not front.close_when_idle(tasks.StopSignal(), 0.0)
    for idle_caller, _ in pairs[1:]:
        idle_caller.settimeout(5.0)
        assert idle_caller.recv(1) == b""
    assert not busy.is_idle


def test_idle_connection_makes_room_at_the_limit_and_busy_ones_do_not(
    front: pipelined_frontend.PipelinedFrontend,
    pairs: list[tuple[socket.socket, connections.CallerConnection]],
) -> None:
    """Connections without a bound took descriptors and memory until the process ended."""
    front._max_connections = len(pairs)
    front._connections = {connection for _, connection in pairs}
    for caller, connection in pairs[:2]:
        caller.sendall(REQUEST)
        connection.receive(deployment.CallerLimits())
    assert front._make_room()
    idle_caller, idle = pairs[2]
    idle_caller.settimeout(5.0)
    assert idle_caller.recv(1) == b""
    front._connections.discard(idle)
    assert front._make_room()
    front._max_connections = 2
    assert not front._make_room()
