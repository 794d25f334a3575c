"""WSGI front end: decodes callers' requests, routes them and encodes the outcomes."""

from __future__ import annotations

import functools
import http
import os
import random
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from goldcresthall.backend import protocol
from goldcresthall.callers import input_checks
from goldcresthall.callers import rejections
from goldcresthall.callers import responses
from goldcresthall.core import outcomes
from goldcresthall.core import requests
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.observability import logs
from goldcresthall.observability import metrics
from goldcresthall.replication import replica
from goldcresthall.routing import router

if TYPE_CHECKING:
    from collections.abc import Iterable

    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

INSTANCE_HEADER: Final = "Goldcresthall-Instance"
KEY_OFFSET_HEADER: Final = "Goldcresthall-Key-Offset"
KEY_VARIABLE: Final = "HTTP_GOLDCRESTHALL_KEY"
IDEMPOTENCY_KEY_VARIABLE: Final = "HTTP_IDEMPOTENCY_KEY"
DEADLINE_VARIABLE: Final = "HTTP_GOLDCRESTHALL_DEADLINE_MS"
ROUTER_HEADERS: Final = frozenset(
    name.lower()
    for name in (protocol.REQUEST_ID_HEADER, INSTANCE_HEADER, KEY_OFFSET_HEADER, "Content-Length")
)
REQUEST_ID_BITS = 128
SEED_BYTES = 32
MAX_CACHED_NAMES = 1_024
MS_PER_S = 1_000
LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 30


class WsgiFrontend(service.Service):
    """Serves callers over WSGI with one thread for each request in progress."""

    def __init__(self, service_kernel: kernel.Kernel, instance_settings: settings.Settings) -> None:
        self._kernel = service_kernel
        self._name = instance_settings.name
        self._generator = random.Random(os.urandom(SEED_BYTES))  # noqa: S311
        self._body_limit = instance_settings.callers.body_limit_bytes
        address = instance_settings.listen.callers
        self._server = rejections.CallerServer(
            (address.host, address.port),
            self._serve,
            numthreads=instance_settings.callers.threads,
            request_queue_size=LISTEN_BACKLOG,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.server_name = "goldcresthall"
        self._server.error_log = logs.log_server_error  # type: ignore[method-assign]
        self._server.keep_alive_conn_limit = instance_settings.callers.connection_limit
        self._task = tasks.LoopTask("callers", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, instance_settings: settings.Settings
    ) -> WsgiFrontend:
        """Return the front end for an instance's settings."""
        return cls(service_kernel, instance_settings)

    def start(self) -> None:
        """Listen and start serving."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._router = self._kernel.find(names.ROUTER, router.Router)
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._server.count_rejection = lambda refused: self._metrics.count_outcome(refused, 0.0)
        self._server.prepare()
        self._task.start()

    def start_draining(self) -> None:
        """Close each caller's connection with its next response from now on."""
        self._server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in progress."""
        self._server.stop()
        self._task.stop()

    def _run(self, _: tasks.StopSignal) -> None:
        self._server.serve()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        received_at_s = self._clock.read_s()
        request_id = f"{self._generator.getrandbits(REQUEST_ID_BITS):032x}"
        outcome = self._handle_request(environ, request_id, received_at_s)
        self._metrics.count_outcome(outcome, self._clock.read_s() - received_at_s)
        response = responses.create_response(outcome)
        fields = [
            (header.name, header.value)
            for header in response.headers
            if header.name.lower() not in ROUTER_HEADERS
        ]
        fields.append((protocol.REQUEST_ID_HEADER, request_id))
        fields.append((INSTANCE_HEADER, self._name))
        fields.append((KEY_OFFSET_HEADER, str(self._replica.state.next_offset)))
        fields.append(("Content-Length", str(len(response.body))))
        start_response(_find_status_line(response.status), fields)
        return [response.body]

    def _handle_request(
        self, environ: dict[str, Any], request_id: str, received_at_s: float
    ) -> outcomes.Outcome:
        try:
            request = self._decode(environ, request_id, received_at_s)
        except input_checks.MalformedRequestError as error:
            return _refuse(outcomes.RefusalReason.MALFORMED_REQUEST, environ, error)
        except input_checks.RequestTooLargeError as error:
            return _refuse(outcomes.RefusalReason.REQUEST_TOO_LARGE, environ, error)
        return self._router.handle(request)

    def _decode(
        self, environ: dict[str, Any], request_id: str, received_at_s: float
    ) -> requests.Request:
        body = input_checks.read_body(environ, self._body_limit)
        raw_path = environ.get("PATH_INFO", "/")
        input_checks.check_path(raw_path)
        headers = _collect_headers(environ)
        input_checks.check_headers(headers)
        service_name, _, rest = raw_path.lstrip("/").partition("/")
        deadline = environ.get(DEADLINE_VARIABLE)
        deadline_s = None
        if deadline is not None:
            deadline_s = received_at_s + input_checks.parse_count(deadline, "deadline") / MS_PER_S
        return requests.Request(
            request_id=request_id,
            service=service_name,
            method=environ["REQUEST_METHOD"],
            path=f"/{rest}",
            query=environ.get("QUERY_STRING", ""),
            raw_target=_find_raw_target(environ),
            key=environ.get(KEY_VARIABLE, ""),
            idempotency_key=environ.get(IDEMPOTENCY_KEY_VARIABLE, ""),
            headers=headers,
            body=body,
            received_at_s=received_at_s,
            deadline_s=deadline_s,
        )


def _refuse(
    reason: outcomes.RefusalReason, environ: dict[str, Any], error: Exception
) -> outcomes.Refused:
    return outcomes.Refused(
        reason, outcomes.Step.DECODE, environ.get("REMOTE_ADDR", ""), str(error)
    )


def _find_raw_target(environ: dict[str, Any]) -> str:
    """Return the request target without the service, or "" if the target is not a path."""
    uri: str = environ.get("REQUEST_URI", "")
    if not uri.startswith("/"):
        return ""
    path, separator, query = uri.lstrip("/").partition("?")
    return f"/{path.partition('/')[2]}{separator}{query}"


def _collect_headers(environ: dict[str, Any]) -> tuple[outcomes.Header, ...]:
    headers = [
        outcomes.Header(_find_header_name(name), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name != "HTTP_HOST"
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(outcomes.Header("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _find_header_name(variable: str) -> str:
    return variable.removeprefix("HTTP_").replace("_", "-").title()


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _find_status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
