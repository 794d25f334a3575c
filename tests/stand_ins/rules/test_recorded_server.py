"""Test of the events that the stand-in for a deployment's server records."""

from __future__ import annotations

import http.client
import json

from goldcresthall_stand_ins import deployment_server
from goldcresthall_stand_ins import deployment_store
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import recorder as recorders
from goldcresthall_stand_ins.rules import server_recorder

TIMEOUT_S = 10.0


def send(port: int, method: str, path: str, body: str = "", key: int | None = None) -> int:
    """Send a request on a connection of its own and return the status."""
    headers = {} if key is None else {"Goldcresthall-Shard-Key": str(key)}
    headers["Goldcresthall-Request-Id"] = f"{method}-{key}"
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        return connection.getresponse().status
    finally:
        connection.close()


def test_server_records_all_that_it_sees() -> None:
    """Grants, releases, runs and refusals, between start and end of each incarnation."""
    collected = recorders.Recorder()
    server = deployment_server.DeploymentServer(
        deployment_store.StoreStandIn(),
        "a",
        "ledger",
        keyed=True,
        recorder=server_recorder.ServerRecorder(collected, "a", "ledger"),
    )
    keys = {"from": 0, "target": 9, "fence": 5}
    server.start()
    try:
        statuses = [
            send(server.port, "POST", "/api/grant", json.dumps({**keys, "hold_s": 4})),
            send(server.port, "GET", "/item", key=7),
            send(server.port, "GET", "/item", key=70),
            send(server.port, "POST", "/api/release", json.dumps(keys)),
        ]
        server.restart()
    finally:
        server.stop()
    assert statuses == [200, 200, 421, 200]
    assert [type(event) for event in collected.collect().events] == [
        events.ServerStarted,
        events.GrantTaken,
        events.RequestArrived,
        events.RequestBegan,
        events.RequestEnded,
        events.RequestArrived,
        events.RequestRefused,
        events.KeysReleased,
        events.ServerStarted,
        events.ServerEnded,
    ]
