"""Tests of requests to a server that sends copies of earlier refusals, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
import pytest

from goldcresthall.backend import exchange_metrics
from goldcresthall.backend import response_memory
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.gateway import request_progress
from goldcresthall.gateway import retry_policy
from goldcresthall.kernel import cancellation
from goldcresthall.platform import request_client
from tests.backend import test_exchange

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

LIMITS = response_memory.ResponseLimits(max_body_bytes=65_536, total_bytes=0)
REFUSAL = b"HTTP/1.1 %s\r\nGoldcresthall-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n"
STATUSES = (b"400 Bad Request", b"421 Misdirected", b"429 Busy", b"503 Unavailable")


class Sender:
    """Sends requests with the ids that it is given to one scripted server."""

    def __init__(self) -> None:
        metrics = exchange_metrics.ExchangeMetrics(prometheus_client.CollectorRegistry())
        self._sender = request_client.PlatformRequestSender(LIMITS, metrics)

    def send(
        self, server: test_exchange.ScriptedServer, request_id: str, *, idempotent: bool
    ) -> attempts.Attempt:
        headers = [outcomes.Header("Host", "a")]
        if request_id:
            headers.append(outcomes.Header("Goldcresthall-Request-Id", request_id))
        dispatch = attempts.Dispatch(
            request_id=request_id,
            server=preset.BackendServer(name="one", address=server.address, failure_domain="near"),
            connection_limit=4,
            method="POST",
            target="/",
            headers=tuple(headers),
            body=b"",
            timeout_s=test_exchange.TEST_TIMEOUT_S,
            idempotent=idempotent,
        )
        return self._sender.send(dispatch, cancellation.Cancellation(), lambda: True)

    def stop(self) -> None:
        """Close the connections."""
        self._sender.stop()


@pytest.fixture
def sender() -> Iterator[Sender]:
    """Yield a sender over real sockets."""
    created = Sender()
    yield created
    created.stop()


def start(*responses: bytes) -> test_exchange.ScriptedServer:
    """Return a server that sends the responses in turn on each of its connections."""

    def script(connection: socket.socket) -> None:
        for response in responses:
            if not connection.recv(4_096):
                return
            connection.sendall(response)
        connection.recv(4_096)

    return test_exchange.ScriptedServer(script)


def create_refusal(status: bytes, request_id: str = "") -> bytes:
    echo = f"Goldcresthall-Request-Id: {request_id}\r\n" if request_id else ""
    return REFUSAL % (status, echo.encode())


def create_answer(request_id: str) -> bytes:
    head = (
        f"HTTP/1.1 200 OK\r\nGoldcresthall-Request-Id: {request_id}\r\n"
        "Goldcresthall-Response-Signature: 1f\r\nContent-Length: 0\r\n\r\n"
    )
    return head.encode()


@pytest.mark.parametrize("status", STATUSES)
def test_copied_refusal_behind_a_stray_response_is_no_promise(
    sender: Sender, status: bytes
) -> None:
    """A request that may have run was tried again, or refused with a promise (TWICE, REFUSED)."""
    server = start(create_answer("other") + create_refusal(status))
    attempt = sender.send(server, "mine", idempotent=False)
    server.stop()
    assert retry_policy.find_retry_reason(attempt, idempotent=False) is None
    progress = request_progress.record_attempt(request_progress.RequestProgress(), "one", attempt)
    assert isinstance(progress.outcome, outcomes.OutcomeUnknown)


@pytest.mark.parametrize("status", STATUSES)
def test_copied_refusal_closes_a_kept_connection(sender: Sender, status: bytes) -> None:
    """The answer that is due follows the copy, and was read for the next request."""
    server = start(create_answer("first"), create_refusal(status))
    assert isinstance(sender.send(server, "first", idempotent=True), attempts.AttemptAnswered)
    assert isinstance(sender.send(server, "second", idempotent=True), attempts.AttemptUnknown)
    assert isinstance(sender.send(server, "first", idempotent=True), attempts.AttemptAnswered)
    server.stop()
    assert server.accepted == 2


def test_refusal_of_a_request_without_an_id_is_read_from_a_connection_of_its_own(
    sender: Sender,
) -> None:
    """Nothing but a new connection tells the refusal of a request without an id from a copy."""

    def script(connection: socket.socket) -> None:
        while head := test_exchange.receive(connection):
            has_id = b"Request-Id" in head
            connection.sendall(create_answer("first") if has_id else create_refusal(STATUSES[0]))

    server = test_exchange.ScriptedServer(script)
    sender.send(server, "first", idempotent=True)
    attempt = sender.send(server, "", idempotent=True)
    server.stop()
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is outcomes.RefusalReason.MALFORMED_REQUEST


def test_request_that_is_not_idempotent_never_uses_a_kept_connection(sender: Sender) -> None:
    """A copy of a refusal can bear the same id where a request is sent again."""
    server = start(create_answer("first"), create_refusal(STATUSES[3], "mine"))
    sender.send(server, "first", idempotent=True)
    attempt = sender.send(server, "mine", idempotent=False)
    server.stop()
    assert server.accepted == 2
    assert isinstance(attempt, attempts.AttemptUnknown)
