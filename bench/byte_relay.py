"""A relay in front of one server that counts the bytes that pass it."""

from __future__ import annotations

import contextlib
import socket
import threading

from goldcresthall.core import identity

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class ByteRelay:
    """Passes connections on to an address and counts their bytes in both directions."""

    def __init__(self, target: identity.Address) -> None:
        self._target = target
        self._listener = socket.create_server((HOST, 0))
        self._lock = threading.Lock()
        self._byte_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> identity.Address:
        """Address to connect to in place of the target's."""
        return identity.Address(HOST, int(self._listener.getsockname()[1]))

    @property
    def byte_count(self) -> int:
        """Bytes passed on so far, without the headers of TCP."""
        with self._lock:
            return self._byte_count

    def _accept(self) -> None:
        while True:
            accepted, _ = self._listener.accept()
            try:
                connected = socket.create_connection((self._target.host, self._target.port))
            except OSError:
                accepted.close()
                continue
            for ends in ((accepted, connected), (connected, accepted)):
                threading.Thread(target=self._pass_on, args=ends, daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                with self._lock:
                    self._byte_count += len(chunk)
                sink.sendall(chunk)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()
