"""Tasks: one thread per connection, peer or loop, with cooperative shutdown."""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging

from goldcresthall.kernel import task_health

JOIN_TIMEOUT_S = 10.0
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 2.0
RESTART_DELAY_FACTOR = 2.0


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
            task_health.HEALTH.record_failure(self._name)


class LoopTask(Task):
    """A task that runs until it is asked to stop; it is started again after an exception.

    The delay doubles with each failure up to `MAX_RESTART_DELAY_S`.
    """

    def _run_logged(self) -> None:
        delay_s = MIN_RESTART_DELAY_S
        while not self._stop_signal.is_set:
            try:
                self._run(self._stop_signal)
            except Exception:
                logging.exception("task %s failed, restart in %.1f s", self._name, delay_s)
                task_health.HEALTH.record_failure(self._name)
            else:
                return
            self._stop_signal.wait(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, delay_s * RESTART_DELAY_FACTOR)


def start(name: str, run: Callable[[StopSignal], None]) -> Task:
    """Create and start a task."""
    task = Task(name, run)
    task.start()
    return task


def start_loop(name: str, run: Callable[[StopSignal], None]) -> Task:
    """Create and start a task that is started again after an exception."""
    task = LoopTask(name, run)
    task.start()
    return task
