"""HTTP server on which all stand-ins are built."""

from __future__ import annotations

import abc
import contextlib
import dataclasses
import socket
import threading
import time
import urllib.parse
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

LISTEN_BACKLOG = 512
MS_PER_S = 1_000
CONNECTION = "stand_in.connection"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request to a stand-in; the names of headers are in lower case.

    Attributes
    ----------
    connection
        Identity of the connection that carried the request.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response of a stand-in.

    Attributes
    ----------
    declared_length
        Value of Content-Length; `None` for the actual length of the body.
    drip_ms
        Milliseconds between two bytes of the body; zero to send it at once.
    preceded_by
        Another response that is sent before this one.
    is_withheld
        Whether nothing is sent and the connection is closed.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    declared_length: int | None = None
    drip_ms: float = 0.0
    preceded_by: Response | None = None
    is_withheld: bool = False

    def encode(self) -> bytes:
        """Return the bytes of a response that precedes another."""
        headers = (*self.headers, ("Content-Length", str(len(self.body))))
        lines = [f"HTTP/1.1 {self.status} -", *(f"{name}: {value}" for name, value in headers)]
        return "\r\n".join((*lines, "", "")).encode() + self.body


class ConnectionGateway(wsgi.Gateway_10):
    """Adds the connection to what the stand-in learns about a request."""

    def get_environ(self) -> Any:
        """Return the WSGI environment of the request."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION] = self.req.conn
        return environ


class StandIn(abc.ABC):
    """An HTTP server on one address, with a pool of threads."""

    def __init__(self, host: str, port: int, threads: int) -> None:
        self._server = wsgi.Server(
            (host, port), self._serve, numthreads=threads, request_queue_size=LISTEN_BACKLOG
        )
        self._server.gateway = ConnectionGateway
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def port(self) -> int:
        """Port that the stand-in listens on; if created with port 0, known only after the start."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Bind the address and serve in a background thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close the listening socket."""
        self._server.stop()

    @abc.abstractmethod
    def handle_request(self, request: Request) -> Response:
        """Return the response to one request."""

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        request = Request(
            method=environ["REQUEST_METHOD"],
            path=environ.get("PATH_INFO", "/"),
            query=dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
            headers={
                name[5:].replace("_", "-").lower(): value
                for name, value in environ.items()
                if name.startswith("HTTP_")
            },
            body=environ["wsgi.input"].read(length) if length else b"",
            connection=environ[CONNECTION],
        )
        response = self.handle_request(request)
        if response.is_withheld:
            with contextlib.suppress(OSError):  # the client may have closed it already
                environ[CONNECTION].socket.shutdown(socket.SHUT_RDWR)
            start_response("503 -", [("Content-Length", "0")])  # the server insists on a status
            return []
        if response.preceded_by is not None:
            environ[CONNECTION].wfile.write(response.preceded_by.encode())
        declared_length = (
            len(response.body) if response.declared_length is None else response.declared_length
        )
        start_response(
            f"{response.status} -", [*response.headers, ("Content-Length", str(declared_length))]
        )
        return _yield_bytes(response) if response.drip_ms else [response.body]


def _yield_bytes(response: Response) -> Iterator[bytes]:
    for position in range(len(response.body)):
        time.sleep(response.drip_ms / MS_PER_S)
        yield response.body[position : position + 1]
