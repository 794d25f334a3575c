"""A TCP relay in front of one server that counts the forwarded bytes."""

from __future__ import annotations

import contextlib
import socket
import threading

from goldcresthall.core import identity

HOST = "127.0.0.1"
READ_SIZE_BYTES = 65_536


class ByteRelay:
    """Forwards connections to an address and counts their bytes in both directions."""

    def __init__(self, target: identity.Address) -> None:
        self._target = target
        self._listener = socket.create_server((HOST, 0))
        self._lock = threading.Lock()
        self._byte_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> identity.Address:
        """Address to connect to instead of that of the target."""
        return identity.Address(HOST, int(self._listener.getsockname()[1]))

    @property
    def byte_count(self) -> int:
        """Payload bytes forwarded so far, without TCP headers."""
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
            for direction in ((accepted, connected), (connected, accepted)):
                threading.Thread(target=self._forward, args=direction, daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(READ_SIZE_BYTES):
                with self._lock:
                    self._byte_count += len(chunk)
                sink.sendall(chunk)
        for endpoint in (source, sink):
            with contextlib.suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)
            endpoint.close()
