"""Shares of requests that the owners of overloaded key ranges can serve."""

from __future__ import annotations

import bisect
import dataclasses
import math

from goldcresthall.core import key_ranges
from goldcresthall.kernel import service

MAX_AGE_S = 2.0
ALL_REQUESTS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RangeAdmission:
    """The share of all instances' requests for a range that its owner can serve in time.

    Attributes
    ----------
    share
        From 0 to 1. Ranges whose owner can serve everything are not listed.
    """

    service: str
    keys: key_ranges.KeyRange
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Shares:
    """Rows of one service by their first keys, ascending."""

    first_keys: tuple[int, ...]
    rows: tuple[RangeAdmission, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    known_at_s: float
    services: dict[str, _Shares]


class RangeAdmissions(service.Service):
    """The latest shares from the lessor; safe for use by several tasks.

    Shares older than `MAX_AGE_S` have no effect: the load may have moved since, and without a
    lessor nobody would lift them.
    """

    def __init__(self) -> None:
        self._received = _Received(-math.inf, {})

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def replace(self, rows: tuple[RangeAdmission, ...], now_s: float) -> None:
        """Replace all shares by those that the lessor computed at `now_s`.

        The ranges of a service may not overlap.
        """
        by_service: dict[str, list[RangeAdmission]] = {}
        for row in sorted(rows, key=lambda row: row.keys):
            by_service.setdefault(row.service, []).append(row)
        # One assignment, so that readers need no lock.
        self._received = _Received(
            now_s,
            {
                name: _Shares(tuple(row.keys.first for row in listed), tuple(listed))
                for name, listed in by_service.items()
            },
        )

    def find_share(self, service_name: str, key: int, now_s: float) -> float:
        """Return the share of requests for a key to admit; 1 if all of them fit."""
        received = self._received
        shares = received.services.get(service_name)
        if shares is None or now_s - received.known_at_s > MAX_AGE_S:
            return ALL_REQUESTS
        index = bisect.bisect_right(shares.first_keys, key) - 1
        if index < 0 or not shares.rows[index].keys.contains(key):
            return ALL_REQUESTS
        return shares.rows[index].share

    def count_limited(self, now_s: float) -> int:
        """Return the number of ranges of which not all requests are admitted."""
        received = self._received
        if now_s - received.known_at_s > MAX_AGE_S:
            return 0
        return sum(len(shares.rows) for shares in received.services.values())
