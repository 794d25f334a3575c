"""Metrics service: the registry, and the metrics of requests, retries and ejections."""

from __future__ import annotations

import enum
import functools
from typing import TYPE_CHECKING
from typing import Final

import prometheus_client

from goldcresthall.core import outcomes
from goldcresthall.kernel import service

if TYPE_CHECKING:
    from collections.abc import Callable


# Draining servers must get no more requests after 2 to 3 s.
LIST_AGE_BUCKETS_S: Final = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0, 4.0, 8.0)


class ServerSignal(enum.Enum):
    """How a backend server says that it wants no more requests."""

    DRAINING = "draining"
    RETRY_AFTER = "retry_after"


class Metrics(service.Service):
    """Registry of one instance's metrics, with the metrics of its request path."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._answered = prometheus_client.Counter(
            "goldcresthall_answered",
            "Requests answered with a complete response.",
            registry=self._registry,
        )
        self._refused = prometheus_client.Counter(
            "goldcresthall_refused",
            "Requests refused and not run.",
            ["reason", "step"],
            registry=self._registry,
        )
        self._unknown = prometheus_client.Counter(
            "goldcresthall_outcome_unknown",
            "Requests that may or may not have been run.",
            ["reason", "step"],
            registry=self._registry,
        )
        self._retries = prometheus_client.Counter(
            "goldcresthall_retries",
            "Attempts after the first.",
            ["reason"],
            registry=self._registry,
        )
        self._retries_denied = prometheus_client.Counter(
            "goldcresthall_retries_denied",
            "Safe retries that the retry budget did not allow.",
            ["reason"],
            registry=self._registry,
        )
        self._ejections = prometheus_client.Counter(
            "goldcresthall_server_ejections",
            "Ejections of backend servers after failures.",
            ["service"],
            registry=self._registry,
        )
        self._signals = prometheus_client.Counter(
            "goldcresthall_server_signals",
            "Responses in which a backend server said that it wants no more requests.",
            ["signal"],
            registry=self._registry,
        )
        self._duration = prometheus_client.Histogram(
            "goldcresthall_request_duration_seconds",
            "Time from a request's arrival to its outcome.",
            registry=self._registry,
        )

        self._list_age = prometheus_client.Histogram(
            "goldcresthall_server_list_age_seconds",
            "Age of the server list as an attempt begins.",
            buckets=LIST_AGE_BUCKETS_S,
            registry=self._registry,
        )

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """Registry in which other services register their metrics."""
        return self._registry

    def start(self) -> None:
        """Do nothing; there is nothing to start."""

    def stop(self) -> None:
        """Do nothing; there is nothing to stop."""

    def count_outcome(self, outcome: outcomes.Outcome, duration_s: float) -> None:
        """Count a request's outcome and its duration in seconds."""
        _count(outcome, self._answered, self._refused, self._unknown)
        self._duration.observe(duration_s)

    def observe_list_age(self, age_s: float) -> None:
        """Record the age in seconds of the server list as an attempt begins."""
        self._list_age.observe(age_s)

    def count_retry(self, reason: outcomes.RefusalReason | outcomes.UnknownReason) -> None:
        """Count one retry by its reason."""
        self._retries.labels(reason.value).inc()

    def count_retry_denied(self, reason: outcomes.RefusalReason | outcomes.UnknownReason) -> None:
        """Count one retry that the retry budget did not allow, by its reason."""
        self._retries_denied.labels(reason.value).inc()

    def count_ejection(self, service: str) -> None:
        """Count one ejection of a backend server of a service."""
        self._ejections.labels(service).inc()

    def count_signal(self, signal: ServerSignal) -> None:
        """Count one response of a backend server with a signal."""
        self._signals.labels(signal.value).inc()

    def register_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read on each scrape."""
        gauge = prometheus_client.Gauge(
            f"goldcresthall_{name}", description, registry=self._registry
        )
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


@functools.singledispatch
def _count(
    outcome: outcomes.Outcome,
    answered: prometheus_client.Counter,
    refused: prometheus_client.Counter,
    unknown: prometheus_client.Counter,
) -> None:
    raise NotImplementedError(type(outcome).__name__)


@_count.register
def _(
    outcome: outcomes.Answered,
    answered: prometheus_client.Counter,
    refused: prometheus_client.Counter,
    unknown: prometheus_client.Counter,
) -> None:
    answered.inc()


@_count.register
def _(
    outcome: outcomes.AlreadyAnswered,
    answered: prometheus_client.Counter,
    refused: prometheus_client.Counter,
    unknown: prometheus_client.Counter,
) -> None:
    refused.labels("already_answered", outcomes.Step.RECORD_INTENT.value).inc()


@_count.register
def _(
    outcome: outcomes.Refused,
    answered: prometheus_client.Counter,
    refused: prometheus_client.Counter,
    unknown: prometheus_client.Counter,
) -> None:
    refused.labels(outcome.reason.value, outcome.step.value).inc()


@_count.register
def _(
    outcome: outcomes.OutcomeUnknown,
    answered: prometheus_client.Counter,
    refused: prometheus_client.Counter,
    unknown: prometheus_client.Counter,
) -> None:
    unknown.labels(outcome.reason.value, outcome.step.value).inc()
