"""Tasks: one thread per connection, peer or loop, with cooperative shutdown."""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging

JOIN_TIMEOUT_S = 10.0


class StopSignal:
    """Signals a task to stop; tasks sleep by waiting on it."""

    def __init__(self) -> None:
        self._event = threading.Event()

    @property
    def is_set(self) -> bool:
        """Whether the task was asked to stop."""
        return self._event.is_set()

    def set(self) -> None:
        """Ask the task to stop and wake it if it is sleeping."""
        self._event.set()

    def wait(self, timeout_s: float) -> bool:
        """Sleep for up to `timeout_s` seconds or until asked to stop; return `is_set`."""
        return self._event.wait(timeout_s)


TaskStarter = Callable[[str, Callable[["StopSignal"], None]], "Task"]


class Task:
    """A named thread that runs one function until it returns.

    Parameters
    ----------
    name
        Thread name, shown in logs and thread dumps.
    run
        Function to run, called once with the task's stop signal.
    """

    def __init__(self, name: str, run: Callable[[StopSignal], None]) -> None:
        self._name = name
        self._run = run
        self._stop_signal = StopSignal()
        self._thread = threading.Thread(target=self._run_logged, name=name, daemon=True)

    @property
    def name(self) -> str:
        """Name of the task's thread."""
        return self._name

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def request_stop(self) -> None:
        """Ask the task to stop without waiting for it."""
        self._stop_signal.set()

    def stop(self) -> None:
        """Ask the task to stop and wait up to `JOIN_TIMEOUT_S` seconds for it."""
        self._stop_signal.set()
        if self._thread is not threading.current_thread() and self._thread.ident is not None:
            self._thread.join(JOIN_TIMEOUT_S)

    def _run_logged(self) -> None:
        try:
            self._run(self._stop_signal)
        except Exception:
            logging.exception("task %s failed", self._name)


def start(name: str, run: Callable[[StopSignal], None]) -> Task:
    """Create and start a task."""
    task = Task(name, run)
    task.start()
    return task
