"""Metrics of the calls to the platform's store, each of which is priced."""

from __future__ import annotations

import prometheus_client


class StoreMetrics:
    """Counts calls by topic, operation and result, and shows the era of the store.

    Parameters
    ----------
    registry
        Registry in which the metrics are exported.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._calls = prometheus_client.Counter(
            "goldcresthall_store_calls",
            "Calls to the platform's store.",
            ["topic", "operation", "result"],
            registry=registry,
        )
        self._era = prometheus_client.Gauge(
            "goldcresthall_store_era",
            "Era of the store, which rises when it comes back from a copy.",
            registry=registry,
        )
        self._restores = prometheus_client.Counter(
            "goldcresthall_store_restores",
            "Rises of the store's era seen by this process.",
            registry=registry,
        )

    def count_call(self, topic: str, operation: str, *, succeeded: bool) -> None:
        """Count one call; it succeeded if the store responded."""
        self._calls.labels(topic, operation, "responded" if succeeded else "failed").inc()

    def record_era(self, era: int, *, is_rise: bool) -> None:
        """Record the store's era; it is a rise unless it is the first one known."""
        self._era.set(era)
        if is_rise:
            self._restores.inc()
