"""Appends the conclusions of attempts to the log, with retries."""

from __future__ import annotations

import collections
import threading
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.log_service import log_client
from goldcresthall.replication import writer

if TYPE_CHECKING:
    from goldcresthall.core import intents
    from goldcresthall.kernel import kernel

RETRY_INTERVAL_S: Final = 0.5
FLUSH_TIMEOUT_S: Final = 2.0
MAX_UNRECORDED_CONCLUSIONS: Final = 10_000


class ConclusionWriter:
    """Appends conclusions asynchronously, so that callers do not wait for the log.

    If a conclusion is never recorded, repeats of its key get *outcome unknown*, which
    is safe. If it is recorded twice, replay rejects the duplicate.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._changed = threading.Condition()
        self._in_flight_count = 0
        self._unrecorded: collections.deque[intents.IntentConcluded] = collections.deque(
            maxlen=MAX_UNRECORDED_CONCLUSIONS
        )
        self._task = tasks.LoopTask("conclusion-writer", self._run)

    def start(self) -> None:
        """Start retrying failed appends."""
        self._writer = self._kernel.find(names.LOG_WRITER, writer.LogWriter)
        self._task.start()

    def stop(self) -> None:
        """Wait until all conclusions are recorded, at most `FLUSH_TIMEOUT_S` seconds; then stop."""
        with self._changed:
            self._changed.wait_for(self._is_flushed, FLUSH_TIMEOUT_S)
        self._task.stop()

    def write(self, record: intents.IntentConcluded) -> None:
        """Append a conclusion; a failed append is retried later."""

        def on_appended(outcome: log_client.AppendOutcome) -> None:
            with self._changed:
                self._in_flight_count -= 1
                if not isinstance(outcome, log_client.Appended):
                    self._unrecorded.append(record)
                self._changed.notify_all()

        with self._changed:
            self._in_flight_count += 1
        self._writer.submit(record, on_appended)

    def _is_flushed(self) -> bool:
        return not self._in_flight_count and not self._unrecorded

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(RETRY_INTERVAL_S):
            for record in self._take_unrecorded():
                self.write(record)

    def _take_unrecorded(self) -> list[intents.IntentConcluded]:
        with self._changed:
            records = list(self._unrecorded)
            self._unrecorded.clear()
        return records
