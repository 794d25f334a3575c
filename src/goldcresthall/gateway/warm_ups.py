"""Warm-up of servers: how long a server stays cold, and when it has turned cold again."""

from __future__ import annotations

import dataclasses
from typing import Final

from goldcresthall.core import deployment

# An entry is refreshed each 0.9 s and read each 0.5 s, so that two of them differ in age by less.
AGE_TOLERANCE_S = 1.0
MIN_DIFFERENCE_S = 0.001
MAX_REMEMBERED_SERVERS = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """The warm-up of a server as it was reported once.

    Attributes
    ----------
    known_at_s
        Clock reading in seconds at which it was reported.
    remaining_s
        Seconds of warm-up that were left then; 0 if the server was warm.
    """

    known_at_s: float
    remaining_s: float

    def find_left_s(self, now_s: float) -> float:
        """Return the seconds for which the server may still be cold; not positive if it is warm."""
        if not self.remaining_s:
            return 0.0
        return self.known_at_s + self.remaining_s + AGE_TOLERANCE_S - now_s

    def follow(self, reported_s: float, now_s: float) -> WarmUp:
        """Return the warm-up after a new report.

        The remaining time falls from report to report. One that is higher than what was left
        tells that the server turned cold again. A lower one may be a late report of an earlier
        warm-up, so the server counts as warm only after the time that it reported first.
        """
        left_s = self.known_at_s + self.remaining_s - now_s
        if reported_s > max(0.0, left_s) + AGE_TOLERANCE_S:
            # Instances that get the list relayed recognize the change by another value.
            is_same = abs(reported_s - self.remaining_s) < MIN_DIFFERENCE_S
            return WarmUp(now_s, reported_s + (2 * MIN_DIFFERENCE_S if is_same else 0.0))
        if not reported_s and self.find_left_s(now_s) <= 0:
            return WarmUp(self.known_at_s, 0.0)
        return self


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    name: str
    is_relayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    incarnation: deployment.ServerIncarnation
    remaining_s: float


class WarmUpReports:
    """The last report of each server's warm-up, by which an entry that is read again is recognized.

    The lessor relays the first report of a warm-up, so relayed entries are compared with relayed
    ones only. Not safe for use by several tasks.
    """

    def __init__(self) -> None:
        self._last: dict[_Source, _Report] = {}

    def observe(self, server: deployment.RegisteredServer, *, is_relayed: bool) -> bool:
        """Record an entry; return whether its warm-up differs from the last one."""
        source = _Source(server.name, is_relayed)
        report = _Report(server.incarnation, server.slow_start_remaining_s)
        if self._last.get(source) == report:
            return False
        self._last.pop(source, None)
        self._last[source] = report
        if len(self._last) > MAX_REMEMBERED_SERVERS:
            del self._last[next(iter(self._last))]
        return True


NO_LIMITS: Final[dict[str, float]] = {}


def find_cold_limits(configuration: deployment.Configuration | None) -> dict[str, float]:
    """Return the requests per second that a cold server bears, by service; only limited ones."""
    if configuration is None:
        return NO_LIMITS
    return {
        spec.name: spec.cold_requests_per_s
        for spec in configuration.services
        if spec.cold_requests_per_s > 0
    }
