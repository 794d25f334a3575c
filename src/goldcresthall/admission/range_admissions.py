"""Shares of requests that the owners of overloaded key ranges can serve."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import key_ranges
from goldcresthall.kernel import service

ALL_REQUESTS = 1.0
MAX_ROWS_AGE_S = 2.0


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


class RangeAdmissions(service.Service):
    """The latest shares that the lessor told this instance."""

    def __init__(self) -> None:
        self._rows: tuple[RangeAdmission, ...] = ()
        self._replaced_at_s = 0.0

    def start(self) -> None:
        """Do nothing; there is nothing to start."""

    def stop(self) -> None:
        """Do nothing; there is nothing to stop."""

    def replace(self, rows: tuple[RangeAdmission, ...], now_s: float) -> None:
        """Replace all shares with those of the lessor's latest reply."""
        self._rows = rows
        self._replaced_at_s = now_s

    def find_share(self, service_name: str, key: int, now_s: float) -> float:
        """Return the share of requests for a key that its owner can serve.

        It is 1 without a row for the key, or if the rows are older than `MAX_ROWS_AGE_S`.
        """
        rows = self._rows
        if not rows or now_s - self._replaced_at_s > MAX_ROWS_AGE_S:
            return ALL_REQUESTS
        shares = (
            row.share for row in rows if row.service == service_name and row.keys.contains(key)
        )
        return min(shares, default=ALL_REQUESTS)
