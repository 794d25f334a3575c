"""A TCP server that sends scripted bytes, one script for each request."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import identity

if TYPE_CHECKING:
    from collections.abc import Iterator

END_OF_HEADERS = b"\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """The scripted response to one request.

    Attributes
    ----------
    pieces
        Sent one after another; the last piece is sent repeatedly if `drips` is set.
    closes
        Whether the connection is closed after the response.
    """

    pieces: tuple[bytes, ...]
    drips: bool = False
    closes: bool = False


class RawServer:
    """Accepts connections and responds to their requests from one list of scripts, in order."""

    def __init__(self, scripts: list[Script]) -> None:
        self._scripts = scripts
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._ending = threading.Event()
        self.connections = 0
        self.requests: list[bytes] = []
        self._thread = threading.Thread(target=self._accept, daemon=True)

    @property
    def address(self) -> identity.Address:
        return identity.Address("127.0.0.1", self._listener.getsockname()[1])

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._ending.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, accepted: socket.socket) -> None:
        with accepted, contextlib.suppress(OSError):
            while self._read_request(accepted) and self._answer(accepted):
                pass

    def _read_request(self, accepted: socket.socket) -> bool:
        received = b""
        while END_OF_HEADERS not in received:
            piece = accepted.recv(65_536)
            if not piece:
                return False
            received += piece
        self.requests.append(received)
        return True

    def _answer(self, accepted: socket.socket) -> bool:
        script = self._scripts.pop(0)
        for piece in script.pieces:
            accepted.sendall(piece)
        while script.drips and not self._ending.wait(0.01):
            accepted.sendall(script.pieces[-1])
        return not script.closes


@contextlib.contextmanager
def run_server(*scripts: Script) -> Iterator[RawServer]:
    server = RawServer(list(scripts))
    server.start()
    try:
        yield server
    finally:
        server.stop()
