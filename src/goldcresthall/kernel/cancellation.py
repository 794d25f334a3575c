"""Cancellation of requests whose caller has disconnected."""

from __future__ import annotations

import contextlib
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


class Cancellation:
    """Cancels work in progress and interrupts its blocking calls."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._is_cancelled = False
        self._interrupts: list[Callable[[], None]] = []

    @property
    def is_cancelled(self) -> bool:
        """Whether cancellation was requested."""
        return self._is_cancelled

    def cancel(self) -> None:
        """Request cancellation and call all registered interrupts."""
        with self._lock:
            self._is_cancelled = True
            interrupts = tuple(self._interrupts)
        for interrupt in interrupts:
            interrupt()

    @contextlib.contextmanager
    def call_on_cancel(self, interrupt: Callable[[], None]) -> Iterator[None]:
        """Call `interrupt` if the work is cancelled before or within the block."""
        with self._lock:
            self._interrupts.append(interrupt)
            is_cancelled = self._is_cancelled
        try:
            if is_cancelled:
                interrupt()
            yield
        finally:
            with self._lock:
                self._interrupts.remove(interrupt)
