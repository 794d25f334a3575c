"""Tests of the faults of a server stand-in's responses to commands."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from typing import TYPE_CHECKING

import pytest
from goldcresthall_stand_ins import deployment_server
from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins import server_faults

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 10.0
KEYS = range(10)


class Accepted:
    """The grants that a server accepted, and an event for each of them."""

    def __init__(self) -> None:
        self.grants: list[deployment_server.AcceptedGrant] = []
        self.changed = threading.Event()

    def record(self, grant: deployment_server.AcceptedGrant) -> None:
        """Record a grant."""
        self.grants.append(grant)
        self.changed.set()


@pytest.fixture
def accepted() -> Accepted:
    """Return the record of accepted grants."""
    return Accepted()


@pytest.fixture
def server(accepted: Accepted) -> Iterator[deployment_server.DeploymentServer]:
    """Return a running server."""
    running = deployment_server.DeploymentServer(
        deployment_store.StoreStandIn(), "one", "ledger", keyed=True, on_grant=accepted.record
    )
    running.start()
    yield running
    running.stop()


def connect(server: deployment_server.DeploymentServer) -> http.client.HTTPConnection:
    """Return a connection to the server."""
    return http.client.HTTPConnection("127.0.0.1", server.port, timeout=TIMEOUT_S)


def grant(connection: http.client.HTTPConnection, fence: int, hold_s: float = 3.0) -> int:
    """Send a grant; return the status of the next response on the connection."""
    send_grant(connection, fence, hold_s)
    response = connection.getresponse()
    response.read()
    return response.status


def send_grant(connection: http.client.HTTPConnection, fence: int, hold_s: float) -> None:
    """Send a grant."""
    command = {"from": KEYS[0], "target": KEYS[-1], "fence": fence, "hold_s": hold_s}
    connection.request("POST", "/api/grant", json.dumps(command))


def test_copied_refusal_hides_an_executed_grant_on_a_kept_connection_only(
    server: deployment_server.DeploymentServer, accepted: Accepted
) -> None:
    kept = connect(server)
    server.fault = server_faults.RefusalsCopied(is_followed=False)
    assert grant(kept, 1) == 503
    assert accepted.grants == []
    assert grant(kept, 2) == 503
    assert [executed.fence for executed in accepted.grants] == [2]
    assert grant(connect(server), 3) == 200
    server.fault = server_faults.ServerFault()
    assert grant(kept, 4) == 200
    kept.close()


def test_copied_success_precedes_the_true_refusal(
    server: deployment_server.DeploymentServer,
) -> None:
    with socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S) as connection:
        for fence, statuses in ((5, (b"200",)), (4, (b"200", b"409"))):
            body = json.dumps({"from": 0, "target": 9, "fence": fence, "hold_s": 3.0}).encode()
            head = f"POST /api/grant HTTP/1.1\r\nHost: one\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.sendall(head.encode() + body)
            received = b""
            while received.count(b"\r\n\r\n") < len(statuses):
                received += connection.recv(4_096)
            heads = [head.strip() for head in received.split(b"\r\n\r\n") if head.strip()]
            assert tuple(head.split()[1] for head in heads) == statuses
            server.fault = server_faults.SuccessesCopied(is_followed=True)


def test_delayed_grant_is_executed_without_response_and_its_time_counts_from_arrival(
    server: deployment_server.DeploymentServer, accepted: Accepted
) -> None:
    server.fault = server_faults.GrantsDelayed(delay_s=0.5)
    with pytest.raises((http.client.RemoteDisconnected, ConnectionResetError)):
        grant(connect(server), 1, hold_s=0.4)
    assert accepted.grants == []
    with pytest.raises((http.client.RemoteDisconnected, ConnectionResetError)):
        grant(connect(server), 2, hold_s=60.0)
    assert accepted.changed.wait(TIMEOUT_S)
    assert [(executed.fence, executed.is_late) for executed in accepted.grants] == [(2, True)]
