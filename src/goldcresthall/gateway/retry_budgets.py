"""Retry budgets: limits on the retries that all instances together send to a service."""

from __future__ import annotations

import collections
import math
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings

USABLE_BUDGET_FRACTION = 0.75


class RetryWindowBudget:
    """The share of one instance in a service's retry budget over a sliding window."""

    def __init__(self, limits: deployment_settings.RetryLimits) -> None:
        self._limits = limits
        self._lock = threading.Lock()
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def add_request(self, now_s: float) -> None:
        """Count a request for the service; each request adds to the budget."""
        with self._lock:
            self._requests.append(now_s)
            self._drop_expired(self._requests, now_s)

    def take_retry(self, now_s: float, instances: int) -> bool:
        """Spend one retry if this instance's share allows it.

        Parameters
        ----------
        instances
            Number of live instances, which share the budget's slack equally.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        with self._lock:
            if not self._has_retry(now_s, instances):
                return False
            self._retries.append(now_s)
            return True

    def _has_retry(self, now_s: float, instances: int) -> bool:
        self._drop_expired(self._requests, now_s)
        self._drop_expired(self._retries, now_s)
        allowed = self._limits.ratio * len(self._requests) + self._limits.slack / max(1, instances)
        return len(self._retries) + 1 <= math.floor(allowed * USABLE_BUDGET_FRACTION)

    def _drop_expired(self, times: collections.deque[float], now_s: float) -> None:
        while times and times[0] < now_s - self._limits.window_s:
            times.popleft()


class RetryWindowBudgets:
    """The retry budgets of all services of an instance."""

    def __init__(self, limits: deployment_settings.RetryLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, RetryWindowBudget] = {}

    def find(self, service: str) -> RetryWindowBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, RetryWindowBudget(self._limits))
        return budget
