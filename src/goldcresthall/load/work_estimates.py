"""Interface for the expected work of requests."""

from __future__ import annotations

import abc

from goldcresthall.kernel import service

# Expected before anything is measured, and the usual work where only the size of noise matters.
DEFAULT_WORK_S = 0.2
# A response that takes longer than this multiple of the expected time may be lost: the work of a
# heavy-tailed route seldom exceeds this multiple of its mean.
LATE_FACTOR = 4.0


class WorkEstimates(service.Service):
    """Provides the expected work of a route's requests."""

    @abc.abstractmethod
    def expect_work_s(self, route: str) -> float:
        """Return the seconds that a request of a route takes on a server of usual speed."""
