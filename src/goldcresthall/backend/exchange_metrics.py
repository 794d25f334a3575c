"""Metrics of the exchanges with backend servers."""

from __future__ import annotations

import enum

import prometheus_client


class ConnectionUse(enum.Enum):
    """How an exchange got its connection; `FORGOTTEN` follows if its server had reset it."""

    OPENED = "opened"
    REUSED = "reused"
    FORGOTTEN = "forgotten"


class ExchangeMetrics:
    """Counts commands by their outcome, and responses that no request was waiting for.

    Parameters
    ----------
    registry
        Registry in which the counters are exported.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._commands = prometheus_client.Counter(
            "goldcresthall_range_commands",
            "Grants and releases sent to backend servers.",
            ["command", "outcome", "connection"],
            registry=registry,
        )
        self._surplus = prometheus_client.Counter(
            "goldcresthall_surplus_responses",
            "Kept connections closed because bytes came on them that answer no request.",
            ["traffic"],
            registry=registry,
        )
        self._connections = prometheus_client.Counter(
            "goldcresthall_backend_connections",
            "Connections to backend servers opened or reused for an exchange.",
            ["traffic", "use"],
            registry=registry,
        )

    def count_command(self, command: str, outcome: str, *, is_first_exchange: bool) -> None:
        """Count a command by the name of its outcome and the age of its connection."""
        connection = "new" if is_first_exchange else "kept"
        self._commands.labels(command, outcome, connection).inc()

    def count_surplus(self, traffic: str) -> None:
        """Count a connection that was closed for surplus bytes."""
        self._surplus.labels(traffic).inc()

    def count_connection(self, traffic: str, use: ConnectionUse) -> None:
        """Count an exchange by how it got its connection."""
        self._connections.labels(traffic, use.value).inc()
