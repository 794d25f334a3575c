"""Prometheus counters of lease renewals, lessor changes and partition moves."""

from __future__ import annotations

import prometheus_client

from goldcresthall.kernel import kernel as kernels
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.observability import metrics


class LeaseCounters(service.Service):
    """Lease and move counters of one instance, in the registry of the metrics service.

    Attributes
    ----------
    renewals
        Renewals by status of the server's response; ``unanswered`` for timeouts and failures,
        ``no_authority`` if none was sent because the lessor's authority had expired.
    lost_servers
        Servers declared lost.
    returned_servers
        Lost servers that were declared available again.
    takeovers
        Takeovers of the lessor role by this instance, by reason.
    handovers
        Handovers of the lessor role when this instance shut down.
    moves
        Partitions moved, by reason.
    held_moves
        Moves whose commit timed out with an unknown outcome.
    cancelled_moves
        Move cancellations submitted to the log.
    withdrawn_moves
        Batches of planned moves withdrawn before they were submitted to the log, by reason.
    refused_moves
        Move requests that were refused, by reason. A drain of a server that does not check
        grants counts as one request.
    """

    def __init__(self, service_kernel: kernels.Kernel) -> None:
        self._registry = service_kernel.find(names.METRICS, metrics.Metrics).registry
        self.renewals = self._create(
            "lease_renewals",
            "Lease renewals, by the server's response or the reason for sending none.",
            "status",
        )
        self.lost_servers = self._create("lost_servers", "Servers declared lost.")
        self.returned_servers = self._create(
            "returned_servers", "Lost servers declared available again."
        )
        self.takeovers = self._create(
            "lessor_takeovers", "Takeovers of the lessor role by this instance.", "reason"
        )
        self.handovers = self._create(
            "lessor_handovers", "Handovers of the lessor role at shutdown."
        )
        self.moves = self._create("moved_partitions", "Partitions moved.", "reason")
        self.held_moves = self._create(
            "held_moves", "Moves whose commit timed out with an unknown outcome."
        )
        self.cancelled_moves = self._create(
            "cancelled_moves", "Move cancellations submitted to the log."
        )
        self.withdrawn_moves = self._create(
            "withdrawn_moves", "Batches of planned moves withdrawn before their commit.", "reason"
        )
        self.refused_moves = self._create("refused_moves", "Move requests refused.", "reason")

    @classmethod
    def from_config(cls, service_kernel: kernels.Kernel) -> LeaseCounters:
        """Return the counters of an instance whose metrics service is registered."""
        return cls(service_kernel)

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def _create(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"goldcresthall_{name}", text, labels, registry=self._registry
        )
