"""Metrics of appends to the log, of reads from it and of replay."""

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
    """Return the instance's metrics registry, or a new one if there is no metrics service."""
    if names.METRICS in service_kernel.service_names:
        return service_kernel.find(names.METRICS, metrics.Metrics).registry
    return prometheus_client.CollectorRegistry()


class AppendMetrics:
    """Metrics of appends by the log writer."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._appends = prometheus_client.Counter(
            "goldcresthall_log_appends",
            "Appends to the platform's log.",
            ["outcome"],
            registry=registry,
        )
        self._records = prometheus_client.Counter(
            "goldcresthall_log_append_records",
            "Records in all appends, of any outcome.",
            ["type"],
            registry=registry,
        )
        self._bytes = prometheus_client.Counter(
            "goldcresthall_log_append_bytes",
            "Bytes of the entries in all appends, of any outcome.",
            registry=registry,
        )
        self._dropped = prometheus_client.Counter(
            "goldcresthall_log_records_not_appended",
            "Records dropped before an append.",
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
        """Count a record that was dropped before an append."""
        self._dropped.labels(reason).inc()


class ReplayMetrics:
    """Metrics of log reads, replayed entries and state checks."""

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
            "Entries of the log that could not be decoded to a record.",
            ["reason"],
            registry=registry,
        )
        self._condition = prometheus_client.Gauge(
            "goldcresthall_replica_condition",
            "1 for the current condition of the replica, 0 for earlier ones.",
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
            "Complete states installed from a snapshot or a peer.",
            ["source"],
            registry=registry,
        )
        self._shown_condition = ""

    def count_read(self, outcome: log_client.ReadOutcome) -> None:
        """Count one read by its outcome, and the bytes of its entries."""
        self._reads.labels(type(outcome).__name__).inc()
        if isinstance(outcome, log_client.LogPage):
            self._read_bytes.inc(sum(len(entry) for entry in outcome.entries))

    def count_replayed(self, replayed: replay.Replayed) -> None:
        """Count one replayed entry by the decision on it."""
        if replayed.malformed is not None:
            self.count_malformed(replayed.malformed)
        self.show_next_offset(replayed.state.next_offset)
        if replayed.record is None:
            return
        type_name = log_entries.find_type_name(replayed.record)
        if isinstance(replayed.decision, replay.Rejected):
            self._rejected.labels(type_name, replayed.decision.reason.value).inc()
        else:
            self._accepted.labels(type_name).inc()

    def show_next_offset(self, offset: int) -> None:
        """Set the gauge of the first offset not yet replayed."""
        self._next_offset.set(offset)

    def count_malformed(self, reason: exceptions.MalformedReason) -> None:
        """Count an entry that cannot be decoded to a record."""
        self._malformed.labels(reason.value).inc()

    def count_state_check(self, source: str, verdict: str) -> None:
        """Count one comparison of the state's digest with that of a peer or a snapshot."""
        self._state_checks.labels(source, verdict).inc()

    def count_installed(self, source: str) -> None:
        """Count a complete state installed from a snapshot or a peer."""
        self._installed.labels(source).inc()

    def show_condition(self, name: str) -> None:
        """Set the gauge of the replica's condition to `name`."""
        if name == self._shown_condition:
            return
        if self._shown_condition:
            self._condition.labels(self._shown_condition).set(0)
        self._condition.labels(name).set(1)
        self._shown_condition = name
