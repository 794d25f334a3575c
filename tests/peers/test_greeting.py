"""Tests of the peer protocol over a real connection."""

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

OWN_INCARNATION = identity.Incarnation("router-2", "two")


def create_peer_connection(
    entry: identity.InstanceEntry, timeout_ms: int = 5_000
) -> client.PeerConnection:
    registry = prometheus_client.CollectorRegistry()
    return client.PeerConnection(entry, timeout_ms, peer_metrics.PeerMetrics(registry, "client"))


@pytest.fixture
def listening_peer() -> Iterator[identity.InstanceEntry]:
    address = identity.Address("127.0.0.1", fleets.reserve_port())
    instance_settings = settings.Settings(
        name="router-1",
        failure_domain="domain-a",
        listen=settings.ListenSettings(callers=address, peers=address, admin=address),
        platform=settings.PlatformSettings(log=address, instance_list=address),
    )
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, clock.MonotonicClock())
    idle_replica = log_replica.LogReplica.from_config(service_kernel, instance_settings.platform)
    idle_replica.start = lambda: None  # type: ignore[method-assign]
    idle_replica.stop = lambda: None  # type: ignore[method-assign]
    service_kernel.register(names.REPLICA, idle_replica)
    service_kernel.register(names.HEAT, heat.HeatCounter())
    service_kernel.register(names.INSTANCE_LIST, instances.SettableInstanceList())
    incarnation = identity.Incarnation("router-1", "one")
    service_kernel.register(
        names.PEER_SERVER,
        server.PeerServer.from_config(service_kernel, incarnation, instance_settings),
    )
    service_kernel.start()
    yield identity.InstanceEntry("router-1", "domain-a", address, identity.InstanceStatus.LIVE)
    service_kernel.stop()


def test_peer_returns_its_incarnation_and_status(listening_peer: identity.InstanceEntry) -> None:
    connection = create_peer_connection(listening_peer)
    assert connection.open(OWN_INCARNATION, "domain-b") == identity.Incarnation("router-1", "one")
    assert connection.report_status().next_offset == 0
    connection.close()


@pytest.mark.parametrize(
    "invalid_frame", [b"\xff\xff\xff\xff", b"\x7f\xff\xff\xff", b"\0\0\0\x04abcd"]
)
def test_invalid_frame_closes_only_its_own_connection(
    listening_peer: identity.InstanceEntry, invalid_frame: bytes
) -> None:
    address = listening_peer.peer_address
    with socket.create_connection((address.host, address.port), timeout=5) as raw_socket:
        raw_socket.sendall(invalid_frame)
        raw_socket.shutdown(socket.SHUT_WR)
        assert raw_socket.recv(64) in (b"",) or invalid_frame.endswith(b"abcd")
    connection = create_peer_connection(listening_peer)
    connection.open(OWN_INCARNATION, "domain-b")
    connection.close()


def test_refused_connection_raises_error_with_step_and_peer() -> None:
    address = identity.Address("127.0.0.1", fleets.reserve_port())
    entry = identity.InstanceEntry("router-9", "domain-a", address, identity.InstanceStatus.LIVE)
    with pytest.raises(exceptions.PeerUnreachableError) as caught:
        create_peer_connection(entry, 500).open(OWN_INCARNATION, "domain-b")
    assert (caught.value.step, caught.value.peer) == ("connect", "router-9")
