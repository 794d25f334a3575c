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
        may_send: Callable[[], bool],
    ) -> attempts.Attempt:
        """Send one request to one server; cancellation aborts it.

        Parameters
        ----------
        may_send
            Asked once there is a connection, right before the first byte is sent.
        """

    @abc.abstractmethod
    def has_idle(self, address: identity.Address) -> bool:
        """Return whether there is an idle connection to a server's address."""
