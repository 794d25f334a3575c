"""Records how attempts ended, again and again until the log has it."""

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

RETRY_DELAY_S: Final = 0.5
FLUSH_TIMEOUT_S: Final = 2.0
PENDING_LIMIT: Final = 10_000


class ConclusionWriter:
    """Appends conclusions without making callers wait.

    A conclusion that is never recorded leaves its key at *outcome unknown*, which is
    safe. One that is recorded twice is rejected by replay the second time.
    """

    def __init__(self, service_kernel: kernel.Kernel) -> None:
        self._kernel = service_kernel
        self._changed = threading.Condition()
        self._submitted = 0
        self._unrecorded: collections.deque[intents.IntentConcluded] = collections.deque(
            maxlen=PENDING_LIMIT
        )
        self._task = tasks.Task("concluder", self._run)

    def start(self) -> None:
        """Begin to record conclusions."""
        self._writer = self._kernel.find(names.LOG_WRITER, writer.LogWriter)
        self._task.start()

    def stop(self) -> None:
        """Stop once all conclusions are recorded, or after `FLUSH_TIMEOUT_S` seconds."""
        with self._changed:
            self._changed.wait_for(self._is_flushed, FLUSH_TIMEOUT_S)
        self._task.stop()

    def conclude(self, record: intents.IntentConcluded) -> None:
        """Append a conclusion; if that fails it is appended again later."""

        def notify(outcome: log_client.AppendOutcome) -> None:
            with self._changed:
                self._submitted -= 1
                if not isinstance(outcome, log_client.Appended):
                    self._unrecorded.append(record)
                self._changed.notify_all()

        with self._changed:
            self._submitted += 1
        self._writer.submit(record, notify)

    def _is_flushed(self) -> bool:
        return not self._submitted and not self._unrecorded

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(RETRY_DELAY_S):
            for record in self._take_unrecorded():
                self.conclude(record)

    def _take_unrecorded(self) -> list[intents.IntentConcluded]:
        with self._changed:
            taken = list(self._unrecorded)
            self._unrecorded.clear()
        return taken
