"""Following a lessor: the connection for reports, and how following ends."""

from __future__ import annotations

import dataclasses
import enum

from goldcresthall.core import key_ranges
from goldcresthall.ranges import reports

REPORT_TIMEOUT_S = 0.9


class FollowStep(enum.Enum):
    """What an instance does after a report."""

    CONTINUE = "continue reporting"
    RETRY = "retry after a pause"
    REREAD_TABLE = "reread the ownership table"
    FOLLOW_SUCCESSOR = "report to the lessor that the lost one named"
    TAKE_OVER = "take over"


@dataclasses.dataclass(frozen=True, slots=True)
class Followed:
    """How an instance stopped following a lessor.

    Attributes
    ----------
    takes_over
        Whether it takes over, because the lessor is lost.
    successor
        The lessor that the lost one named; `None` if the table must be read.
    """

    takes_over: bool = False
    successor: key_ranges.LessorIdentity | None = None


class LessorConnection:
    """The connection to one lessor, opened again after a failure."""

    def __init__(self, dialer: reports.PeerDialer, lessor: key_ranges.LessorIdentity) -> None:
        self._dialer = dialer
        self._channel: reports.PeerChannel | None = None
        self.lessor = lessor

    def report(self, report: reports.Report) -> reports.Reply:
        """Send a report and return the reply.

        Raises
        ------
        UnreachableError
            If the call fails.
        """
        self._channel = self._channel or self._dialer.dial(self.lessor.address, REPORT_TIMEOUT_S)
        try:
            return self._channel.report(report)
        except reports.UnreachableError:
            self._channel = None
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
