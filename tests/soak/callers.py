"""Callers with persistent connections that reconnect to a random instance after a failure."""

from __future__ import annotations

import http.client
import threading
import uuid
from typing import TYPE_CHECKING

from tests.features import deployment_system
from tests.soak import invariants

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

REQUEST_TIMEOUT_S = 6.0
REQUEST_INTERVAL_S = 0.02
KEYED_REQUEST_FRACTION = 0.6


class Caller:
    """Sends requests in a task of its own, each once and with a unique request ID."""

    def __init__(
        self,
        list_ports: Callable[[], tuple[int, ...]],
        checker: invariants.InvariantChecker,
        generator: random.Random,
    ) -> None:
        self._list_ports = list_ports
        self._checker = checker
        self._generator = generator
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for the last response."""
        self._stopped.set()
        self._thread.join(2 * REQUEST_TIMEOUT_S)

    def _run(self) -> None:
        connection: http.client.HTTPConnection | None = None
        while not self._stopped.wait(REQUEST_INTERVAL_S):
            ports = self._list_ports()
            if connection is None and ports:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self._generator.choice(ports), timeout=REQUEST_TIMEOUT_S
                )
            if connection is not None and not self._send(connection):
                connection.close()
                connection = None

    def _send(self, connection: http.client.HTTPConnection) -> bool:
        """Send one request; return whether the connection can be reused."""
        request_id = uuid.uuid4().hex[:16]
        is_keyed = self._generator.random() < KEYED_REQUEST_FRACTION
        service = "ledger" if is_keyed else "agenda"
        key = self._generator.randrange(65_536) if is_keyed else None
        method = "GET" if is_keyed else "POST"
        try:
            response = deployment_system.send_request(
                connection, method, f"/{service}/item", key, request_id
            )
        except (OSError, http.client.HTTPException):
            self._record(request_id, service, 0, "", connection.port)
            return False
        self._record(request_id, service, response.status, response.body, connection.port)
        return not response.closes_connection

    def _record(self, request_id: str, service: str, status: int, body: str, port: int) -> None:
        self._checker.record_result(
            invariants.CallerResult(request_id, service, status, body, port)
        )
