"""Group commit: many decisions in one append."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.encoding import log_entries
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.platform import log_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import records
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

QUEUE_POLL_S = 0.5


class _Pending:
    def __init__(
        self, record: records.Record, notify: Callable[[log_client.AppendOutcome], None]
    ) -> None:
        self.record = record
        self.notify = notify


class LogWriter(service.Service):
    """Appends queued records in batches, one append at a time.

    While one append is under way the next batch gathers, so that the number of
    appends is bounded by the log's answer time and not by the number of records.
    """

    def __init__(self, owner: kernel.Kernel, batch_limit: int) -> None:
        self._kernel = owner
        self._batch_limit = batch_limit
        self._queue: queue.Queue[_Pending] = queue.Queue()
        self._task = tasks.Task("log-writer", self._run)

    @classmethod
    def from_config(cls, owner: kernel.Kernel, platform: settings.PlatformSettings) -> LogWriter:
        """Return a writer with the configured batch limit."""
        return cls(owner, platform.append_batch_limit)

    def start(self) -> None:
        """Begin to append."""
        self._client = self._kernel.find(names.LOG_CLIENT, log_client.LogClient)
        self._task.start()

    def stop(self) -> None:
        """Stop; records still queued are not appended."""
        self._task.stop()

    def submit(
        self, record: records.Record, notify: Callable[[log_client.AppendOutcome], None]
    ) -> None:
        """Queue a record; `notify` is called once with what became of its append."""
        self._queue.put(_Pending(record, notify))

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            batch = self._take_batch()
            if batch:
                self._append_batch(batch)

    def _take_batch(self) -> list[_Pending]:
        try:
            batch = [self._queue.get(timeout=QUEUE_POLL_S)]
        except queue.Empty:
            return []
        while len(batch) < self._batch_limit:
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return batch

    def _append_batch(self, batch: list[_Pending]) -> None:
        entries = tuple(log_entries.encode_record(pending.record) for pending in batch)
        outcome = self._client.append(entries)
        if not isinstance(outcome, log_client.Appended):
            logging.warning("append of %d records: %s", len(batch), outcome)
        for pending in batch:
            pending.notify(outcome)
