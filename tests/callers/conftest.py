"""A WSGI front end with fake dependencies, driven by raw bytes."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from goldcresthall.callers import wsgi_frontend
from goldcresthall.core import identity
from goldcresthall.core import outcomes
from goldcresthall.core import requests
from goldcresthall.core import settings
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import metrics
from goldcresthall.routing import router
from tests.fakes import clock
from tests.fakes import replica

if TYPE_CHECKING:
    from collections.abc import Iterator

EXCHANGE_TIMEOUT_S = 20.0
BODY_LIMIT_BYTES = 100


class EchoRouter(router.Router):
    """Responds to each request with the request's body and records the request."""

    def __init__(self) -> None:
        self.requests: list[requests.Request] = []

    def start(self) -> None:
        """Do nothing."""

    def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Return an outcome with the request's body."""
        self.requests.append(request)
        return outcomes.Answered(outcomes.Answer(200, (), request.body), "echo")


class FrontendHarness:
    """A started front end with its dependencies."""

    def __init__(self) -> None:
        self.metrics = metrics.Metrics()
        self.router = EchoRouter()
        self.kernel = kernel.Kernel()
        self.kernel.register(names.CLOCK, clock.ManualClock())
        self.kernel.register(names.METRICS, self.metrics)
        self.kernel.register(names.REPLICA, replica.SettableReplica())
        self.kernel.register(names.ROUTER, self.router)
        anywhere = identity.Address("127.0.0.1", 0)
        self.front = wsgi_frontend.WsgiFrontend.from_config(
            self.kernel,
            settings.Settings(
                name="router-1",
                failure_domain="domain-a",
                listen=settings.ListenSettings(callers=anywhere, peers=anywhere, admin=anywhere),
                platform=settings.PlatformSettings(log=anywhere, instance_list=anywhere),
                callers=settings.CallerSettings(threads=4, body_limit_bytes=BODY_LIMIT_BYTES),
            ),
        )
        self.kernel.register(names.CALLERS, self.front)
        self.kernel.start()

    def exchange(self, request: bytes) -> bytes:
        """Send bytes on a new connection and return all bytes received."""
        address = self.front._server.bind_addr
        with socket.create_connection(address, EXCHANGE_TIMEOUT_S) as connection:
            connection.sendall(request)
            connection.shutdown(socket.SHUT_WR)
            return b"".join(iter(lambda: connection.recv(65_536), b""))

    def count_refused(self, reason: str) -> float:
        labels = {"reason": reason, "step": "decode"}
        return self.metrics.registry.get_sample_value("goldcresthall_refused_total", labels) or 0.0


@pytest.fixture
def harness() -> Iterator[FrontendHarness]:
    """Yield a front end."""
    created = FrontendHarness()
    yield created
    created.kernel.stop()
