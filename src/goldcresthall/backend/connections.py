"""Connections to one backend server, with a total timeout for each response."""

from __future__ import annotations

import collections
import http.client
import socket
import threading
import time
from typing import TYPE_CHECKING
from typing import Final

from urllib3 import connection

from goldcresthall.encoding import checked_connections

if TYPE_CHECKING:
    from typing_extensions import Buffer

    from goldcresthall.core import identity

MAX_IDLE_S = 5.0
TIMEOUT_TOLERANCE_S = 0.002
INTERIM_STATUSES: Final = range(102, 200)


class DeadlineSocket(socket.socket):
    """A socket whose timeout bounds the total receive time, not each receive call.

    A response that arrives byte by byte would otherwise restart the timeout with each
    byte and exceed every deadline.
    """

    _ends_at_s: float | None = None
    _receive_timeout_s: float | None = None

    @classmethod
    def take_over(cls, connected: socket.socket) -> DeadlineSocket:
        """Return a socket that takes over the descriptor and timeout of a connected one."""
        timeout_s = connected.gettimeout()
        taken = cls(connected.family, connected.type, connected.proto, connected.detach())
        taken.settimeout(timeout_s)
        return taken

    def settimeout(self, value: float | None) -> None:
        """Bound the total receive time from now on by `value` seconds; `None` for no bound."""
        self._ends_at_s = None if value is None else time.monotonic() + value
        self._set_receive_timeout(value)

    def recv_into(self, buffer: Buffer, nbytes: int = 0, flags: int = 0) -> int:
        """Receive within the remaining time.

        Raises
        ------
        TimeoutError
            If no time remains, or nothing is received within it.
        """
        if self._ends_at_s is not None:
            remaining_s = self._ends_at_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("total receive timeout exceeded")
            self._set_receive_timeout(remaining_s)
        return super().recv_into(buffer, nbytes, flags)

    def _set_receive_timeout(self, value: float | None) -> None:
        """Set the timeout of one receive call, unless it is within the tolerance.

        Setting it is a system call, for which the thread releases the interpreter lock.
        """
        current_s = self._receive_timeout_s
        if value is None or current_s is None or abs(current_s - value) > TIMEOUT_TOLERANCE_S:
            super().settimeout(value)
            self._receive_timeout_s = value


class CompleteResponse(checked_connections.CheckedResponse):
    """A response with a complete header that states where the body ends.

    The standard library treats the end of the connection as the end of a body without a length,
    so that a response truncated there would look complete. It also takes an interim response
    (status 102 to 199) for the final one, which would then be read as the response to the next
    request.
    """

    def begin(self) -> None:
        """Read the header.

        Raises
        ------
        http.client.HTTPException
            If the header is invalid or truncated, or does not state, without contradiction, where
            the body ends.
        """
        reader = checked_connections.HeaderReader(self.fp)
        self.read_head(reader)
        while self.status in INTERIM_STATUSES:
            self.headers = self.msg = None  # type: ignore[assignment]
            self.read_head(reader)
        if self.length is None and not self.chunked:
            raise http.client.IncompleteRead(b"")
        if self._has_conflicting_lengths():
            raise http.client.IncompleteRead(b"")

    def _has_conflicting_lengths(self) -> bool:
        lengths = set(self.headers.get_all("Content-Length", ()))
        return len(lengths) > 1 or bool(lengths and self.chunked)


class BackendConnection(connection.HTTPConnection):
    """One connection to a backend server.

    Attributes
    ----------
    response_count
        Number of responses received; any but the first may be a copy of an earlier one, unless it
        echoes the request's id.
    is_echoing
        Whether the last response echoed its request's id. Otherwise the connection is not kept.
    """

    response_class = CompleteResponse
    idle_since_s = 0.0
    response_count = 0
    is_echoing = False

    def connect(self) -> None:
        """Connect and bound the total receive time of each response."""
        super().connect()
        self.sock = DeadlineSocket.take_over(self.sock)


class ConnectionPool:
    """Idle connections to one backend server; the most recently used is taken first.

    Parameters
    ----------
    max_idle_s
        Seconds after which an idle connection is not reused, so that requests are rarely
        sent on a connection that the server is about to close.
    """

    def __init__(self, address: identity.Address, max_idle_s: float = MAX_IDLE_S) -> None:
        self._address = address
        self._max_idle_s = max_idle_s
        self._lock = threading.Lock()
        self._idle: collections.deque[BackendConnection] = collections.deque()

    def acquire(self) -> BackendConnection | None:
        """Return an idle connection that is still usable, or `None`."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                taken = self._idle.pop()
            is_recent = time.monotonic() - taken.idle_since_s < self._max_idle_s
            if is_recent and taken.is_connected:
                return taken
            taken.close()

    def connect(self, timeout_s: float) -> BackendConnection:
        """Open a connection.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If the server does not accept it within `timeout_s` seconds.
        """
        created = BackendConnection(self._address.host, self._address.port, timeout=timeout_s)
        created.connect()
        return created

    def release(self, used: BackendConnection) -> None:
        """Return a connection to the pool and close those that were idle for too long.

        The response on the connection must have been read completely.
        """
        if used.is_closed:
            return
        now_s = time.monotonic()
        used.idle_since_s = now_s
        expired = []
        with self._lock:
            self._idle.append(used)
            while self._idle and now_s - self._idle[0].idle_since_s >= self._max_idle_s:
                expired.append(self._idle.popleft())
        for old in expired:
            old.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            closed = list(self._idle)
            self._idle.clear()
        for old in closed:
            old.close()
