"""Tests of answers of a server in trouble that are no valid HTTP, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client
import pytest

from goldcresthall.backend import exchange_metrics
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.gateway import retry_policy
from goldcresthall.kernel import cancellation
from goldcresthall.platform import request_client
from tests.backend import test_exchange

if TYPE_CHECKING:
    import socket

SIGNED = b"Goldcresthall-Request-Id: mine\r\nGoldcresthall-Response-Signature: 1f\r\n"
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def create_answer(
    *fields: bytes, status: bytes = b"200", before: bytes = b"", body: bytes = b"ok"
) -> bytes:
    return b"HTTP/1.1 " + status + b" OK\r\n" + before + SIGNED + b"".join(fields) + b"\r\n" + body


def send(response: bytes) -> attempts.Attempt:
    """Return the attempt of a request whose server writes a response and closes."""

    def script(connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(response)

    server = test_exchange.ScriptedServer(script)
    sender = request_client.PlatformRequestSender(
        test_exchange.LIMITS,
        exchange_metrics.ExchangeMetrics(prometheus_client.CollectorRegistry()),
    )
    dispatch = attempts.Dispatch(
        request_id="mine",
        server=preset.BackendServer(name="one", address=server.address, failure_domain="near"),
        connection_limit=4,
        method="GET",
        target="/",
        headers=(
            outcomes.Header("Host", "a"),
            outcomes.Header("Goldcresthall-Request-Id", "mine"),
        ),
        body=b"",
        timeout_s=test_exchange.TEST_TIMEOUT_S,
        idempotent=True,
    )
    try:
        return sender.send(dispatch, cancellation.Cancellation(), lambda: True)
    finally:
        sender.stop()
        server.stop()


# Guards against bytes that are no answer in the protocol at a caller (MIXED), and against taking
# such an answer as proof that its request was not run (REFUSED, TWICE).
@pytest.mark.parametrize(
    "response",
    [
        pytest.param(create_answer(LENGTH, status=b"000"), id="status-000"),
        pytest.param(create_answer(LENGTH, status=b"099"), id="status-099"),
        pytest.param(create_answer(LENGTH, status=b"600"), id="status-600"),
        pytest.param(create_answer(LENGTH, status=b"999"), id="status-999"),
        pytest.param(create_answer(LENGTH, status=b"101"), id="upgrade-not-asked-for"),
        pytest.param(create_answer(LENGTH, b"Content-Length: 3\r\n"), id="two-lengths"),
        pytest.param(create_answer(CHUNKED, LENGTH, body=b"2\r\nok\r\n0\r\n\r\n"), id="two-ends"),
        pytest.param(create_answer(b"Transfer-Encoding: gzip\r\n"), id="unknown-coding"),
        pytest.param(create_answer(LENGTH)[:60], id="cut-head"),
        pytest.param(create_answer(CHUNKED, body=b"2\r\nok\r\n"), id="cut-last-chunk"),
        pytest.param(create_answer(LENGTH, body=b"o"), id="cut-body"),
        pytest.param(create_answer(b"Con tent-Length: 2\r\n"), id="blank-in-name"),
        pytest.param(create_answer(b"Con\x01tent-Length: 2\r\n"), id="control-byte-in-name"),
        pytest.param(create_answer(b"Content-Length : 2\r\n"), id="blank-before-colon"),
        pytest.param(create_answer(LENGTH, before=b" A: b\r\n"), id="folded-first-line"),
        pytest.param(create_answer(b"A: b\r\n Content-Length: 2\r\n"), id="folded-length"),
        pytest.param(create_answer(b"A: b\n\tContent-Length: 2\r\n"), id="folded-by-bare-lf"),
        pytest.param(create_answer(LENGTH, b"A: b\rc\r\n"), id="bare-cr-in-value"),
        pytest.param(create_answer(LENGTH, b"A: b\x00c\r\n"), id="nul-in-value"),
        pytest.param(create_answer(LENGTH, b"A: b\x01c\r\n"), id="control-byte-in-value"),
        pytest.param(create_answer(LENGTH, b"A: b\x7fc\r\n"), id="delete-in-value"),
    ],
)
def test_invalid_answer_is_neither_passed_on_nor_proof_that_nothing_ran(response: bytes) -> None:
    attempt = send(response)
    assert isinstance(attempt, attempts.AttemptUnknown)
    assert retry_policy.was_sent(attempt)
    assert retry_policy.find_retry_reason(attempt, idempotent=False) is None


@pytest.mark.parametrize(
    "response",
    [
        create_answer(LENGTH),
        create_answer(CHUNKED, body=b"2\r\nok\r\n0\r\n\r\n"),
        create_answer(),
        create_answer(LENGTH, b"A: b\tc \x80\r\n"),
        create_answer(LENGTH, status=b"599"),
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + create_answer(LENGTH),
    ],
    ids=["length", "chunks", "end-of-stream", "value-with-tab", "status-599", "interim"],
)
def test_valid_answer_is_passed_on(response: bytes) -> None:
    attempt = send(response)
    assert isinstance(attempt, attempts.AttemptAnswered)
    assert attempt.answer.body == b"ok"


def test_body_that_looks_like_a_head_is_passed_on() -> None:
    """The rules hold for the head alone, also where both come in one block."""
    attempt = send(create_answer(b"Content-Length: 8\r\n", body=b"a\r\n b\x00\x01c"))
    assert isinstance(attempt, attempts.AttemptAnswered)
    assert attempt.answer.body == b"a\r\n b\x00\x01c"
