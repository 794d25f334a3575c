"""Adaptive limit on the concurrent requests of this instance at one backend server."""

from __future__ import annotations

import dataclasses
import math

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset

WINDOW_RESPONSES = 10  # between two changes of the limit by latency
INFLATED_LATENCY_FACTOR = 2.0
MAX_INFLATED_FRACTION = 0.5
DECREASE_FACTOR = 0.5
BASELINE_DRIFT_FACTOR = 1.002  # per response; lets the baseline follow a lasting rise of latency
MAX_LONG_FRACTION = 0.5  # of the slots; keeps the rest for short requests


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Bounds of the concurrency limit of one instance at one server.

    Attributes
    ----------
    fair_limit
        Concurrent requests if the server's slots are divided evenly among the live
        instances; the limit starts here.
    max_limit
        Upper bound of concurrent requests: all slots of the server, or the share of its
        connections if that is less.
    """

    fair_limit: int
    max_limit: int

    @classmethod
    def from_config(cls, policy: preset.ServicePolicy, instances: int) -> Share:
        """Return the bounds for each of `instances` live instances; at least one request."""
        connections = max(1, policy.connections_per_server // instances)
        fair_limit = max(1, math.ceil(policy.slots_per_server / instances))
        return cls(
            fair_limit=min(fair_limit, connections),
            max_limit=min(policy.slots_per_server, connections),
        )


class ConcurrencyLimiter:
    """Limits the concurrent requests of this instance at one server.

    Additive increase, multiplicative decrease, starting at the fair share. The limit
    grows by one after a window of responses with mostly normal latency if requests
    are waiting. It is halved when the server sheds load. It is also halved, but not
    below the fair share, when most responses of a window took more than twice the
    baseline latency: below the fair share, queueing here only leaves slots idle.
    """

    def __init__(self, share: Share) -> None:
        self._share = share
        self._limit = share.fair_limit
        self._baseline_s = math.inf
        self._response_count = 0
        self._inflated_count = 0
        self.outstanding = 0
        self.outstanding_long = 0

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests at the server."""
        return self._limit

    @property
    def long_limit(self) -> int:
        """Maximum number of concurrent long requests at the server."""
        return max(1, int(self._limit * MAX_LONG_FRACTION))

    def set_share(self, share: Share) -> None:
        """Set new bounds and clamp the adapted limit to them."""
        if share != self._share:
            self._share = share
            self._limit = min(share.max_limit, max(share.fair_limit, self._limit))

    def has_capacity(self, request_class: preset.RequestClass) -> bool:
        """Return whether one more request of a class may be sent to the server."""
        if self.outstanding >= self._limit:
            return False
        is_long = request_class is preset.RequestClass.LONG
        return not is_long or self.outstanding_long < self.long_limit

    def acquire(self, request_class: preset.RequestClass) -> None:
        """Count a request that is sent to the server."""
        self.outstanding += 1
        self.outstanding_long += request_class is preset.RequestClass.LONG

    def release(self, request_class: preset.RequestClass) -> None:
        """Count a request at the server as finished."""
        self.outstanding -= 1
        self.outstanding_long -= request_class is preset.RequestClass.LONG

    def adapt(
        self,
        attempt: attempts.Attempt,
        request_class: preset.RequestClass,
        duration_s: float,
        *,
        has_waiters: bool,
    ) -> None:
        """Adapt the limit to the result of an attempt.

        Parameters
        ----------
        has_waiters
            Whether other requests are waiting; otherwise the limit has no need to grow.
        """
        if isinstance(attempt, attempts.AttemptNotRun):
            if attempt.reason is outcomes.RefusalReason.SERVER_SHED:
                self._decrease(floor=1)
        elif request_class is preset.RequestClass.SHORT:
            self._record_latency(duration_s, has_waiters=has_waiters)

    def _record_latency(self, duration_s: float, *, has_waiters: bool) -> None:
        self._baseline_s = min(duration_s, self._baseline_s * BASELINE_DRIFT_FACTOR)
        self._response_count += 1
        self._inflated_count += duration_s > INFLATED_LATENCY_FACTOR * self._baseline_s
        if self._response_count < WINDOW_RESPONSES:
            return
        if self._inflated_count > MAX_INFLATED_FRACTION * self._response_count:
            self._decrease(floor=min(self._share.fair_limit, self._limit))
        elif has_waiters:
            self._limit = min(self._share.max_limit, self._limit + 1)
        self._response_count = 0
        self._inflated_count = 0

    def _decrease(self, *, floor: int) -> None:
        self._limit = max(floor, int(self._limit * DECREASE_FACTOR))
        self._response_count = 0
        self._inflated_count = 0
