"""Baseline: pass-through router on the same libraries, without the product's routing decisions."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import itertools
import pathlib
import random
import signal
import threading
import uuid
from typing import TYPE_CHECKING
from typing import Any

import click
import urllib3
from cheroot import wsgi

from goldcresthall.backend import protocol
from goldcresthall.core import preset
from goldcresthall.core import settings
from goldcresthall.encoding import documents
from goldcresthall.routing import routes

if TYPE_CHECKING:
    from collections.abc import Iterable

STATUS_OK = 200
ATTEMPT_TIMEOUT_S = 15.0
LISTEN_BACKLOG = 512
ADMIN_THREADS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RandomServerChoice:
    """Chooses a server at random, from a seeded generator."""

    generator: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobinServerChoice:
    """Chooses the servers in rotation."""

    counter: itertools.count[int]


ServerChoice = RandomServerChoice | RoundRobinServerChoice


@functools.singledispatch
def choose_server(
    choice: ServerChoice, servers: tuple[preset.BackendServer, ...]
) -> preset.BackendServer:
    """Return the server for the next attempt."""
    raise NotImplementedError(type(choice).__name__)


@choose_server.register
def _(
    choice: RandomServerChoice, servers: tuple[preset.BackendServer, ...]
) -> preset.BackendServer:
    return choice.generator.choice(servers)


@choose_server.register
def _(
    choice: RoundRobinServerChoice, servers: tuple[preset.BackendServer, ...]
) -> preset.BackendServer:
    return servers[next(choice.counter) % len(servers)]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedResponse:
    """Response of one attempt; `is_final` if it must not be retried."""

    status: int
    body: bytes
    is_final: bool


class BaselineRouter:
    """Forwards requests without request classes, admission control or a retry budget."""

    def __init__(
        self, configured_preset: preset.Preset, choice: ServerChoice, max_tries: int
    ) -> None:
        self._preset = configured_preset
        self._choice = choice
        self._max_tries = max_tries
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Handle one request as a WSGI application."""
        service_name, _, rest = environ["PATH_INFO"].lstrip("/").partition("/")
        policy = self._preset.find_service(service_name)
        if policy is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        route = routes.match_route(policy, environ["REQUEST_METHOD"], f"/{rest}")
        tries = 0
        while True:
            tries += 1
            server = self._find_server(policy, route.key)
            forwarded = self._forward_once(server, environ, f"/{rest}", route)
            if forwarded.is_final or tries >= self._max_tries:
                break
        outcome = "answered" if forwarded.status == STATUS_OK else "unknown"
        fields = [
            ("Content-Length", str(len(forwarded.body))),
            ("Goldcresthall-Outcome", outcome),
            ("Goldcresthall-Server", server.name),
            ("Goldcresthall-Tries", str(tries)),
        ]
        start_response(f"{forwarded.status} -", fields)
        return [forwarded.body]

    def _find_server(self, policy: preset.ServicePolicy, key: str) -> preset.BackendServer:
        if not policy.keyed:
            return choose_server(self._choice, policy.servers)
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        return policy.servers[int.from_bytes(digest, "big") % len(policy.servers)]

    def _forward_once(
        self,
        server: preset.BackendServer,
        environ: dict[str, Any],
        path: str,
        route: routes.MatchedRoute,
    ) -> ForwardedResponse:
        try:
            response = self._get_pool(server).request(
                environ["REQUEST_METHOD"],
                f"{path}?{environ['QUERY_STRING']}",
                headers={protocol.REQUEST_ID_HEADER: uuid.uuid4().hex},
                timeout=ATTEMPT_TIMEOUT_S,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError:
            return ForwardedResponse(502, b"{}", is_final=not route.idempotent)
        was_executed = protocol.NOT_RUN_HEADER not in response.headers
        return ForwardedResponse(response.status, response.data, is_final=was_executed)

    def _get_pool(self, server: preset.BackendServer) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(server.name)
        if pool is None:
            pool = urllib3.HTTPConnectionPool(
                server.address.host, server.address.port, maxsize=64, retries=False
            )
            self._pools.setdefault(server.name, pool)
        return pool


def _handle_health_check(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


@click.command()
@click.option("--preset-file", type=click.Path(exists=True), required=True)
@click.option("--choice", type=click.Choice(["random", "round_robin"]), required=True)
@click.option("--tries", type=int, required=True)
@click.option("--seed", type=int, required=True)
@click.argument("command")
@click.argument("settings_file", type=click.Path(exists=True))
def main(
    *, preset_file: str, choice: str, tries: int, seed: int, command: str, settings_file: str
) -> None:
    """Run in place of ``goldcresthall router SETTINGS_FILE`` until SIGTERM."""
    del command
    preset_text = pathlib.Path(preset_file).read_bytes()
    configured_preset = documents.decode_document(preset_text, preset.Preset)
    settings_text = pathlib.Path(settings_file).read_bytes()
    instance_settings = documents.decode_document(settings_text, settings.Settings)
    server_choice: ServerChoice = (
        RandomServerChoice(random.Random(seed))
        if choice == "random"
        else RoundRobinServerChoice(itertools.count())
    )
    baseline = BaselineRouter(configured_preset, server_choice, tries)
    callers = instance_settings.listen.callers
    admin = instance_settings.listen.admin
    servers = (
        wsgi.Server(
            (callers.host, callers.port),
            baseline.serve,
            numthreads=instance_settings.callers.threads,
            request_queue_size=LISTEN_BACKLOG,
        ),
        wsgi.Server((admin.host, admin.port), _handle_health_check, numthreads=ADMIN_THREADS),
    )
    _run_until_signalled(servers)


def _run_until_signalled(servers: tuple[wsgi.Server, ...]) -> None:
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    for server in servers:
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
    stopped.wait()
    for server in servers:
        server.stop()


if __name__ == "__main__":
    main()
