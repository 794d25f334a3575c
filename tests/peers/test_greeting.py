"""Tests of the exchange between two peers over a real connection."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import prometheus_client
import pytest
from goldcresthall_stand_ins import fleet as fleets

from goldcresthall.core import identity
from goldcresthall.core import settings
from goldcresthall.kernel import clock
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.ownership import heat
from goldcresthall.peers import client
from goldcresthall.peers import exceptions
from goldcresthall.peers import peer_metrics
from goldcresthall.peers import server
from goldcresthall.replication import log_replica
from tests.fakes import instances

if TYPE_CHECKING:
    from collections.abc import Iterator

OWN = identity.Incarnation("router-2", "two")


def connect(entry: identity.InstanceEntry, timeout_ms: int = 5_000) -> client.PeerConnection:
    registry = prometheus_client.CollectorRegistry()
    return client.PeerConnection(entry, timeout_ms, peer_metrics.PeerMetrics(registry, "client"))


@pytest.fixture
def listening() -> Iterator[identity.InstanceEntry]:
    address = identity.Address("127.0.0.1", fleets.reserve_port())
    instance_settings = settings.Settings(
        name="router-1",
        failure_domain="domain-a",
        listen=settings.ListenSettings(callers=address, peers=address, admin=address),
        platform=settings.PlatformSettings(log=address, instance_list=address),
    )
    built = kernel.Kernel()
    built.register(names.CLOCK, clock.MonotonicClock())
    silent = log_replica.LogReplica.from_config(built, instance_settings.platform)
    silent.start = lambda: None  # type: ignore[method-assign]
    silent.stop = lambda: None  # type: ignore[method-assign]
    built.register(names.REPLICA, silent)
    built.register(names.HEAT, heat.HeatCounter())
    built.register(names.INSTANCE_LIST, instances.SettableInstanceList())
    incarnation = identity.Incarnation("router-1", "one")
    built.register(
        names.PEER_SERVER, server.PeerServer.from_config(built, incarnation, instance_settings)
    )
    built.start()
    yield identity.InstanceEntry("router-1", "domain-a", address, identity.InstanceStatus.LIVE)
    built.stop()


def test_peers_exchange_greetings_and_status(listening: identity.InstanceEntry) -> None:
    connection = connect(listening)
    assert connection.open(OWN, "domain-b") == identity.Incarnation("router-1", "one")
    assert connection.report_status().next_offset == 0
    connection.close()


@pytest.mark.parametrize("garbage", [b"\xff\xff\xff\xff", b"\x7f\xff\xff\xff", b"\0\0\0\x04abcd"])
def test_garbage_ends_only_its_own_connection(
    listening: identity.InstanceEntry, garbage: bytes
) -> None:
    address = listening.peer_address
    with socket.create_connection((address.host, address.port), timeout=5) as raw:
        raw.sendall(garbage)
        raw.shutdown(socket.SHUT_WR)
        assert raw.recv(64) in (b"",) or garbage.endswith(b"abcd")
    connection = connect(listening)
    connection.open(OWN, "domain-b")
    connection.close()


def test_nobody_listening_is_told_with_step_and_peer() -> None:
    address = identity.Address("127.0.0.1", fleets.reserve_port())
    entry = identity.InstanceEntry("router-9", "domain-a", address, identity.InstanceStatus.LIVE)
    with pytest.raises(exceptions.PeerUnreachableError) as caught:
        connect(entry, 500).open(OWN, "domain-b")
    assert (caught.value.step, caught.value.peer) == ("connect", "router-9")
