"""Interface for sending requests to backend servers, with cancellation."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from goldcresthall.kernel import service

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import attempts
    from goldcresthall.core import identity
    from goldcresthall.kernel import cancellation


class RequestSender(service.Service):
    """Sends requests to backend servers and waits for the complete responses."""

    @abc.abstractmethod
    def send(
        self,
        dispatch: attempts.Dispatch,
        cancelled: cancellation.Cancellation,
        may_resend: Callable[[], bool],
    ) -> attempts.Attempt:
        """Send one request to one server; cancellation aborts it.

        Parameters
        ----------
        may_resend
            Asked before an idempotent request is sent once more, on a new connection, because its
            server reset the reused one at once.
        """

    @abc.abstractmethod
    def has_idle(self, address: identity.Address) -> bool:
        """Return whether there is an idle connection to a server's address."""
