"""Cooperatively scheduled threads whose order of execution the test chooses."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable


class ActorEndedError(BaseException):
    """Ends an actor's function at its current wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """A wait of an actor for a condition, or until a reading of its own clock."""

    ends_at_s: float
    is_over: Callable[[], bool]


class Actor:
    """A function in a thread of its own that runs only when the test resumes it."""

    def __init__(self, name: str, read_s: Callable[[], float]) -> None:
        self.name = name
        self._read_s = read_s
        self._may_run = threading.Semaphore(0)
        self._has_paused = threading.Semaphore(0)
        self._wait: Wait | None = None
        self._is_ending = False
        self._error: BaseException | None = None
        self._thread: threading.Thread | None = None

    @property
    def is_runnable(self) -> bool:
        """Whether the actor waits and its condition holds or its timeout has passed."""
        wait = self._wait
        return wait is not None and (wait.is_over() or self._read_s() >= wait.ends_at_s)

    def start(self, function: Callable[[], None]) -> None:
        """Run a function up to its first wait."""
        self._thread = threading.Thread(target=self._run, args=(function,), daemon=True)
        self._thread.start()
        self._has_paused.acquire()
        self._raise_error()

    def pause(self, timeout_s: float, is_over: Callable[[], bool]) -> None:
        """Wait within the actor's function until the test resumes it."""
        self._wait = Wait(self._read_s() + timeout_s, is_over)
        self._has_paused.release()
        self._may_run.acquire()
        self._wait = None
        if self._is_ending:
            raise ActorEndedError

    def resume(self) -> None:
        """Run the actor up to its next wait."""
        self._may_run.release()
        self._has_paused.acquire()
        self._raise_error()

    def end(self) -> None:
        """End the actor at its current wait."""
        self._is_ending = True
        self._may_run.release()
        if self._thread is not None:
            self._thread.join()

    def _run(self, function: Callable[[], None]) -> None:
        try:
            function()
        except ActorEndedError:
            pass
        except BaseException as error:  # noqa: BLE001
            self._error = error
        self._wait = None
        self._has_paused.release()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error
