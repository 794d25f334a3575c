"""Metrics of the peer protocol."""

from __future__ import annotations

import prometheus_client


class PeerMetrics:
    """Counts bytes, relayed entries and failed exchanges, the last by step, peer and reason."""

    def __init__(self, registry: prometheus_client.CollectorRegistry, side: str) -> None:
        self._bytes = prometheus_client.Counter(
            f"goldcresthall_peer_{side}_bytes",
            "Bytes of frames exchanged with peers.",
            ["direction"],
            registry=registry,
        )
        self._faults = prometheus_client.Counter(
            f"goldcresthall_peer_{side}_faults",
            "Exchanges with peers that failed or were refused.",
            ["step", "peer", "reason"],
            registry=registry,
        )
        self._relayed = prometheus_client.Counter(
            f"goldcresthall_peer_{side}_relayed_entries",
            "Log entries relayed between peers.",
            registry=registry,
        )
        self._received = self._bytes.labels("received")
        self._sent = self._bytes.labels("sent")

    @classmethod
    def create_unregistered(cls) -> PeerMetrics:
        """Return metrics that are not exported, for a short-lived connection."""
        return cls(prometheus_client.CollectorRegistry(), "detached")

    def count_received(self, size: int) -> None:
        """Count the bytes of a received frame."""
        self._received.inc(size)

    def count_sent(self, size: int) -> None:
        """Count the bytes of a sent frame."""
        self._sent.inc(size)

    def count_fault(self, step: str, peer: str, reason: str) -> None:
        """Count an exchange that failed or was refused."""
        self._faults.labels(step, peer, reason).inc()

    def count_relayed(self, entries: int) -> None:
        """Count relayed log entries."""
        self._relayed.inc(entries)
