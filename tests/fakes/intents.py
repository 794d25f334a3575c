"""An intents service that dispatches at once, for tests of what follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.intents import service

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import outcomes
    from goldcresthall.core import requests


class PassthroughIntents(service.Intents):
    """Records nothing."""

    def __init__(self) -> None:
        """Need no kernel."""

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def run_once(
        self, request: requests.Request, deadline_s: float, attempt: Callable[[], outcomes.Outcome]
    ) -> outcomes.Outcome:
        """Dispatch the request."""
        return attempt()
