"""Decision log: one line per request, bounded in volume and never blocking."""

from __future__ import annotations

import collections
import dataclasses
import datetime as dt
import json
import sys
import threading
from typing import TYPE_CHECKING
from typing import Final

import prometheus_client

from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.observability import log_writer
from goldcresthall.observability import metrics

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel

MAX_QUEUED_DECISIONS = 2_000
MAX_BATCH_DECISIONS = 200
WRITE_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestDecision:
    """The routing decision on one request and the inputs it was based on.

    Attributes
    ----------
    configuration
        Version of the configuration used; 0 if there was none.
    owners_term
        Term of the ownership view used.
    owners_age_ms
        Age of that view in milliseconds.
    servers_age_ms
        Age of the server list in milliseconds as each of these tries began.
    tried
        Servers tried, in order, each with its result.
    """

    request_id: str
    route: str
    service: str
    key: str
    configuration: int
    owners_term: int
    owners_age_ms: int
    servers_age_ms: tuple[int, ...]
    tried: tuple[str, ...]
    outcome: str
    reason: str
    step: str
    peer: str
    detail: str
    duration_ms: int


DECISION_FIELDS: Final = tuple(field.name for field in dataclasses.fields(RequestDecision))
ENCODER: Final = json.JSONEncoder(separators=(",", ":"))


class DecisionLog(service.Service):
    """Writes decisions in batches from its own task; counts those the queue has no room for."""

    def __init__(
        self, service_kernel: kernel.Kernel, instance: str, writer: log_writer.LineWriter
    ) -> None:
        self._kernel = service_kernel
        self._instance = instance
        self._writer = writer
        self._lock = threading.Lock()
        self._queue: collections.deque[RequestDecision] = collections.deque()
        self._unreported_drops = 0
        self._task = tasks.LoopTask("decision-log", self._run)

    @classmethod
    def from_config(cls, service_kernel: kernel.Kernel, instance: str) -> DecisionLog:
        """Return a log that writes to standard output."""
        return cls(service_kernel, instance, log_writer.find_writer(sys.stdout.fileno()))

    def start(self) -> None:
        """Start the writer task."""
        metrics_service = self._kernel.find(names.METRICS, metrics.Metrics)
        self._dropped_total = prometheus_client.Counter(
            "goldcresthall_decisions_dropped",
            "Decisions dropped because the queue of the decision log was full.",
            registry=metrics_service.registry,
        )
        self._task.start()

    def stop(self) -> None:
        """Queue all decisions for which the log has room, and stop."""
        self._task.stop()

    def record(self, decision: RequestDecision) -> None:
        """Queue a decision, or count it as dropped if the queue is full."""
        with self._lock:
            if len(self._queue) < MAX_QUEUED_DECISIONS:
                self._queue.append(decision)
                return
            self._unreported_drops += 1
        self._dropped_total.inc()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(WRITE_INTERVAL_S):
            self._write_batch()
        while self._write_batch():
            pass

    def _write_batch(self) -> bool:
        room = self._writer.room
        with self._lock:
            count = min(MAX_BATCH_DECISIONS, len(self._queue), room)
            batch = [self._queue.popleft() for _ in range(count)]
            dropped = self._unreported_drops if room else 0
            self._unreported_drops -= dropped
        lines = [self._format(_list_fields(decision)) for decision in batch]
        if dropped:
            lines.append(self._format({"event": "decisions_dropped", "count": dropped}))
        if lines:
            self._writer.put(*lines)
        return bool(lines)

    def _format(self, fields: dict[str, object]) -> str:
        time = dt.datetime.now(dt.UTC).isoformat(timespec="milliseconds")
        non_empty_fields = {name: value for name, value in fields.items() if value not in ("", ())}
        line = {"time": time, "instance": self._instance, **non_empty_fields}
        return ENCODER.encode(line)


def _list_fields(decision: RequestDecision) -> dict[str, object]:
    """Return the fields of a decision by name; all are plain values, so none is copied."""
    return {name: getattr(decision, name) for name in DECISION_FIELDS}
