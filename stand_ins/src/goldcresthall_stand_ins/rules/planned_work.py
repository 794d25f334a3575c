"""Planned work: SIGTERM and SIGHUP of an instance, and new configuration versions."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import configurations
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records

if TYPE_CHECKING:
    from collections.abc import Sequence

Kind = events.DisturbanceKind

PLANNED_KINDS = frozenset({Kind.STARTED, Kind.TERMINATED, Kind.RELOADED})
AFTERMATH_S = 1.0
LAST_GRACE_PART = 5 / 6  # where the last sixth of the grace period begins
EARLY_REQUEST_S = 3.0
USED_UP_FRACTION = 0.7
MAX_CUT_RATE_RATIO = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request that ended without the response of a server.

    Attributes
    ----------
    ended
        The end of the connection, or a response that the instance made itself.
    arrivals
        Where the request arrived before that.
    """

    sent: events.CallerSent
    ended: events.CallerCutOff | events.CallerAnswered
    arrivals: tuple[events.RequestArrived, ...]

    @property
    def duration_s(self) -> float:
        """Time from the last byte of the request to its end, in seconds."""
        return self.ended.at_s - self.sent.at_s


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """The planned work around which a request was cut.

    Attributes
    ----------
    last_part_at_s
        When the last part of the grace period begins; `None` if the work has none.
    """

    name: str
    began: events.Event
    last_part_at_s: float | None = None


class PlannedWork:
    """Decides which requests were cut around planned work."""

    def __init__(
        self,
        record: records.Record,
        log: disturbances.DisturbanceLog,
        versions: configurations.ConfigurationLog,
    ) -> None:
        self._bounds = record.bounds
        self._log = log
        self._versions = versions
        self._sent = record.select(events.CallerSent)

    def was_impaired(self, cut: Cut) -> bool:
        """Return whether anything unplanned happened from a window before a request to its end.

        Impairment of the store alone counts for requests with a key only.
        """
        ignored = (
            PLANNED_KINDS if cut.sent.key is not None else PLANNED_KINDS | {Kind.STORE_IMPAIRED}
        )
        from_s = cut.sent.at_s - self._bounds.stable_window_s
        return any(
            span.began.kind not in ignored and span.overlaps(from_s, cut.ended.at_s)
            for span in self._log.spans
        )

    def find_time_limit_s(self, sent: events.CallerSent) -> float:
        """Return the lower of the caller's deadline and the route's timeout, in seconds."""
        timeouts_s = [route.timeout_s for route in self._versions.find_routes(sent)]
        if sent.deadline_s is not None:
            timeouts_s.append(sent.deadline_s)
        return min(timeouts_s, default=math.inf)

    def find_reason(self, cut: Cut, cuts: Sequence[Cut]) -> Reason | None:
        """Return the planned work around which a request was cut, among all that count."""
        for span in self._log.spans:
            if span.began.instance == cut.sent.instance:
                reason = self._find_signal(span, cut)
                if reason is not None:
                    return reason
        if isinstance(cut.ended, events.CallerAnswered):
            return None
        return self._find_version(cut, cuts)

    def _find_signal(self, span: disturbances.Span, cut: Cut) -> Reason | None:
        began = span.began
        if began.kind is Kind.TERMINATED:
            grace_s = self._bounds.grace_s
            if began.at_s <= cut.ended.at_s <= began.at_s + grace_s + AFTERMATH_S:
                return Reason("SIGTERM", began, began.at_s + LAST_GRACE_PART * grace_s)
        if began.kind is Kind.RELOADED and isinstance(cut.ended, events.CallerCutOff):
            is_before_end = cut.sent.at_s <= began.at_s + self._bounds.config_s
            if is_before_end and cut.ended.at_s >= began.at_s:
                return Reason("SIGHUP", began)
        return None

    def _find_version(self, cut: Cut, cuts: Sequence[Cut]) -> Reason | None:
        version = self._find_recent_version(cut.ended.at_s)
        if version is None or cut.duration_s >= USED_UP_FRACTION * self.find_time_limit_s(cut.sent):
            return None
        if not self._cuts_more_often(cut.sent.instance, cuts):
            return None
        return Reason(f"configuration version {version.version}", version)

    def _find_recent_version(self, at_s: float) -> events.ConfigurationAcknowledged | None:
        """Return a version that was sent and is not long acknowledged at a time."""
        span_s = self._bounds.config_s + AFTERMATH_S
        for version in self._versions.versions:
            if version.sent_at_s <= at_s <= version.at_s + span_s:
                return version
        return None

    def _cuts_more_often(self, instance: str, cuts: Sequence[Cut]) -> bool:
        """Return whether an instance cuts more of its requests beside versions than else."""
        sent = [event for event in self._sent if event.instance == instance]
        cut_ends = [
            cut.ended.at_s
            for cut in cuts
            if cut.sent.instance == instance and isinstance(cut.ended, events.CallerCutOff)
        ]
        sent_beside = sum(self._find_recent_version(event.at_s) is not None for event in sent)
        cuts_beside = sum(self._find_recent_version(at_s) is not None for at_s in cut_ends)
        other_sent = len(sent) - sent_beside
        other_cuts = len(cut_ends) - cuts_beside
        return cuts_beside * other_sent > MAX_CUT_RATE_RATIO * other_cuts * sent_beside
