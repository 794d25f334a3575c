"""Cancellation of requests whose caller has disconnected, and the end of their work."""

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
        self._was_interrupted = False
        self._has_ended = False
        self._interrupts: list[Callable[[], None]] = []
        self._releases: list[Callable[[], None]] = []

    @property
    def is_cancelled(self) -> bool:
        """Whether cancellation was requested."""
        return self._is_cancelled

    @property
    def was_interrupted(self) -> bool:
        """Whether blocking calls were interrupted, so that their errors say nothing of the peer."""
        return self._was_interrupted

    def cancel(self) -> None:
        """Request cancellation and call all registered interrupts.

        They are called under the lock, so that none runs after its block has ended: the connection
        may serve another request by then. An interrupt must not block, and must not use this
        cancellation.
        """
        with self._lock:
            self._is_cancelled = True
            self._was_interrupted = True
            for interrupt in self._interrupts:
                interrupt()

    def interrupt(self) -> None:
        """Interrupt the blocking calls in progress without cancelling the work.

        The interrupts are called under the lock, as by `cancel`.
        """
        with self._lock:
            self._was_interrupted = True
            for interrupt in self._interrupts:
                interrupt()

    def end(self) -> None:
        """Release what was kept for the result, once it was handed over or nobody wants it."""
        with self._lock:
            self._has_ended = True
            releases = tuple(self._releases)
            self._releases.clear()
        for release in releases:
            release()

    def call_at_end(self, release: Callable[[], None]) -> None:
        """Call `release` once the work has ended; at once if it already has."""
        with self._lock:
            if not self._has_ended:
                self._releases.append(release)
                return
        release()

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
