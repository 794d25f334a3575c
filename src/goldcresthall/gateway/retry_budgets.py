"""Budgets of repeats that all instances together may send to a service."""

from __future__ import annotations

import collections
import math
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings

USABLE_BUDGET_FRACTION = 0.75


class RetryWindowBudget:
    """Repeats of one service within a sliding window, this instance's part of them."""

    def __init__(self, limits: deployment_settings.RetryLimits) -> None:
        self._limits = limits
        self._lock = threading.Lock()
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def add_request(self, now_s: float) -> None:
        """Count one request for the service."""
        with self._lock:
            self._requests.append(now_s)
            self._drop_expired(self._requests, now_s)

    def take_retry(self, now_s: float, instances: int) -> bool:
        """Take one repeat if this instance's part allows it."""
        with self._lock:
            self._drop_expired(self._requests, now_s)
            self._drop_expired(self._retries, now_s)
            allowed = self._limits.ratio * len(self._requests) + self._limits.slack / max(
                1, instances
            )
            if len(self._retries) + 1 > math.floor(allowed * USABLE_BUDGET_FRACTION):
                return False
            self._retries.append(now_s)
            return True

    def _drop_expired(self, times: collections.deque[float], now_s: float) -> None:
        while times and times[0] < now_s - self._limits.window_s:
            times.popleft()


class RetryWindowBudgets:
    """The budgets of all services of an instance."""

    def __init__(self, limits: deployment_settings.RetryLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, RetryWindowBudget] = {}

    def find(self, service: str) -> RetryWindowBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, RetryWindowBudget(self._limits))
        return budget
