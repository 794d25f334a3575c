"""A caller's socket: waiting, receiving, sending within limits, and closing."""

from __future__ import annotations

import array
import contextlib
import fcntl
import select
import socket
import termios
import time
from typing import TYPE_CHECKING

from goldcresthall.callers import connection_limit
from goldcresthall.callers import exceptions
from goldcresthall.memory import progress

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.backend import outgoing

# Each block exists up to three times while it is parsed, on every connection.
RECEIVE_BYTES = 16_384
MS_PER_S = 1_000
MAX_POLL_S = 5.0
DISCARD_TIMEOUT_S = 0.5
MAX_DISCARDED_BYTES = 4_194_304
# A caller on a slow link takes this long to acknowledge the responses before a refused body.
LINGER_S = 5.0
LINGER_POLL_S = 0.05
SHORTAGE_POLL_S = 1.0


class CallerSocket:
    """The socket of one caller's connection; it never blocks without a limit."""

    def __init__(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = accepted
        self._blocked_at_s: float | None = None

    @property
    def unread_s(self) -> float:
        """Seconds for which the caller has taken nothing of what is being sent."""
        blocked_at_s = self._blocked_at_s
        return 0.0 if blocked_at_s is None else time.monotonic() - blocked_at_s

    def wait_readable(self, timeout_s: float, *, only_hangup: bool = False) -> bool:
        """Wait for input or the end of the connection; return whether there is any.

        Raises
        ------
        CallerDisconnectedError
            If the socket is closed, or the caller closed it and only that was waited for.
        """
        poll = select.poll()
        try:
            wanted = select.POLLRDHUP if only_hangup else select.POLLIN | select.POLLRDHUP
            poll.register(self._socket, wanted)
            events = poll.poll(timeout_s * MS_PER_S)
        except (OSError, ValueError) as error:
            raise exceptions.CallerDisconnectedError(str(error)) from error
        if events and only_hangup:
            raise exceptions.CallerDisconnectedError("closed")
        return bool(events)

    def receive(self, timeout_s: float) -> bytes:
        """Return what comes within some seconds; empty if nothing does.

        Raises
        ------
        CallerDisconnectedError
            If the connection has ended.
        """
        if not self.wait_readable(timeout_s):
            return b""
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return b""
        except OSError as error:
            raise exceptions.CallerDisconnectedError(str(error)) from error
        if not data:
            raise exceptions.CallerDisconnectedError("closed")
        return data

    def send(
        self,
        message: outgoing.OutgoingMessage,
        limits: progress.ProgressLimits,
        is_memory_short: Callable[[], bool],
    ) -> bool:
        """Send a message; return whether the caller took it within the limits.

        A caller that reads slowly is waited for as long as it reads. While memory is short, a
        caller that reads nothing for some seconds is given up, for what it holds.

        Raises
        ------
        CallerDisconnectedError
            If the connection has ended.
        """
        pace = progress.Progress(limits, time.monotonic())
        while not message.is_sent:
            try:
                sent = message.send_some(self._socket)
            except BlockingIOError:
                if not self._wait_writable(pace, is_memory_short):
                    return False
                continue
            except OSError as error:
                raise exceptions.CallerDisconnectedError(str(error)) from error
            pace.add(sent, time.monotonic())
        return True

    def shutdown(self, how: int) -> None:
        """End a direction of the connection, which also wakes the task that waits for it."""
        with contextlib.suppress(OSError):  # the caller may have ended it before
            self._socket.shutdown(how)

    def close(self) -> None:
        """Close the socket; no other task may use it any more."""
        self._socket.close()

    def discard_input(self) -> None:
        """Discard input for a bounded time; closing with unread bytes resets the connection.

        A reset would cut the responses that the caller has not acknowledged. So they are waited
        for some seconds longer, in which no more is read than the bound on discarded bytes.
        """
        began_at_s = time.monotonic()
        discarded_bytes = 0
        while True:
            elapsed_s = time.monotonic() - began_at_s
            is_bounded = elapsed_s >= DISCARD_TIMEOUT_S or discarded_bytes >= MAX_DISCARDED_BYTES
            if is_bounded and (elapsed_s >= LINGER_S or not self._count_unacknowledged()):
                return
            try:
                if discarded_bytes >= MAX_DISCARDED_BYTES:
                    time.sleep(LINGER_POLL_S)
                else:
                    discarded_bytes += len(self.receive(LINGER_POLL_S))
            except exceptions.CallerDisconnectedError:
                return

    def _count_unacknowledged(self) -> int:
        """Return the number of sent bytes that the caller's machine has not acknowledged."""
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._socket, termios.TIOCOUTQ, count)
        except (OSError, ValueError):
            return 0
        return count[0]

    def _wait_writable(self, pace: progress.Progress, is_memory_short: Callable[[], bool]) -> bool:
        self._blocked_at_s = time.monotonic()
        poll = select.poll()
        try:
            poll.register(self._socket, select.POLLOUT)
            while (remaining_s := pace.ends_at_s - time.monotonic()) > 0:
                if poll.poll(min(remaining_s, SHORTAGE_POLL_S) * MS_PER_S):
                    return True
                if self.unread_s >= connection_limit.UNREAD_S and is_memory_short():
                    return False
        except (OSError, ValueError) as error:
            raise exceptions.CallerDisconnectedError(str(error)) from error
        finally:
            self._blocked_at_s = None
        return False
