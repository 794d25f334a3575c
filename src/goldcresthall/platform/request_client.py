"""HTTP client for requests to the platform's backend servers."""

from __future__ import annotations

import dataclasses
import functools
import time
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_pool
from goldcresthall.backend import idle_survival
from goldcresthall.backend import request_sender
from goldcresthall.backend import response_memory
from goldcresthall.backend import responses
from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.platform import names
from goldcresthall.platform import server_signals

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.backend import exchange_metrics
    from goldcresthall.core import deployment_settings
    from goldcresthall.core import identity
    from goldcresthall.kernel import cancellation
    from goldcresthall.memory import ledger

MS_PER_S = 1_000
MIN_ERROR_STATUS = 400
STATUS_MISDIRECTED = 421
STATUS_BAD_REQUEST = 400
MAX_IDLE_CONNECTIONS = 4
TRAFFIC: Final = "requests"

NOT_FORWARDED: Final = responses.HOP_BY_HOP_HEADERS | {
    "content-length",
    names.DEADLINE,
    names.TARGET_INSTANCE,
}
NOT_RETURNED: Final = responses.HOP_BY_HOP_HEADERS | {"content-length", names.SERVER_LOAD}


WITHDRAWN: Final = attempts.AttemptNotRun(
    outcomes.RefusalReason.SERVER_DRAINING,
    outcomes.Step.CONNECT,
    "the server left, or its entry is outdated, before the request was sent",
)


class PlatformRequestSender(request_sender.RequestSender):
    """Sends requests to backend servers over the platform's protocol.

    Parameters
    ----------
    limits
        Limits on the bodies of responses.
    metrics
        Counts surplus responses.
    memory_ledger
        Counts the bodies of all responses.
    """

    def __init__(
        self,
        limits: response_memory.ResponseLimits,
        metrics: exchange_metrics.ExchangeMetrics,
        memory_ledger: ledger.MemoryLedger | None = None,
    ) -> None:
        self._pool = exchange_pool.ExchangePool(
            limits,
            lambda: metrics.count_surplus(TRAFFIC),
            idle_survival.LEARNING,
            lambda use: metrics.count_connection(TRAFFIC, use),
            memory_ledger,
        )

    @classmethod
    def from_config(
        cls,
        instance_settings: deployment_settings.DeploymentSettings,
        metrics: exchange_metrics.ExchangeMetrics,
        memory_ledger: ledger.MemoryLedger,
    ) -> PlatformRequestSender:
        """Return the sender of an instance, with limits that fit its machine's memory."""
        machine = instance_settings.machine
        limits = response_memory.ResponseLimits(
            machine.max_body_bytes, machine.response_memory_bytes
        )
        return cls(limits, metrics, memory_ledger)

    def start(self) -> None:
        """Do nothing; connections are opened when needed."""

    def stop(self) -> None:
        """Close all connections."""
        self._pool.close()

    def has_idle(self, address: identity.Address) -> bool:
        """Return whether there is an idle connection to a server's address."""
        return self._pool.has_idle(address)

    def send(
        self,
        dispatch: attempts.Dispatch,
        cancelled: cancellation.Cancellation,
        may_send: Callable[[], bool],
    ) -> attempts.Attempt:
        """Send one request to one server; cancellation aborts it."""
        request = _encode(dispatch)
        ends_at_s = time.monotonic() + dispatch.timeout_s
        try:
            response = self._pool.send(
                dispatch.server.address,
                request,
                names.REQUEST_ID,
                dispatch.timeout_s,
                cancelled,
                max_idle=min(MAX_IDLE_CONNECTIONS, dispatch.connection_limit),
                new_connection=_needs_new_connection(dispatch),
                # A request sent without time left could only end with an unknown outcome.
                may_send=lambda: time.monotonic() < ends_at_s and may_send(),
                is_due=lambda received: _is_due(received, dispatch.request_id),
            )
        except exceptions.ExchangeError as error:
            if cancelled.is_cancelled:
                return attempts.AttemptUnknown(
                    outcomes.UnknownReason.CALLER_LEFT, error.step, "the caller disconnected"
                )
            if isinstance(error, exceptions.SendExpiredError) and time.monotonic() < ends_at_s:
                return WITHDRAWN
            return _describe_failure(error)
        return _decode(response, dispatch.request_id)


def _needs_new_connection(dispatch: attempts.Dispatch) -> bool:
    """Return whether a request must not be sent on an idle connection.

    Its server may be closing that, so a request that must run once is not risked there, nor is the
    last attempt of one whose connection was just lost. Without an id of its own, or if it was sent
    to the server before, only a new connection tells the response from a copy of an earlier one.
    """
    return not dispatch.idempotent or dispatch.sent_before or not dispatch.request_id


def _encode(dispatch: attempts.Dispatch) -> exchange.RawRequest:
    # The deadline header holds the remaining milliseconds, not a point in time.
    remaining_ms = max(1, int(dispatch.timeout_s * MS_PER_S))
    headers = (
        *(header for header in dispatch.headers if header.name.lower() not in NOT_FORWARDED),
        outcomes.Header(names.DEADLINE, str(remaining_ms)),
        outcomes.Header(names.TARGET_INSTANCE, dispatch.server.name),
    )
    return exchange.RawRequest(dispatch.method, dispatch.target, headers, dispatch.body)


def _decode(response: exchange.RawResponse, request_id: str) -> attempts.Attempt:
    signals = server_signals.read_signals(response)
    if _is_refusal(response):
        if not _is_due(response, request_id):
            return _create_unproven(response, signals)
        if response.status < MIN_ERROR_STATUS:
            return _describe_mismatch(f"status {response.status} for a request that was not run")
        return attempts.AttemptNotRun(
            _find_refusal(response.status),
            outcomes.Step.EXECUTE,
            f"status {response.status}",
            server_signals.find_retry_after_s(response),
            signals,
        )
    if response.find(names.REQUEST_ID) != request_id or response.find(names.SIGNATURE) is None:
        return _describe_mismatch(f"status {response.status} without request id or signature")
    if response.find("content-encoding") is not None:
        return _describe_mismatch("the response has a content encoding")
    returned = tuple(
        header for header in response.headers if header.name.lower() not in NOT_RETURNED
    )
    return attempts.AttemptAnswered(
        outcomes.Answer(response.status, returned, response.body), signals
    )


def _is_refusal(response: exchange.RawResponse) -> bool:
    """Return whether a response says that its request was not run."""
    return response.find(names.NOT_EXECUTED) is not None or response.status == STATUS_MISDIRECTED


def _is_due(response: exchange.RawResponse, request_id: str) -> bool:
    """Return whether a response is certainly the one to a request and no copy of an earlier one.

    It is if it echoes the request's id. A refusal without an id is if it is the first response on
    its connection.
    """
    echoed = response.find(names.REQUEST_ID)
    if not echoed:
        return response.is_first and _is_refusal(response)
    return echoed == request_id


def _create_unproven(
    response: exchange.RawResponse, signals: attempts.ServerSignals
) -> attempts.AttemptUnknown:
    """Return the attempt whose response is a refusal that may be a copy of an earlier one.

    A server that is draining stays so, and a pause that it asked for before is at most repeated.
    Its load is out of date. From a response that names another request nothing is believed.
    """
    unknown = _describe_mismatch(f"status {response.status}, perhaps a copy of an earlier refusal")
    if response.find(names.REQUEST_ID):
        return unknown
    return dataclasses.replace(
        unknown, signals=dataclasses.replace(signals, load=None, queued=None, slowdown=None)
    )


def _describe_mismatch(detail: str) -> attempts.AttemptUnknown:
    return attempts.AttemptUnknown(
        outcomes.UnknownReason.ANSWER_MISMATCHED, outcomes.Step.RECEIVE, detail
    )


def _find_refusal(status: int) -> outcomes.RefusalReason:
    if status == STATUS_MISDIRECTED:
        return outcomes.RefusalReason.NOT_OWNER
    if status == STATUS_BAD_REQUEST:
        return outcomes.RefusalReason.MALFORMED_REQUEST
    return outcomes.RefusalReason.SERVER_SHED


@functools.singledispatch
def _describe_failure(error: exceptions.ExchangeError) -> attempts.Attempt:
    return attempts.AttemptUnknown(outcomes.UnknownReason.CONNECTION_LOST, error.step, str(error))


@_describe_failure.register
def _(error: exceptions.ConnectFailedError) -> attempts.Attempt:
    return attempts.AttemptNotRun(outcomes.RefusalReason.CONNECT_FAILED, error.step, str(error))


@_describe_failure.register
def _(error: exceptions.SendExpiredError) -> attempts.Attempt:
    # No time was left once there was a connection; that says nothing of the server.
    return attempts.AttemptNotRun(
        outcomes.RefusalReason.DEADLINE_EXPIRED, outcomes.Step.CONNECT, str(error)
    )


@_describe_failure.register
def _(error: exceptions.ConnectionRejectedError) -> attempts.Attempt:
    return attempts.AttemptNotRun(outcomes.RefusalReason.SERVER_SHED, error.step, str(error))


@_describe_failure.register
def _(error: exceptions.ConnectionForgottenError) -> attempts.Attempt:
    return attempts.AttemptUnknown(
        outcomes.UnknownReason.CONNECTION_FORGOTTEN, error.step, str(error)
    )


@_describe_failure.register
def _(error: exceptions.TimedOutError) -> attempts.Attempt:
    return attempts.AttemptUnknown(outcomes.UnknownReason.ANSWER_TIMEOUT, error.step, str(error))


@_describe_failure.register
def _(error: exceptions.TooLargeError) -> attempts.Attempt:
    return attempts.AttemptUnknown(outcomes.UnknownReason.ANSWER_TOO_LARGE, error.step, str(error))


@_describe_failure.register
def _(error: exceptions.MemoryShortError) -> attempts.Attempt:
    return attempts.AttemptUnknown(outcomes.UnknownReason.MEMORY_SHORT, error.step, str(error))


@_describe_failure.register
def _(error: exceptions.TruncatedError) -> attempts.Attempt:
    return attempts.AttemptUnknown(outcomes.UnknownReason.ANSWER_TRUNCATED, error.step, str(error))
