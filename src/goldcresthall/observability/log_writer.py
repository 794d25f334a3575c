"""Writing of log lines by one task, so that a log that nobody reads holds up no other task."""

from __future__ import annotations

import collections
import datetime as dt
import functools
import json
import os
import signal
import threading
import time
from typing import TYPE_CHECKING
from typing import Final

from prometheus_client import core
from prometheus_client import registry

from goldcresthall.kernel import tasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MAX_QUEUED_LINES: Final = 4_000
MAX_QUEUED_BYTES: Final = 2 * 1_048_576
MAX_WRITE_BYTES: Final = 65_536
MAX_WAIT_S = 60.0


class LineWriter:
    """A bounded queue of lines, which its own task writes; lines that do not fit are dropped.

    Safe for use by several tasks. No method but `flush` waits for the reader of the log.

    Parameters
    ----------
    write
        Writes bytes; may block for any time.
    """

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self._write = write
        self._changed = threading.Condition()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._is_writing = False
        self._unreported_drops = 0
        self.dropped_count = 0
        tasks.start("log-writer", self._run)

    @property
    def room(self) -> int:
        """Number of lines for which there is room now."""
        if self._queued_bytes >= MAX_QUEUED_BYTES:
            return 0
        return MAX_QUEUED_LINES - len(self._queue)

    def put(self, *lines: str) -> None:
        """Queue lines, or count those as dropped for which there is no room."""
        with self._changed:
            for line in lines:
                self._append_or_drop(line.encode(errors="backslashreplace") + b"\n")
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all lines are written; return whether they are after `timeout_s` seconds."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._queue and not self._is_writing, timeout_s
            )

    def _append_or_drop(self, encoded: bytes) -> None:
        if self.room <= 0:
            self._count_drops(1)
            return
        if self._unreported_drops:
            self._append(_describe_drops(self._unreported_drops))
            self._unreported_drops = 0
        self._append(encoded)

    def _append(self, encoded: bytes) -> None:
        self._queue.append(encoded)
        self._queued_bytes += len(encoded)

    def _count_drops(self, count: int) -> None:
        self._unreported_drops += count
        self.dropped_count += count

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        # The task begins before the main one awaits signals, which would end the process here.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while not stop_signal.is_set:
            block, count = self._take_block()
            try:
                self._write(block)
            except OSError:
                # The log itself is broken, so that only the counter can tell.
                with self._changed:
                    self._count_drops(count)
            with self._changed:
                self._is_writing = False
                self._changed.notify_all()

    def _take_block(self) -> tuple[bytes, int]:
        """Wait for lines and return some of them with their number."""
        with self._changed:
            while not self._queue:
                self._changed.wait(MAX_WAIT_S)
            lines = [self._queue.popleft()]
            size = len(lines[0])
            while self._queue and size + len(self._queue[0]) <= MAX_WRITE_BYTES:
                lines.append(self._queue.popleft())
                size += len(lines[-1])
            self._queued_bytes -= size
            self._is_writing = True
        return b"".join(lines), len(lines)


class DroppedLineCollector(registry.Collector):
    """Collects the number of dropped log lines of all writers."""

    def collect(self) -> Iterator[core.Metric]:
        """Return the counter of dropped lines."""
        counter = core.CounterMetricFamily(
            "goldcresthall_log_lines_dropped",
            "Log lines dropped because the log was not read, or could not be written.",
        )
        counter.add_metric([], sum(writer.dropped_count for writer in tuple(_WRITERS)))
        yield counter


@functools.cache
def find_writer(descriptor: int) -> LineWriter:
    """Return the one writer of a file descriptor."""
    writer = LineWriter(functools.partial(_write_all, descriptor))
    _WRITERS.append(writer)
    return writer


def flush_all(timeout_s: float) -> bool:
    """Wait until all lines are written; return whether they are after `timeout_s` seconds."""
    ends_at_s = time.monotonic() + timeout_s
    return all(writer.flush(max(0.0, ends_at_s - time.monotonic())) for writer in tuple(_WRITERS))


_WRITERS: list[LineWriter] = []


def _write_all(descriptor: int, block: bytes) -> None:
    view = memoryview(block)
    while view:
        view = view[os.write(descriptor, view) :]


def _describe_drops(count: int) -> bytes:
    line = {
        "time": dt.datetime.now(dt.UTC).isoformat(timespec="milliseconds"),
        "event": "log_lines_dropped",
        "count": count,
    }
    return json.dumps(line).encode() + b"\n"
