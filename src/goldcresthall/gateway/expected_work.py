"""Expected work of a request, until the work model is available."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.gateway import estimates

if TYPE_CHECKING:
    from goldcresthall.core import deployment


class ExpectedWork:
    """Expected work from this instance's own estimates, with the interface of the work model."""

    def __init__(self, server_estimates: estimates.Estimates) -> None:
        self._estimates = server_estimates

    def expect_s(self, route: str, server: deployment.RegisteredServer) -> float:
        """Return the seconds that a route's work takes at a server, without queueing."""
        del route
        return self._estimates.find(server).service_time_s

    def expect_work_s(self, route: str) -> float:
        """Return the seconds that a route's work takes on a server of usual speed."""
        del route
        return estimates.DEFAULT_SERVICE_TIME_S
