"""Test of a request that may no longer be sent once there is a connection."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import prometheus_client

from goldcresthall.backend import exchange_metrics
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.gateway import retry_policy
from goldcresthall.kernel import cancellation
from goldcresthall.platform import request_client
from tests.backend import test_exchange
from tests.platform import test_copied_refusals

if TYPE_CHECKING:
    import socket


# Guards against the first byte of a request at a server that left during the connect (DRAIN).
def test_request_whose_server_left_is_not_sent_and_may_go_elsewhere() -> None:
    received: list[bytes] = []
    closed = threading.Event()

    def script(connection: socket.socket) -> None:
        received.append(test_exchange.receive(connection))
        closed.set()

    server = test_exchange.ScriptedServer(script)
    sender = request_client.PlatformRequestSender(
        test_copied_refusals.LIMITS,
        exchange_metrics.ExchangeMetrics(prometheus_client.CollectorRegistry()),
    )
    dispatch = attempts.Dispatch(
        request_id="mine",
        server=preset.BackendServer(name="one", address=server.address, failure_domain="near"),
        connection_limit=4,
        method="POST",
        target="/",
        headers=(outcomes.Header("Host", "a"),),
        body=b"",
        timeout_s=test_exchange.TEST_TIMEOUT_S,
        idempotent=False,
    )
    attempt = sender.send(dispatch, cancellation.Cancellation(), lambda: False)
    assert closed.wait(test_exchange.TEST_TIMEOUT_S)
    sender.stop()
    server.stop()
    assert received == [b""]
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is outcomes.RefusalReason.SERVER_DRAINING
    assert not retry_policy.was_sent(attempt)
    assert retry_policy.find_retry_reason(attempt, idempotent=False) is attempt.reason
