"""Tests of grants and releases against a server that sends copies of earlier responses."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
from typing import TYPE_CHECKING
from typing import Any

import prometheus_client
import pytest

from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_metrics
from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.platform import grant_client
from goldcresthall.ranges import grants
from tests.fakes import clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

KEYS = key_ranges.KeyRange(0, 9)
GRANT = grants.GrantCommand(lease_id=1, keys=KEYS, fence=3, lease_s=2.0)
RELEASE = grants.ReleaseCommand(lease_id=1, keys=KEYS, fence=3)
GRANTED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 200 OK\r\nGoldcresthall-Lease-Handover: abc\r\nContent-Length: 0\r\n\r\n"


class CommandServer:
    """Answers each command with what `respond` returns for its connection and head."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.respond: Callable[[int, bytes], bytes] = answer_soundly
        self._connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def registered(self) -> deployment.RegisteredServer:
        """The server as it is registered."""
        return deployment.RegisteredServer(
            incarnation=deployment.ServerIncarnation("one", 1),
            service="ledger",
            address=identity.Address(*self._listener.getsockname()),
            failure_domain="near",
            slots=4,
            draining=False,
            slow_start_remaining_s=0.0,
        )

    def stop(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._listener.accept()
                self._connections += 1
                number = self._connections
                threading.Thread(target=self._serve, args=(accepted, number), daemon=True).start()

    def _serve(self, accepted: socket.socket, number: int) -> None:
        with accepted, contextlib.suppress(OSError):
            while request := accepted.recv(65_536):
                accepted.sendall(self.respond(number, request))


def answer_soundly(number: int, request: bytes) -> bytes:
    """Answer as a sound server does."""
    return GRANTED if b"/api/grant" in request else RELEASED


@pytest.fixture
def server() -> Iterator[CommandServer]:
    """Return a running server."""
    started = CommandServer()
    yield started
    started.stop()


@pytest.fixture
def registry() -> prometheus_client.CollectorRegistry:
    """Return the registry of the channel's metrics."""
    return prometheus_client.CollectorRegistry()


@pytest.fixture
def channel(
    registry: prometheus_client.CollectorRegistry,
) -> Iterator[grant_client.PlatformGrantChannel]:
    """Return a channel that has been started."""
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, clock.ManualClock())
    metrics = exchange_metrics.ExchangeMetrics(registry)
    created = grant_client.PlatformGrantChannel(service_kernel, metrics)
    created.start()
    yield created
    created.stop()


def test_release_returns_the_handover(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    assert channel.grant(server.registered, GRANT) == grants.Granted(may_be_copy=False)
    assert channel.release(server.registered, RELEASE) == grants.Released("abc")


def test_copied_response_to_a_grant_is_not_taken_for_a_release(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    """Keys were given on while their holder was still at work on them (OWNER)."""
    assert channel.grant(server.registered, GRANT) == grants.Granted(may_be_copy=False)
    server.respond = lambda number, request: GRANTED
    outcome = channel.release(server.registered, RELEASE)
    assert isinstance(outcome, grants.CommandRejected)


def test_copied_response_to_an_earlier_release_is_not_taken_for_the_next_one(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    """A copy of an earlier release's response bears a handover as well (OWNER)."""
    assert channel.release(server.registered, RELEASE) == grants.Released("abc")
    outcome = channel.release(server.registered, RELEASE)
    assert isinstance(outcome, grants.CommandRejected)


def test_connection_on_which_a_copy_came_is_not_used_again(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    """The response that was due may still follow the copy."""
    used: list[int] = []

    def respond(number: int, request: bytes) -> bytes:
        used.append(number)
        return GRANTED

    server.respond = respond
    channel.grant(server.registered, GRANT)
    channel.release(server.registered, RELEASE)
    channel.grant(server.registered, GRANT)
    assert used == [1, 1, 2]


def test_release_uses_a_kept_connection(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    """An overloaded server resets new connections, so that no key could be moved from it."""
    used: list[int] = []

    def respond(number: int, request: bytes) -> bytes:
        used.append(number)
        return answer_soundly(number, request)

    server.respond = respond
    channel.grant(server.registered, GRANT)
    channel.release(server.registered, RELEASE)
    channel.grant(server.registered, GRANT)
    assert used == [1, 1, 1]


def test_grant_is_not_sent_after_the_end_of_the_authority(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    late = grants.GrantCommand(lease_id=1, keys=KEYS, fence=3, lease_s=2.0, send_by_s=0.0)
    assert isinstance(channel.grant(server.registered, late), grants.CommandNotSent)


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (409, grants.StaleFence),
        (421, grants.CommandMisdirected),
        (404, grants.CommandMisdirected),
        (503, grants.CommandRejected),
        (429, grants.CommandRejected),
    ],
)
def test_status_of_a_grant(
    server: CommandServer,
    channel: grant_client.PlatformGrantChannel,
    status: int,
    expected: type[grants.CommandOutcome],
) -> None:
    response = f"HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n".encode()
    server.respond = lambda number, request: response
    assert isinstance(channel.grant(server.registered, GRANT), expected)


def test_commands_are_counted_by_outcome_and_age_of_the_connection(
    server: CommandServer,
    channel: grant_client.PlatformGrantChannel,
    registry: prometheus_client.CollectorRegistry,
) -> None:
    channel.grant(server.registered, GRANT)
    server.respond = lambda number, request: b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
    outcome = channel.grant(server.registered, GRANT)
    assert outcome == grants.StaleFence("status 409 on a kept connection", may_be_executed=True)
    for labels in (("Granted", "new"), ("StaleFence", "kept")):
        named = dict(zip(("command", "outcome", "connection"), ("grant", *labels), strict=True))
        assert registry.get_sample_value("goldcresthall_range_commands_total", named) == 1


def test_response_that_answers_nothing_is_counted(
    server: CommandServer,
    channel: grant_client.PlatformGrantChannel,
    registry: prometheus_client.CollectorRegistry,
) -> None:
    server.respond = lambda number, request: GRANTED + GRANTED
    channel.grant(server.registered, GRANT)
    counted = registry.get_sample_value(
        "goldcresthall_surplus_responses_total", {"traffic": "commands"}
    )
    assert counted == 1


NOT_EXECUTED = b"503 Unavailable\r\nGoldcresthall-Not-Executed: 1"


@pytest.mark.parametrize("status", [b"409 Conflict", b"421 Misdirected", NOT_EXECUTED])
def test_refusal_means_not_executed_only_on_a_new_connection(
    server: CommandServer, channel: grant_client.PlatformGrantChannel, status: bytes
) -> None:
    """A copied refusal was taken for the one to a grant that was executed (OWNER)."""
    channel.grant(server.registered, GRANT)
    server.respond = lambda number, request: b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status
    for may_be_executed in (True, False):
        outcome = channel.grant(server.registered, GRANT)
        assert isinstance(outcome, grants.Refusal)
        assert outcome.may_be_executed is may_be_executed


@pytest.mark.parametrize("status", [b"500 Failed", b"503 Unavailable", b"504 Late", b"204 Empty"])
def test_status_that_does_not_say_not_executed_leaves_a_grant_in_doubt(
    server: CommandServer, channel: grant_client.PlatformGrantChannel, status: bytes
) -> None:
    """Keys were given on although their server had executed the grant that it failed (OWNER)."""
    server.respond = lambda number, request: b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status
    outcome = channel.grant(server.registered, GRANT)
    assert isinstance(outcome, grants.CommandRejected)
    assert outcome.may_be_executed


def test_only_an_acknowledgement_on_a_new_connection_is_certainly_no_copy(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    """A copied acknowledgement was taken for the one to a grant that was executed later (OWNER)."""
    for may_be_copy in (False, True, True):
        assert channel.grant(server.registered, GRANT) == grants.Granted(may_be_copy=may_be_copy)


def test_grant_that_needs_proof_goes_over_a_new_connection(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    used: list[int] = []

    def respond(number: int, request: bytes) -> bytes:
        used.append(number)
        return GRANTED

    server.respond = respond
    channel.grant(server.registered, GRANT)
    needing = dataclasses.replace(GRANT, needs_proof=True)
    assert channel.grant(server.registered, needing) == grants.Granted(may_be_copy=False)
    assert used == [1, 2]


def test_grant_that_needs_proof_is_not_sent_if_the_new_connection_is_refused(
    server: CommandServer, channel: grant_client.PlatformGrantChannel
) -> None:
    """An overloaded server rejects new connections; the kept one serves the next grant."""
    registered = server.registered
    channel.grant(registered, GRANT)
    server.stop()
    needing = dataclasses.replace(GRANT, needs_proof=True)
    assert isinstance(channel.grant(registered, needing), grants.CommandNotSent)
    assert channel.grant(registered, GRANT) == grants.Granted(may_be_copy=True)


def test_grant_is_given_up_when_the_authority_ends(
    server: CommandServer,
    channel: grant_client.PlatformGrantChannel,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A grant that a partition held up arrived after the successor's wait had begun (OWNER)."""
    timeouts_s: list[float] = []
    send = channel._pool.send

    def record_timeout(*args: Any, **options: Any) -> exchange.RawResponse:
        timeouts_s.append(args[3])
        return send(*args, **options)

    monkeypatch.setattr(channel._pool, "send", record_timeout)
    now_s = channel._clock.read_s()
    channel.grant(server.registered, dataclasses.replace(GRANT, send_by_s=now_s + 0.25))
    assert timeouts_s == [0.25]
