"""Messages that are sent in parts, so that a body is not copied into one block with its head."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable


class OutgoingMessage:
    """The unsent rest of a message."""

    def __init__(self, parts: Iterable[bytes]) -> None:
        self._views = collections.deque(memoryview(part) for part in parts if part)
        self._is_untouched = True

    @property
    def is_sent(self) -> bool:
        """Whether nothing is left to send."""
        return not self._views

    @property
    def is_untouched(self) -> bool:
        """Whether no byte was sent."""
        return self._is_untouched

    def send_some(self, connected: socket.socket) -> int:
        """Send what a socket takes at once; return the number of bytes.

        Raises
        ------
        BlockingIOError
            If the socket takes nothing now.
        OSError
            If the connection has ended.
        """
        sent = connected.sendmsg(self._views)
        self._is_untouched = self._is_untouched and not sent
        self._remove(sent)
        return sent

    def _remove(self, count: int) -> None:
        while count:
            first = self._views.popleft()
            if count < len(first):
                self._views.appendleft(first[count:])
                return
            count -= len(first)
