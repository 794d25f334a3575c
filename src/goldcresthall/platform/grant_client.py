"""Grants and releases of key ranges over the platform's protocol."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.backend import exceptions
from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_pool
from goldcresthall.backend import response_memory
from goldcresthall.core import outcomes
from goldcresthall.kernel import cancellation
from goldcresthall.kernel import clock
from goldcresthall.kernel import names as service_names
from goldcresthall.platform import names
from goldcresthall.platform import server_signals
from goldcresthall.ranges import grants

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.backend import exchange_metrics
    from goldcresthall.core import deployment
    from goldcresthall.kernel import kernel

GRANT_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 3.5
STATUS_OK = 200
STATUS_CONFLICT = 409
# A server of another service does not know grants, or is not the one that is named.
MISDIRECTED_STATUSES: Final = frozenset({400, 404, 405, 421, 501})
MAX_IDLE_CONNECTIONS = 3
MAX_REMEMBERED_HANDOVERS = 4_096
TRAFFIC: Final = "commands"
RESPONSE_LIMITS: Final = response_memory.ResponseLimits(max_body_bytes=65_536, total_bytes=0)


class ReceivedHandovers:
    """The handovers received last, by which a copy of an earlier response is recognized."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._received: dict[str, None] = {}

    def is_new(self, handover: str) -> bool:
        """Return whether a response with this handover can be the one to a new release."""
        return bool(handover) and handover not in self._received

    def take(self, handover: str) -> bool:
        """Record a handover; return whether it is new."""
        with self._lock:
            if not self.is_new(handover):
                return False
            self._received[handover] = None
            if len(self._received) > MAX_REMEMBERED_HANDOVERS:
                del self._received[next(iter(self._received))]
            return True


class PlatformGrantChannel(grants.GrantChannel):
    """Sends grants and releases to backend servers over a separate connection pool."""

    def __init__(
        self, service_kernel: kernel.Kernel, metrics: exchange_metrics.ExchangeMetrics
    ) -> None:
        self._kernel = service_kernel
        self._metrics = metrics
        self._pool = exchange_pool.ExchangePool(
            RESPONSE_LIMITS,
            lambda: metrics.count_surplus(TRAFFIC),
            count_use=lambda use: metrics.count_connection(TRAFFIC, use),
        )
        self._handovers = ReceivedHandovers()

    def start(self) -> None:
        """Look up the clock; connections are opened when needed."""
        self._clock = self._kernel.find(service_names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Close all connections."""
        self._pool.close()

    def grant(
        self, server: deployment.RegisteredServer, command: grants.GrantCommand
    ) -> grants.CommandOutcome:
        """Grant or renew the lease on a key range.

        A server may send a copy of an earlier response where the next one is due. So a response
        proves nothing on a connection that has carried other commands. After a refusal the
        connection is closed, as the response that is due may follow.
        """
        # `target` is the last key of the range; in the header it names a server.
        document: dict[str, int | float | str] = {
            "from": command.keys.first,
            "target": command.keys.last,
            "fence": command.fence,
            "hold_s": command.lease_s,
        }
        if command.handover:
            document["handover"] = command.handover
        response = self._call(
            server,
            names.GRANT_PATH,
            document,
            min(GRANT_TIMEOUT_S, max(0.0, command.send_by_s - self._clock.read_s())),
            new_connection=command.needs_proof,
            may_send=lambda: self._clock.read_s() < command.send_by_s,
            is_due=lambda received: received.status == STATUS_OK,
        )
        return self._count("grant", response, _decode_grant(response))

    def release(
        self, server: deployment.RegisteredServer, command: grants.ReleaseCommand
    ) -> grants.CommandOutcome:
        """Release a key range and wait until its requests in progress have ended.

        A server may send a copy of an earlier response where the next one is due, which would free
        keys that are in use. So only a handover that was never received before completes a
        release.
        """
        document: dict[str, int | float | str] = {
            "from": command.keys.first,
            "target": command.keys.last,
            "fence": command.fence,
        }
        response = self._call(
            server,
            names.RELEASE_PATH,
            document,
            RELEASE_TIMEOUT_S,
            is_due=lambda received: self._handovers.is_new(_find_handover(received)),
        )
        return self._count("release", response, self._decode_release(response))

    def _decode_release(
        self, response: exchange.RawResponse | grants.CommandOutcome
    ) -> grants.CommandOutcome:
        if not isinstance(response, exchange.RawResponse):
            return response
        handover = _find_handover(response)
        if self._handovers.take(handover):
            return grants.Released(handover)
        return grants.CommandRejected(f"{_describe(response)}, handover {handover!r}")

    def _count(
        self,
        command: str,
        response: exchange.RawResponse | grants.CommandOutcome,
        outcome: grants.CommandOutcome,
    ) -> grants.CommandOutcome:
        is_first = isinstance(response, exchange.RawResponse) and response.is_first
        self._metrics.count_command(command, type(outcome).__name__, is_first_exchange=is_first)
        return outcome

    def _call(
        self,
        server: deployment.RegisteredServer,
        path: str,
        document: dict[str, int | float | str],
        timeout_s: float,
        *,
        new_connection: bool = False,
        may_send: Callable[[], bool] | None = None,
        is_due: Callable[[exchange.RawResponse], bool] | None = None,
    ) -> exchange.RawResponse | grants.CommandOutcome:
        headers = (
            outcomes.Header("Host", str(server.address)),
            outcomes.Header("Content-Type", "application/json"),
            outcomes.Header(names.TARGET_INSTANCE, server.name),
        )
        body = _encode(document)
        request = exchange.RawRequest("POST", path, headers, body)
        cancelled = cancellation.Cancellation()
        try:
            return self._pool.send(
                server.address,
                request,
                names.REQUEST_ID,
                timeout_s,
                cancelled,
                max_idle=MAX_IDLE_CONNECTIONS,
                new_connection=new_connection,
                may_send=may_send,
                is_due=is_due,
            )
        except exceptions.ConnectFailedError as error:
            return grants.CommandNotSent(str(error))
        except exceptions.ExchangeError as error:
            return grants.CommandUnanswered(f"{error.step.value}: {error}")
        finally:
            cancelled.end()


def _decode_grant(
    response: exchange.RawResponse | grants.CommandOutcome,
) -> grants.CommandOutcome:
    if not isinstance(response, exchange.RawResponse):
        return response
    may_be_copy = not response.is_first
    if response.status == STATUS_OK:
        return grants.Granted(server_signals.is_leaving(response), may_be_copy)
    if response.status == STATUS_CONFLICT:
        return grants.StaleFence(_describe(response), may_be_copy)
    if response.status in MISDIRECTED_STATUSES:
        return grants.CommandMisdirected(_describe(response), may_be_copy)
    # A server's own failure (500, 504) may come after the command was executed.
    may_be_executed = may_be_copy or response.find(names.NOT_EXECUTED) is None
    return grants.CommandRejected(_describe(response), may_be_executed)


def _describe(response: exchange.RawResponse) -> str:
    connection = "a new" if response.is_first else "a kept"
    return f"status {response.status} on {connection} connection"


def _find_handover(response: exchange.RawResponse) -> str:
    """Return the handover of a completed release; empty if the response is none."""
    is_completed = response.status == STATUS_OK
    return (response.find(names.LEASE_HANDOVER) or "") if is_completed else ""


def _encode(document: dict[str, int | float | str]) -> bytes:
    """Return a grant or release command as a JSON body."""
    return json.dumps(document, separators=(",", ":")).encode()
