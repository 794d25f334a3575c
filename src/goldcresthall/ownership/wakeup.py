"""A wait that another task may end early."""

from __future__ import annotations

import threading


class Wakeup:
    """Wakes one waiting task; a wake before the wait ends that wait at once."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def wake(self) -> None:
        """End the present wait, or the next."""
        self._event.set()

    def wait(self, timeout_s: float) -> None:
        """Wait until woken, or for `timeout_s` seconds."""
        self._event.wait(timeout_s)
        self._event.clear()
