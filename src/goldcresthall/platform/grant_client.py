"""Grants and releases of keys in the platform's form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.backend import exchange
from goldcresthall.backend import exchange_pool
from goldcresthall.core import outcomes
from goldcresthall.kernel import cancellation
from goldcresthall.platform import names
from goldcresthall.platform import request_client
from goldcresthall.ranges import grants

if TYPE_CHECKING:
    from goldcresthall.core import deployment

GRANT_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 3.5
STATUS_OK = 200
STATUS_CONFLICT = 409
MAX_IDLE_CONNECTIONS = 3


class PlatformGrantChannel(grants.GrantChannel):
    """Sends grants and releases over connections of their own."""

    def __init__(self) -> None:
        self._pool = exchange_pool.ExchangePool()

    def start(self) -> None:
        """Do nothing; connections are opened when needed."""

    def stop(self) -> None:
        """Close all connections."""
        self._pool.close()

    def grant(
        self, server: deployment.RegisteredServer, order: grants.GrantCommand
    ) -> grants.CommandOutcome:
        """Grant or renew."""
        # `target` is the last key here; elsewhere the word names a header's server.
        document: dict[str, int | float | str] = {
            "from": order.keys.first,
            "target": order.keys.last,
            "fence": order.fence,
            "hold_s": order.lease_s,
        }
        if order.handover:
            document["handover"] = order.handover
        response = self._call(server, names.GRANT_PATH, document, GRANT_TIMEOUT_S)
        if not isinstance(response, exchange.RawResponse):
            return response
        if response.status == STATUS_OK:
            return grants.Granted()
        if response.status == STATUS_CONFLICT:
            return grants.StaleFence()
        return grants.CommandRejected(f"status {response.status}")

    def release(
        self, server: deployment.RegisteredServer, order: grants.ReleaseCommand
    ) -> grants.CommandOutcome:
        """Take keys back and wait until the work on them has ended."""
        document: dict[str, int | float | str] = {
            "from": order.keys.first,
            "target": order.keys.last,
            "fence": order.fence,
        }
        response = self._call(server, names.RELEASE_PATH, document, RELEASE_TIMEOUT_S)
        if not isinstance(response, exchange.RawResponse):
            return response
        if response.status == STATUS_OK:
            return grants.Released(response.find(names.LEASE_HANDOVER) or "")
        return grants.CommandRejected(f"status {response.status}")

    def _call(
        self,
        server: deployment.RegisteredServer,
        path: str,
        document: dict[str, int | float | str],
        timeout_s: float,
    ) -> exchange.RawResponse | grants.CommandOutcome:
        headers = (
            outcomes.Header("Host", str(server.address)),
            outcomes.Header("Content-Type", "application/json"),
            outcomes.Header(names.TARGET_INSTANCE, server.name),
        )
        body = request_client.encode_command(document)
        request = exchange.RawRequest("POST", path, headers, body)
        try:
            return self._pool.send(
                server.address,
                request,
                names.REQUEST_ID,
                timeout_s,
                cancellation.Cancellation(),
                max_idle=MAX_IDLE_CONNECTIONS,
                new_connection=False,
            )
        except exchange.ConnectFailedError as error:
            return grants.CommandNotSent(str(error))
        except exchange.ExchangeError as error:
            return grants.CommandUnanswered(f"{error.step.value}: {error}")
