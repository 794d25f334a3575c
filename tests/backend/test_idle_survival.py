"""Tests of how long idle connections are reused, and of what shortens that time."""

from __future__ import annotations

import socket
import time
import types
from typing import TYPE_CHECKING

import pytest

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_metrics
from goldcresthall.backend import exchange_pool
from goldcresthall.backend import idle_survival
from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.kernel import cancellation
from tests.backend import test_exchange
from tests.fakes import clock

if TYPE_CHECKING:
    from collections.abc import Iterator

ADDRESSES = tuple(identity.Address("127.0.0.1", port) for port in range(1, 9))
ALLOWED_S = 8.0
LOST = exceptions.ConnectionLostError(outcomes.Step.RECEIVE, "reset")
TIMED_OUT = exceptions.TimedOutError(outcomes.Step.RECEIVE, "timed out")


@pytest.fixture
def manual() -> clock.ManualClock:
    return clock.ManualClock()


@pytest.fixture
def survival(manual: clock.ManualClock) -> idle_survival.IdleSurvival:
    return idle_survival.IdleSurvival(manual.read_s)


def test_without_failures_the_servers_timeout_is_used_almost_in_full(
    survival: idle_survival.IdleSurvival,
) -> None:
    assert survival.find_limit_s(ADDRESSES[0], ALLOWED_S) == ALLOWED_S
    assert idle_survival.LEARNING.find_max_idle_s(5.0) == pytest.approx(4.5)
    assert idle_survival.CAUTIOUS.find_max_idle_s(5.0) == pytest.approx(2.5)
    assert idle_survival.LEARNING.find_max_idle_s(600.0) == 15.0


@pytest.mark.parametrize(
    ("header", "timeout_s"),
    [
        ("timeout=5", 5.0),
        ("max=100, timeout=12", 12.0),
        ("timeout=\u00b2", None),
        ("timeout=-1", None),
        ("timeout=" + "9" * 5_000, None),
        ("xtimeout=5", None),
        (None, None),
    ],
)
def test_idle_timeout_is_read_only_from_whole_seconds(
    header: str | None, timeout_s: float | None
) -> None:
    """A superscript digit passed a check by ``isdigit`` and ended the exchange with an error."""
    assert idle_survival.parse_timeout_s(header) == timeout_s


def test_failure_shortens_the_limit_of_its_address_only(
    survival: idle_survival.IdleSurvival,
) -> None:
    """A server that ended says nothing of the others."""
    survival.record_failure(ADDRESSES[0], 3.0)
    assert survival.find_limit_s(ADDRESSES[0], ALLOWED_S) == pytest.approx(1.5)
    assert survival.find_limit_s(ADDRESSES[1], ALLOWED_S) == ALLOWED_S


def test_few_failures_find_servers_that_forget_connections_after_a_third_of_a_second(
    survival: idle_survival.IdleSurvival,
) -> None:
    failures = 0
    for number in range(400):
        address = ADDRESSES[number % len(ADDRESSES)]
        idle_s = 0.02 + (number * 0.37) % 6.0
        if 0.33 < idle_s <= survival.find_limit_s(address, ALLOWED_S):
            survival.record_failure(address, idle_s)
            failures += 1
    assert failures <= 10
    assert survival.find_limit_s(ADDRESSES[0], ALLOWED_S) < 0.7


def test_failures_are_forgotten_after_a_minute(
    survival: idle_survival.IdleSurvival, manual: clock.ManualClock
) -> None:
    for address in ADDRESSES:
        survival.record_failure(address, 0.4)
    manual.advance(idle_survival.MEMORY_S)
    assert survival.find_limit_s(ADDRESSES[0], ALLOWED_S) == ALLOWED_S


def test_longer_idle_time_does_not_renew_a_shorter_one(
    survival: idle_survival.IdleSurvival, manual: clock.ManualClock
) -> None:
    """Two servers that crashed stopped the reuse of connections to all servers for minutes."""
    for address in ADDRESSES[:2]:
        survival.record_failure(address, 0.3)
    manual.advance(idle_survival.MEMORY_S - 1.0)
    for address in ADDRESSES[:2]:
        survival.record_failure(address, 6.0)
    assert survival.find_limit_s(ADDRESSES[2], ALLOWED_S) == pytest.approx(0.15)
    manual.advance(2.0)
    assert survival.find_limit_s(ADDRESSES[0], ALLOWED_S) == pytest.approx(3.0)
    assert survival.find_limit_s(ADDRESSES[2], ALLOWED_S) == ALLOWED_S


def test_failure_after_a_short_idle_time_says_nothing(
    survival: idle_survival.IdleSurvival,
) -> None:
    for address in ADDRESSES:
        survival.record_failure(address, 0.19)
    assert survival.find_limit_s(ADDRESSES[0], ALLOWED_S) == ALLOWED_S


@pytest.mark.parametrize(("takes_s", "count"), [(0.0, 1), (0.2, 0)])
def test_loss_counts_as_a_forgotten_connection_only_right_after_the_send(
    monkeypatch: pytest.MonkeyPatch, takes_s: float, count: int
) -> None:
    recorded: list[float] = []
    pool = exchange_pool.ExchangePool(test_exchange.LIMITS, policy=idle_survival.LEARNING)
    monkeypatch.setattr(
        pool._survival, "record_failure", lambda address, idle_s: recorded.append(idle_s)
    )

    def fail(used: exchange.Connection) -> exchange.RawResponse:
        time.sleep(takes_s)
        raise LOST

    used = types.SimpleNamespace(idle_s=1.0)
    with pytest.raises(exceptions.ConnectionLostError):
        pool._use_idle(
            ADDRESSES[0],
            used,  # type: ignore[arg-type]
            fail,
            cancellation.Cancellation(),
        )
    assert len(recorded) == count


def test_interrupt_is_no_sign_of_a_forgotten_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """An attempt that was ended early shortened the time for which connections are reused."""
    recorded: list[float] = []
    pool = exchange_pool.ExchangePool(test_exchange.LIMITS, policy=idle_survival.LEARNING)
    monkeypatch.setattr(
        pool._survival, "record_failure", lambda address, idle_s: recorded.append(idle_s)
    )
    cancelled = cancellation.Cancellation()

    def fail(used: exchange.Connection) -> exchange.RawResponse:
        cancelled.interrupt()
        raise LOST

    used = types.SimpleNamespace(idle_s=1.0)
    with pytest.raises(exceptions.ConnectionLostError) as raised:
        pool._use_idle(ADDRESSES[0], used, fail, cancelled)  # type: ignore[arg-type]
    assert not isinstance(raised.value, exceptions.ConnectionForgottenError)
    assert recorded == []


def test_memory_for_failures_is_bounded(survival: idle_survival.IdleSurvival) -> None:
    for port in range(idle_survival.MAX_ADDRESSES + 10):
        survival.record_failure(identity.Address("127.0.0.1", port), 1.0)
    assert len(survival._failures) == idle_survival.MAX_ADDRESSES


@pytest.mark.parametrize(("new_timeouts", "is_sign"), [(0, True), (10, False)])
def test_timeouts_are_a_sign_only_if_reused_connections_have_far_more_of_them(
    survival: idle_survival.IdleSurvival, new_timeouts: int, *, is_sign: bool
) -> None:
    """A full server that never answers times out on new connections alike."""
    for number in range(40):
        survival.record_use(is_reused=True, has_timed_out=number < 10)
        survival.record_use(is_reused=False, has_timed_out=number < new_timeouts)
    assert idle_survival.is_sign_of_loss(TIMED_OUT, survival) is is_sign
    assert idle_survival.is_sign_of_loss(LOST, survival)
    truncated = exceptions.TruncatedError(outcomes.Step.RECEIVE, "short")
    assert not idle_survival.is_sign_of_loss(truncated, survival)


class ForgetfulServer:
    """A server that resets a connection on the second request that arrives on it."""

    def __init__(self) -> None:
        self.server = test_exchange.ScriptedServer(self._serve)

    def _serve(self, connection: socket.socket) -> None:
        connection.recv(4_096)
        connection.sendall(test_exchange.create_response("mine", b"true"))
        connection.recv(4_096)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, exchange.RESET_ON_CLOSE)


@pytest.fixture
def forgetful() -> Iterator[ForgetfulServer]:
    created = ForgetfulServer()
    yield created
    created.server.stop()


@pytest.mark.parametrize("learns", [True, False])
def test_request_on_a_forgotten_connection_is_sent_once_and_reported_as_such(
    forgetful: ForgetfulServer, *, learns: bool
) -> None:
    """Its owner counted as overloaded after the loss; a request must never be sent twice unseen."""
    uses: list[exchange_metrics.ConnectionUse] = []
    pool = exchange_pool.ExchangePool(
        test_exchange.LIMITS,
        policy=idle_survival.LEARNING if learns else idle_survival.CAUTIOUS,
        count_use=uses.append,
    )

    def send() -> bytes:
        return pool.send(
            forgetful.server.address,
            test_exchange.REQUEST,
            test_exchange.ID_HEADER,
            test_exchange.TEST_TIMEOUT_S,
            cancellation.Cancellation(),
            max_idle=1,
            new_connection=False,
        ).body

    assert send() == b"true"
    assert pool.has_idle(forgetful.server.address)
    assert not pool.has_idle(ADDRESSES[0])
    with pytest.raises(exceptions.ConnectionLostError) as raised:
        send()
    assert isinstance(raised.value, exceptions.ConnectionForgottenError) is learns
    assert forgetful.server.accepted == 1
    assert send() == b"true"
    use = exchange_metrics.ConnectionUse
    forgotten = [use.FORGOTTEN] if learns else []
    assert uses == [use.OPENED, use.REUSED, *forgotten, use.OPENED]
    pool.close()
