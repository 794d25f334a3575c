"""Metrics of the calls to the platform's store, each of which is priced."""

from __future__ import annotations

import prometheus_client


class StoreMetrics:
    """Counts calls by topic, operation and result.

    Parameters
    ----------
    registry
        Registry in which the counter is exported.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._calls = prometheus_client.Counter(
            "goldcresthall_store_calls",
            "Calls to the platform's store.",
            ["topic", "operation", "result"],
            registry=registry,
        )

    def count_call(self, topic: str, operation: str, *, succeeded: bool) -> None:
        """Count one call; it succeeded if the store responded."""
        self._calls.labels(topic, operation, "responded" if succeeded else "failed").inc()
