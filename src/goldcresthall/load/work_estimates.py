"""Interface for the expected work of requests, and the estimate without any measurement."""

from __future__ import annotations

import abc

from goldcresthall.kernel import service

DEFAULT_WORK_S = 0.2


class WorkEstimates(service.Service):
    """Provides the expected work of a route's requests."""

    @abc.abstractmethod
    def expect_work_s(self, route: str) -> float:
        """Return the seconds that a request of a route takes on a server of usual speed."""


class DefaultWorkEstimates(WorkEstimates):
    """Expects `DEFAULT_WORK_S` of work from every request."""

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def expect_work_s(self, route: str) -> float:
        """Return `DEFAULT_WORK_S`."""
        del route
        return DEFAULT_WORK_S
