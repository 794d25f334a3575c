"""Backend servers as the rest of the code sees them."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from goldcresthall.kernel import service

if TYPE_CHECKING:
    from goldcresthall.core import attempts
    from goldcresthall.core import leases
    from goldcresthall.core import preset


class BackendClient(service.Service):
    """Sends work and lease messages to backend servers."""

    @abc.abstractmethod
    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Send one request to one server and wait for its whole answer."""

    def probe(
        self, server: preset.BackendServer, timeout_s: float
    ) -> attempts.ServerSignals | None:
        """Ask a server what it says of itself; none if it gives no usable answer."""
        return None

    @abc.abstractmethod
    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Ask a server to let its lease run on."""

    @abc.abstractmethod
    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Ask a server for its lease without changing it."""
