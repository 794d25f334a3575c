"""HTTP server of a single page, for readiness or for metrics."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi

from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.observability import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from goldcresthall.core import identity

THREAD_COUNT = 2
SHUTDOWN_TIMEOUT_S = 1
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 16_384


class StatusServer(service.Service):
    """Serves one page whose status and body are read on each request."""

    def __init__(
        self,
        name: str,
        address: identity.Address,
        path: str,
        read: Callable[[], tuple[http.HTTPStatus, bytes]],
    ) -> None:
        self._path = path
        self._read = read
        self._server = wsgi.Server(
            (address.host, address.port),
            self._serve,
            numthreads=THREAD_COUNT,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.error_log = logs.log_server_error  # type: ignore[method-assign]
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._task = tasks.LoopTask(name, lambda _: self._server.serve())

    def start(self) -> None:
        """Listen and start serving."""
        self._server.prepare()
        self._task.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
        self._task.stop()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status, body = http.HTTPStatus.NOT_FOUND, b""
        if environ.get("PATH_INFO") == self._path:
            status, body = self._read()
        start_response(
            f"{status.value} {status.phrase}",
            [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
        )
        return [body]
