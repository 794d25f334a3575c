"""Tests of the attempts that the platform's request sender reports."""

from __future__ import annotations

import dataclasses

import pytest

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.core import attempts
from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.gateway import retry_policy
from goldcresthall.platform import request_client
from goldcresthall.platform import server_signals


@pytest.mark.parametrize(
    ("error", "reason"),
    [
        (exceptions.ConnectFailedError, outcomes.RefusalReason.CONNECT_FAILED),
        (exceptions.ConnectionRejectedError, outcomes.RefusalReason.SERVER_SHED),
    ],
)
def test_request_without_a_connection_was_not_run(
    error: type[exceptions.ConnectFailedError], reason: outcomes.RefusalReason
) -> None:
    """An overloaded server's reset once ended requests as unknown, which forbids a new try."""
    attempt = request_client._describe_failure(error(outcomes.Step.CONNECT, "reset"))
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is reason
    assert not retry_policy.was_sent(attempt)


def test_request_that_failed_before_its_first_byte_was_not_run() -> None:
    """It was reported as unknown, so that an order could not be repeated."""
    error = exceptions.NotSentError(outcomes.Step.SEND, "broken pipe")
    attempt = request_client._describe_failure(error)
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert not retry_policy.was_sent(attempt)


def test_request_without_time_left_after_the_connect_does_not_count_against_the_server() -> None:
    """It was reported as a failed connect, for which the server was avoided."""
    error = exceptions.SendExpiredError(outcomes.Step.SEND, "no longer allowed")
    attempt = request_client._describe_failure(error)
    assert isinstance(attempt, attempts.AttemptNotRun)
    assert attempt.reason is outcomes.RefusalReason.DEADLINE_EXPIRED
    assert attempt.step is outcomes.Step.CONNECT
    assert not retry_policy.was_sent(attempt)


def create_raw_response(status: int, *headers: tuple[str, str]) -> exchange.RawResponse:
    fixed = (("Goldcresthall-Request-Id", "mine"), ("Goldcresthall-Response-Signature", "1f"))
    named = tuple(outcomes.Header(name, value) for name, value in (*fixed, *headers))
    return exchange.RawResponse(status, named, b"")


@pytest.mark.parametrize(("value", "expected"), [("1", True), (" 1 ", True), ("0", False)])
def test_draining_is_read_from_any_response(value: str, *, expected: bool) -> None:
    for status in (200, 503):
        not_run = (("Goldcresthall-Not-Executed", "1"),) if status != 200 else ()
        response = create_raw_response(status, ("Server-Leaving", value), *not_run)
        assert request_client._decode(response, "mine").signals.draining is expected


def test_closed_connection_does_not_mean_that_the_server_is_draining() -> None:
    response = create_raw_response(200, ("Connection", "close"))
    assert not request_client._decode(response, "mine").signals.draining


def test_signals_of_a_response_to_another_request_are_not_read() -> None:
    response = create_raw_response(200, ("Server-Leaving", "1"))
    assert not request_client._decode(response, "other").signals.draining


@pytest.mark.parametrize(
    ("text", "expected_s"),
    [
        ("1.5", 1.5),
        ("0", 0.0),
        ("-3", 0.0),
        ("soon", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ("31536000", server_signals.MAX_RETRY_AFTER_S),
    ],
)
def test_pause_that_a_server_asks_for_is_bounded(text: str, expected_s: float) -> None:
    response = create_raw_response(503, ("Retry-After", text), ("Goldcresthall-Not-Executed", "1"))
    assert request_client._decode(response, "mine").signals.pause_s == expected_s


def test_only_a_server_that_sheds_load_asks_for_a_pause() -> None:
    for status in (200, 429, 500):
        response = create_raw_response(status, ("Retry-After", "2"))
        assert request_client._decode(response, "mine").signals.pause_s == 0.0


REFUSED = ("Goldcresthall-Not-Executed", "1")


def create_refusal(
    status: int, request_id: str | None, *headers: tuple[str, str], is_first: bool
) -> exchange.RawResponse:
    echo = () if request_id is None else (("Goldcresthall-Request-Id", request_id),)
    named = tuple(outcomes.Header(name, value) for name, value in (*echo, REFUSED, *headers))
    return exchange.RawResponse(status, named, b"", is_first)


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_refusal_without_an_id_on_a_kept_connection_proves_nothing(status: int) -> None:
    """A copy of the refusal of another request was taken for this one's (REFUSED, TWICE)."""
    attempt = request_client._decode(create_refusal(status, None, is_first=False), "mine")
    assert isinstance(attempt, attempts.AttemptUnknown)
    assert attempt.reason is outcomes.UnknownReason.ANSWER_MISMATCHED
    assert retry_policy.find_retry_reason(attempt, idempotent=False) is None


def test_misdirection_without_an_id_on_a_kept_connection_proves_nothing() -> None:
    """Status 421 says "not run" also without the header (REFUSED, TWICE)."""
    attempt = request_client._decode(exchange.RawResponse(421, (), b""), "mine")
    assert isinstance(attempt, attempts.AttemptUnknown)


@pytest.mark.parametrize("is_first", [True, False])
def test_refusal_of_another_request_proves_nothing(*, is_first: bool) -> None:
    refusal = create_refusal(503, "other", is_first=is_first)
    assert isinstance(request_client._decode(refusal, "mine"), attempts.AttemptUnknown)


@pytest.mark.parametrize(("request_id", "is_first"), [("mine", False), (None, True)])
def test_refusal_that_can_be_no_copy_means_that_the_request_was_not_run(
    request_id: str | None, *, is_first: bool
) -> None:
    for status in (421, 429, 503):
        refusal = create_refusal(status, request_id, is_first=is_first)
        assert isinstance(request_client._decode(refusal, "mine"), attempts.AttemptNotRun)


def test_copy_of_a_refusal_still_tells_of_draining_and_pause_but_not_of_load() -> None:
    """What a server wants holds beyond one response; its load does not."""
    refusal = create_refusal(
        503,
        None,
        ("Server-Leaving", "1"),
        ("Retry-After", "2"),
        ("Goldcresthall-Server-Load", "1,1,4"),
        is_first=False,
    )
    signals = request_client._decode(refusal, "mine").signals
    assert signals == attempts.ServerSignals(draining=True, load=None, pause_s=2.0)


@pytest.mark.parametrize(
    ("text", "load", "queued", "slowdown"),
    [
        ("3,2,4", 5.0, 2, None),
        ("3, 0 ,4", 3.0, 0, None),
        ("3,2,4,100", 5.0, 2, 1.0),
        (" 3 , 2 , 4 , 287 ", 5.0, 2, 2.87),
    ],
)
def test_load_is_read_with_and_without_a_slowdown(
    text: str, load: float, queued: int, slowdown: float | None
) -> None:
    response = create_raw_response(200, ("Goldcresthall-Server-Load", text))
    signals = request_client._decode(response, "mine").signals
    assert signals == attempts.ServerSignals(load=load, queued=queued, slowdown=slowdown)


@pytest.mark.parametrize(
    "text",
    [
        *("", "3,2", "3,2,4,", "3,2,4,0", "3,2,4,1.5", "3,2,4,100,1", "3,-2,4", "+3,2,4", "3,2,x"),
        *("\u00b2,2,4", "\u0663,2,4", "3,2,4,100\n", "9999999999,2,4", "3,2,4;100"),
    ],
)
def test_nothing_of_a_malformed_load_is_believed(text: str) -> None:
    """A superscript digit passed a check by ``isdigit`` and ended the decoding with an error."""
    response = create_raw_response(200, ("Goldcresthall-Server-Load", text))
    assert request_client._decode(response, "mine").signals == attempts.NO_SIGNALS


@pytest.mark.parametrize(
    ("changes", "is_new"),
    [
        ({}, False),
        ({"idempotent": False}, True),
        ({"request_id": ""}, True),
        ({"sent_before": True}, True),
    ],
)
def test_only_a_first_send_of_an_idempotent_request_uses_an_idle_connection(
    changes: dict[str, object], *, is_new: bool
) -> None:
    dispatch = attempts.Dispatch(
        request_id="mine",
        server=preset.BackendServer(
            name="one",
            address=identity.Address("127.0.0.1", 1),
            failure_domain="near",
            draining=False,
        ),
        connection_limit=1,
        method="GET",
        target="/",
        headers=(),
        body=b"",
        timeout_s=1.0,
    )
    changed = dataclasses.replace(dispatch, **changes)  # type: ignore[arg-type]
    assert request_client._needs_new_connection(changed) is is_new
