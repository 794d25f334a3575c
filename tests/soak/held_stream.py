"""One direction of a proxied connection, whose bytes a partition holds up and delivers later."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

READ_SIZE_BYTES = 65_536
POLL_INTERVAL_MS = 20
MS_PER_S = 1_000
LINGER_RESET = struct.pack("ii", 1, 0)
# As the kernel sends again what got no acknowledgment: after this time, then twice it, and so on.
FIRST_RETRANSMISSION_S = 0.2


class HeldStream:
    """Keeps what arrives from a socket while the direction is cut off.

    Parameters
    ----------
    is_cut
        Returns whether the direction is cut off now.
    """

    def __init__(self, source: socket.socket, is_cut: Callable[[], bool]) -> None:
        self._source = source
        self._is_cut = is_cut
        self._poll = select.poll()
        self._poll.register(source, select.POLLIN)

    def hold(self, first: bytes, *, has_ended: bool) -> tuple[bytes, bool]:
        """Read until the cut has healed and the sender sends again what was held up.

        Parameters
        ----------
        first
            Bytes that have been received already.
        has_ended
            Whether the sender has ended the stream after them.

        Returns
        -------
        bytes
            What was held up, in order.
        bool
            Whether the sender has ended the stream after it.

        Raises
        ------
        OSError
            If the sender has reset the connection; what was held up is lost.
        """
        held = [first]
        retransmission_s = FIRST_RETRANSMISSION_S
        sent_again_at_s = time.monotonic() + retransmission_s
        while True:
            if not has_ended and self._poll.poll(POLL_INTERVAL_MS):
                chunk = self._source.recv(READ_SIZE_BYTES)
                held.append(chunk)
                has_ended = not chunk
            elif has_ended:
                self._wait_for_reset()
            if time.monotonic() < sent_again_at_s:
                continue
            if not self._is_cut():
                return b"".join(held), has_ended
            retransmission_s *= 2
            sent_again_at_s += retransmission_s

    def _wait_for_reset(self) -> None:
        """Wait for a short time; raise `ConnectionResetError` if the sender resets."""
        poll = select.poll()
        poll.register(self._source, 0)
        if poll.poll(0) and self._source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ConnectionResetError("reset after the end of the stream")
        time.sleep(POLL_INTERVAL_MS / MS_PER_S)


def wait_until_healed(is_cut: Callable[[], bool]) -> None:
    """Wait until a direction is not cut off."""
    while is_cut():
        time.sleep(POLL_INTERVAL_MS / MS_PER_S)


def wait_until_connected(source: socket.socket, is_cut: Callable[[], bool]) -> bool:
    """Wait until a cut has healed; return whether the connecting side has not given up meanwhile.

    A connection that could not be established delivers nothing, however its socket was closed.
    """
    wait_until_healed(is_cut)
    poll = select.poll()
    poll.register(source, select.POLLRDHUP)
    return not poll.poll(0)


def reset(connection: socket.socket) -> None:
    """Shut down both directions of a connection and request a TCP reset when it is closed."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        connection.shutdown(socket.SHUT_RDWR)
