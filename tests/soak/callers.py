"""Callers that keep connections open, and go on with another instance when one is gone."""

from __future__ import annotations

import http.client
import threading
import uuid
from typing import TYPE_CHECKING

from tests.features import deployment_system
from tests.soak import observer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

TIMEOUT_S = 6.0
PAUSE_S = 0.02
KEYED_SHARE = 0.6


class Caller:
    """One caller's task; each request is sent once, with an id of its own."""

    def __init__(
        self,
        list_ports: Callable[[], tuple[int, ...]],
        seen: observer.Observer,
        generator: random.Random,
    ) -> None:
        self._list_ports = list_ports
        self._seen = seen
        self._generator = generator
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Send no more and wait for the last answer."""
        self._stopped.set()
        self._thread.join(2 * TIMEOUT_S)

    def _run(self) -> None:
        connection: http.client.HTTPConnection | None = None
        while not self._stopped.wait(PAUSE_S):
            ports = self._list_ports()
            if connection is None and ports:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self._generator.choice(ports), timeout=TIMEOUT_S
                )
            if connection is not None and not self._send(connection):
                connection.close()
                connection = None

    def _send(self, connection: http.client.HTTPConnection) -> bool:
        """Send one request; return whether the connection may be used again."""
        request_id = uuid.uuid4().hex[:16]
        is_keyed = self._generator.random() < KEYED_SHARE
        service = "ledger" if is_keyed else "agenda"
        key = self._generator.randrange(65_536) if is_keyed else None
        method = "GET" if is_keyed else "POST"
        try:
            answer = deployment_system.send_request(
                connection, method, f"/{service}/item", key, request_id
            )
        except (OSError, http.client.HTTPException):
            self._seen.note_result(observer.CallerResult(request_id, service, 0, ""))
            return False
        self._seen.note_result(
            observer.CallerResult(request_id, service, answer.status, answer.body)
        )
        return not answer.closes_connection
