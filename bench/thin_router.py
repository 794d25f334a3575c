"""Baselines: a bare pass-through on the same libraries, without the product's decisions."""

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
class RandomChoice:
    """Any server, drawn at random with a seed."""

    generator: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """One server after the other."""

    counter: itertools.count[int]


Choice = RandomChoice | RoundRobin


@functools.singledispatch
def choose_server(
    choice: Choice, servers: tuple[preset.BackendServer, ...]
) -> preset.BackendServer:
    """Return the server to try, by the kind of choice."""
    raise NotImplementedError(type(choice).__name__)


@choose_server.register
def _(choice: RandomChoice, servers: tuple[preset.BackendServer, ...]) -> preset.BackendServer:
    return choice.generator.choice(servers)


@choose_server.register
def _(choice: RoundRobin, servers: tuple[preset.BackendServer, ...]) -> preset.BackendServer:
    return servers[next(choice.counter) % len(servers)]


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """One try's response as it is passed on."""

    status: int
    body: bytes
    is_final: bool


class ThinRouter:
    """Passes requests on; no classes, no admission, retries without a budget."""

    def __init__(self, configured: preset.Preset, choice: Choice, max_tries: int) -> None:
        self._preset = configured
        self._choice = choice
        self._max_tries = max_tries
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one caller."""
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
            passed = self._try(server, environ, f"/{rest}", route)
            if passed.is_final or tries >= self._max_tries:
                break
        outcome = "answered" if passed.status == STATUS_OK else "unknown"
        fields = [
            ("Content-Length", str(len(passed.body))),
            ("Goldcresthall-Outcome", outcome),
            ("Goldcresthall-Server", server.name),
            ("Goldcresthall-Tries", str(tries)),
        ]
        start_response(f"{passed.status} -", fields)
        return [passed.body]

    def _find_server(self, policy: preset.ServicePolicy, key: str) -> preset.BackendServer:
        if not policy.keyed:
            return choose_server(self._choice, policy.servers)
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        return policy.servers[int.from_bytes(digest, "big") % len(policy.servers)]

    def _try(
        self,
        server: preset.BackendServer,
        environ: dict[str, Any],
        path: str,
        route: routes.MatchedRoute,
    ) -> Passed:
        try:
            response = self._find_pool(server).request(
                environ["REQUEST_METHOD"],
                f"{path}?{environ['QUERY_STRING']}",
                headers={protocol.REQUEST_ID_HEADER: uuid.uuid4().hex},
                timeout=ATTEMPT_TIMEOUT_S,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError:
            return Passed(502, b"{}", is_final=not route.idempotent)
        was_run = protocol.NOT_RUN_HEADER not in response.headers
        return Passed(response.status, response.data, is_final=was_run)

    def _find_pool(self, server: preset.BackendServer) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(server.name)
        if pool is None:
            pool = urllib3.HTTPConnectionPool(
                server.address.host, server.address.port, maxsize=64, retries=False
            )
            self._pools.setdefault(server.name, pool)
        return pool


def _answer_health(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
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
    configured = documents.decode_document(preset_text, preset.Preset)
    settings_text = pathlib.Path(settings_file).read_bytes()
    instance = documents.decode_document(settings_text, settings.Settings)
    chosen: Choice = (
        RandomChoice(random.Random(seed)) if choice == "random" else RoundRobin(itertools.count())
    )
    thin = ThinRouter(configured, chosen, tries)
    callers = instance.listen.callers
    admin = instance.listen.admin
    servers = (
        wsgi.Server(
            (callers.host, callers.port),
            thin.serve,
            numthreads=instance.callers.threads,
            request_queue_size=LISTEN_BACKLOG,
        ),
        wsgi.Server((admin.host, admin.port), _answer_health, numthreads=ADMIN_THREADS),
    )
    _run_until_signalled(servers)


def _run_until_signalled(servers: tuple[wsgi.Server, ...]) -> None:
    ending = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: ending.set())
    for server in servers:
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
    ending.wait()
    for server in servers:
        server.stop()


if __name__ == "__main__":
    main()
