"""Counts and log lines of the callers that were refused, by reason."""

from __future__ import annotations

import dataclasses
import enum
import threading
import time
from typing import TYPE_CHECKING
from typing import Final

import prometheus_client
from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

# One line for each reason in this time, however many callers there are.
LOG_INTERVAL_S: Final = 10.0


class Reason(enum.Enum):
    """Why a request or a connection was refused."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    MEMORY_SHORT = "memory_short"
    MEMORY_RECLAIMED = "memory_reclaimed"
    RESPONSE_UNREAD = "response_unread"
    CONNECTION_REPLACED = "connection_replaced"
    CONNECTION_LIMIT = "connection_limit"


@dataclasses.dataclass(slots=True)
class _Tally:
    count: int = 0
    logged_at_s: float | None = None


class RefusalLog:
    """Counts refusals, and logs a bounded number of lines.

    Parameters
    ----------
    read_s
        Clock, in seconds.
    """

    def __init__(self, read_s: Callable[[], float] = time.monotonic) -> None:
        self._read_s = read_s
        self._lock = threading.Lock()
        self._tallies = {reason: _Tally() for reason in Reason}
        self._counter = prometheus_client.Counter(
            "goldcresthall_caller_refusals",
            "Requests and connections of callers that were refused or closed.",
            ["reason"],
            registry=None,
        )

    def register(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Export the counter in a registry."""
        registry.register(self._counter)

    def count(self, reason: Reason, detail: str) -> None:
        """Count a refusal; its detail is logged if no line was due to the reason lately."""
        self._counter.labels(reason.value).inc()
        now_s = self._read_s()
        with self._lock:
            tally = self._tallies[reason]
            tally.count += 1
            if tally.logged_at_s is not None and now_s - tally.logged_at_s < LOG_INTERVAL_S:
                return
            tally.logged_at_s = now_s
            count, tally.count = tally.count, 0
        logging.warning(
            "callers refused, reason %s, %d since the last line: %s", reason.value, count, detail
        )
