"""Group commit: appends queued records to the log in batches."""

from __future__ import annotations

import dataclasses
import math
import queue
from collections.abc import Callable
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import records
from goldcresthall.encoding import log_entries
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import log_client
from goldcresthall.replication import replica_metrics

if TYPE_CHECKING:

    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

QUEUE_POLL_INTERVAL_S = 0.5
LOG_MESSAGE_INTERVAL_S = 10
MAX_QUEUED_RECORDS = 2_000
MAX_BATCH_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRecord:
    record: records.Record
    entry: bytes
    notify: Callable[[log_client.AppendOutcome], None]
    ends_at_s: float


class LogWriter(service.Service):
    """Appends queued records in batches, one append at a time.

    Records that are submitted during an append form the next batch, so that the rate of
    appends is bounded by the log's latency and not by the number of records.
    """

    def __init__(self, service_kernel: kernel.Kernel, batch_limit: int) -> None:
        self._kernel = service_kernel
        self._batch_limit = batch_limit
        self._queue: queue.Queue[_PendingRecord] = queue.Queue(MAX_QUEUED_RECORDS)
        self._deferred: _PendingRecord | None = None
        self._task = tasks.LoopTask("log-writer", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, platform: settings.PlatformSettings
    ) -> LogWriter:
        """Return a writer with the configured batch limit."""
        return cls(service_kernel, platform.append_batch_limit)

    def start(self) -> None:
        """Look up the required services and start appending."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._client = self._kernel.find(names.LOG_CLIENT, log_client.LogClient)
        self._metrics = replica_metrics.AppendMetrics(replica_metrics.find_registry(self._kernel))
        self._task.start()

    def stop(self) -> None:
        """Stop appending; the submitters of queued records are notified of the refusal."""
        self._task.stop()
        if self._deferred is not None:
            self._drop(self._deferred, "stopping")
        while True:
            try:
                self._drop(self._queue.get_nowait(), "stopping")
            except queue.Empty:
                return

    def submit(
        self,
        record: records.Record,
        notify: Callable[[log_client.AppendOutcome], None],
        ends_at_s: float = math.inf,
    ) -> None:
        """Queue a record; `notify` is called once with the outcome of its append.

        Parameters
        ----------
        ends_at_s
            Clock reading after which the record is dropped instead of appended, so that
            stale decisions are not appended after an outage of the log.
        """
        pending = _PendingRecord(record, log_entries.encode_record(record), notify, ends_at_s)
        try:
            self._queue.put_nowait(pending)
        except queue.Full:
            self._drop(pending, "queue_full")

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            batch = self._take_batch()
            if batch:
                self._append_batch(batch)

    def _take_batch(self) -> list[_PendingRecord]:
        first = self._deferred
        self._deferred = None
        try:
            batch = [first or self._queue.get(timeout=QUEUE_POLL_INTERVAL_S)]
        except queue.Empty:
            return []
        batch_bytes = len(batch[0].entry)
        while len(batch) < self._batch_limit:
            try:
                pending = self._queue.get_nowait()
            except queue.Empty:
                break
            batch_bytes += len(pending.entry)
            if batch_bytes > MAX_BATCH_BYTES:
                self._deferred = pending
                break
            batch.append(pending)
        return self._drop_expired(batch)

    def _drop_expired(self, batch: list[_PendingRecord]) -> list[_PendingRecord]:
        now_s = self._clock.read_s()
        for pending in batch:
            if pending.ends_at_s < now_s:
                self._drop(pending, "timeout")
        return [pending for pending in batch if pending.ends_at_s >= now_s]

    def _append_batch(self, batch: list[_PendingRecord]) -> None:
        entries = tuple(pending.entry for pending in batch)
        outcome = self._client.append(entries)
        self._metrics.count_append(tuple(pending.record for pending in batch), entries, outcome)
        if not isinstance(outcome, log_client.Appended):
            logging.log_every_n_seconds(
                logging.WARNING,
                "append of %d records not confirmed: %s",
                LOG_MESSAGE_INTERVAL_S,
                len(batch),
                outcome,
            )
        for pending in batch:
            pending.notify(outcome)

    def _drop(self, pending: _PendingRecord, reason: str) -> None:
        self._metrics.count_dropped(reason)
        pending.notify(log_client.AppendRefused(f"not appended: {reason}"))
