"""Counters of what the log costs and of what replay decided."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client

from goldcresthall.encoding import log_entries
from goldcresthall.kernel import names
from goldcresthall.log_service import log_client
from goldcresthall.observability import metrics
from goldcresthall.replication import replay

if TYPE_CHECKING:
    from goldcresthall.core import records
    from goldcresthall.encoding import exceptions
    from goldcresthall.kernel import kernel


def find_registry(service_kernel: kernel.Kernel) -> prometheus_client.CollectorRegistry:
    """Return the instance's registry, or a new one where no metrics service runs."""
    if names.METRICS in service_kernel.service_names:
        return service_kernel.find(names.METRICS, metrics.Metrics).registry
    return prometheus_client.CollectorRegistry()


class AppendMetrics:
    """Counts the cost of group commits."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._appends = prometheus_client.Counter(
            "goldcresthall_log_appends",
            "Appends to the platform's log.",
            ["outcome"],
            registry=registry,
        )
        self._records = prometheus_client.Counter(
            "goldcresthall_log_append_records",
            "Records in all appends.",
            ["type"],
            registry=registry,
        )
        self._bytes = prometheus_client.Counter(
            "goldcresthall_log_append_bytes", "Bytes of all appended entries.", registry=registry
        )
        self._dropped = prometheus_client.Counter(
            "goldcresthall_log_records_not_appended",
            "Records that were given up before any append.",
            ["reason"],
            registry=registry,
        )

    def count_append(
        self,
        batch: tuple[records.Record, ...],
        entries: tuple[bytes, ...],
        outcome: log_client.AppendOutcome,
    ) -> None:
        """Count one append, its records by type and its bytes."""
        self._appends.labels(type(outcome).__name__).inc()
        self._bytes.inc(sum(len(entry) for entry in entries))
        for record in batch:
            self._records.labels(log_entries.find_type_name(record)).inc()

    def count_dropped(self, reason: str) -> None:
        """Count a record that was given up before any append."""
        self._dropped.labels(reason).inc()


class ReplayMetrics:
    """Counts reads of the log and what replay made of the entries."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._reads = prometheus_client.Counter(
            "goldcresthall_log_reads", "Reads of the log.", ["outcome"], registry=registry
        )
        self._read_bytes = prometheus_client.Counter(
            "goldcresthall_log_read_bytes", "Bytes of all entries read.", registry=registry
        )
        self._accepted = prometheus_client.Counter(
            "goldcresthall_records_accepted",
            "Records that replay accepted.",
            ["type"],
            registry=registry,
        )
        self._rejected = prometheus_client.Counter(
            "goldcresthall_records_rejected",
            "Records that replay rejected.",
            ["type", "reason"],
            registry=registry,
        )
        self._malformed = prometheus_client.Counter(
            "goldcresthall_entries_malformed",
            "Entries of the log that are no whole record.",
            ["reason"],
            registry=registry,
        )
        self._condition = prometheus_client.Gauge(
            "goldcresthall_replica_condition",
            "One for the replica's present condition.",
            ["condition"],
            registry=registry,
        )
        self._next_offset = prometheus_client.Gauge(
            "goldcresthall_replica_next_offset",
            "Offset of the first entry not yet replayed.",
            registry=registry,
        )
        self._state_checks = prometheus_client.Counter(
            "goldcresthall_state_checks",
            "Comparisons of the state's digest with a peer's or a snapshot's.",
            ["source", "verdict"],
            registry=registry,
        )
        self._installed = prometheus_client.Counter(
            "goldcresthall_states_installed",
            "States taken whole from elsewhere.",
            ["source"],
            registry=registry,
        )
        self._shown_condition = ""

    def count_read(self, outcome: log_client.ReadOutcome) -> None:
        """Count one read by its outcome, and its bytes."""
        self._reads.labels(type(outcome).__name__).inc()
        if isinstance(outcome, log_client.LogPage):
            self._read_bytes.inc(sum(len(entry) for entry in outcome.entries))

    def count_replayed(self, replayed: replay.Replayed) -> None:
        """Count what replay decided on one entry."""
        if replayed.malformed is not None:
            self.count_malformed(replayed.malformed)
        if replayed.record is None:
            return
        type_name = log_entries.find_type_name(replayed.record)
        if isinstance(replayed.decision, replay.Rejected):
            self._rejected.labels(type_name, replayed.decision.reason.value).inc()
        else:
            self._accepted.labels(type_name).inc()
        self._next_offset.set(replayed.state.next_offset)

    def count_malformed(self, reason: exceptions.MalformedReason) -> None:
        """Count an entry that is no whole record."""
        self._malformed.labels(reason.value).inc()

    def count_state_check(self, source: str, verdict: str) -> None:
        """Count one comparison of digests with a peer or a snapshot."""
        self._state_checks.labels(source, verdict).inc()

    def count_installed(self, source: str) -> None:
        """Count a state taken whole from a snapshot or a peer."""
        self._installed.labels(source).inc()

    def show_condition(self, name: str) -> None:
        """Show the replica's present condition."""
        if name == self._shown_condition:
            return
        if self._shown_condition:
            self._condition.labels(self._shown_condition).set(0)
        self._condition.labels(name).set(1)
        self._shown_condition = name
