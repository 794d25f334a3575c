"""Interface of clients of backend servers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.core import leases
    from goldcresthall.core import preset


class BackendClient(service.Service):
    """Sends requests and lease messages to backend servers."""

    @abc.abstractmethod
    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Send one request to one server and wait for the complete response."""

    def probe(
        self, server: preset.BackendServer, timeout_s: float
    ) -> attempts.ServerSignals | None:
        """Return a server's health signals, or `None` if it gives no valid response."""
        return None

    @abc.abstractmethod
    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Renew a server's lease."""

    @abc.abstractmethod
    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Query a server's lease without changing it."""
