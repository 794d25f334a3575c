"""An intents service that dispatches immediately, for tests of the dispatch path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.intents import service

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import outcomes
    from goldcresthall.core import requests


class PassthroughIntents(service.Intents):
    """Dispatches each request without recording an intent."""

    def __init__(self) -> None:
        """Do nothing; no kernel is needed."""

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def run_once(
        self, request: requests.Request, deadline_s: float, attempt: Callable[[], outcomes.Outcome]
    ) -> outcomes.Outcome:
        """Dispatch the request."""
        return attempt()
