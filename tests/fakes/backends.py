"""Fake client of backend servers that returns scripted attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.backend import client
from goldcresthall.core import attempts
from goldcresthall.core import leases
from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import preset

ANSWERED = attempts.AttemptAnswered(outcomes.Answer(200, (), b"whole"))
SHED = attempts.AttemptNotRun(
    outcomes.RefusalReason.SERVER_SHED, outcomes.Step.EXECUTE, "shed", 1.0
)
NOT_OWNER = attempts.AttemptNotRun(
    outcomes.RefusalReason.NOT_OWNER, outcomes.Step.EXECUTE, "not owner"
)
CONNECT_FAILED = attempts.AttemptNotRun(
    outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, "refused"
)
CONNECTION_LOST = attempts.AttemptUnknown(
    outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, "reset"
)
TIMED_OUT = attempts.AttemptUnknown(
    outcomes.UnknownReason.ANSWER_TIMEOUT, outcomes.Step.RECEIVE, "no answer"
)


class ScriptedBackends(client.BackendClient):
    """Returns scripted attempts in order, then successful ones; records the dispatches."""

    def __init__(self, *script: attempts.Attempt) -> None:
        self._script = list(script)
        self.sent: list[attempts.Dispatch] = []
        self.on_send: Callable[[attempts.Dispatch], attempts.Attempt | None] = lambda _: None

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Return the attempt from `on_send`, else the next scripted attempt."""
        self.sent.append(dispatch)
        decided = self.on_send(dispatch)
        if decided is not None:
            return decided
        return self._script.pop(0) if self._script else ANSWERED

    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Return the outcome of a server that gives no response."""
        return leases.LeaseUnanswered(server.name, "scripted")

    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Return the outcome of a server that gives no response."""
        return leases.LeaseUnanswered(server.name, "scripted")
