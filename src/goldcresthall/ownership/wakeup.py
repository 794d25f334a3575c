"""An interruptible wait."""

from __future__ import annotations

import threading


class Wakeup:
    """Wakes one waiting task; a wake-up before the wait makes it return immediately."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def wake(self) -> None:
        """End the current wait, or else the next one."""
        self._event.set()

    def wait(self, timeout_s: float) -> None:
        """Wait for `wake`, or at most `timeout_s` seconds."""
        self._event.wait(timeout_s)
        self._event.clear()
