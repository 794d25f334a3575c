"""A listening socket that can let new connections hang, as a partition does."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time

BACKLOG = 256
# With a backlog of zero one connection waits; the kernel ignores the first packet of any others.
FILLING_CONNECTIONS = 3
POLL_INTERVAL_MS = 20
MS_PER_S = 1_000


class Listener:
    """Accepts connections on a loopback port of its own."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._filling: list[socket.socket] = []
        self._is_closed = False
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._listening.setblocking(False)
        self._poll = select.poll()
        self._poll.register(self._listening, select.POLLIN)
        self.port = int(self._listening.getsockname()[1])

    def accept(self) -> socket.socket | None:
        """Return the next connection; `None` once closed."""
        while not self._is_closed:
            self._poll.poll(POLL_INTERVAL_MS)
            with self._lock, contextlib.suppress(OSError):
                if not self._filling:
                    accepted, _ = self._listening.accept()
                    accepted.setblocking(True)
                    return accepted
            if self._filling:
                time.sleep(POLL_INTERVAL_MS / MS_PER_S)
        return None

    def set_hanging(self, is_hanging: bool) -> None:
        """Let new connections hang, or establish them again."""
        with self._lock:
            if self._is_closed:
                return
            for connection in self._filling:
                connection.close()
            self._filling = []
            self._listening.listen(0 if is_hanging else BACKLOG)
            for _ in range(FILLING_CONNECTIONS if is_hanging else 0):
                connection = socket.socket()
                connection.setblocking(False)
                connection.connect_ex(("127.0.0.1", self.port))
                self._filling.append(connection)

    def close(self) -> None:
        """Accept no further connections."""
        self.set_hanging(False)
        with self._lock:
            self._is_closed = True
            self._listening.close()
