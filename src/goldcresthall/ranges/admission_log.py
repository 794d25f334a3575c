"""Log of the shares of requests that the lessor lets through to overloaded ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from goldcresthall.admission import range_admissions
    from goldcresthall.core import key_ranges

MIN_CHANGE = 0.1
MAX_LINES = 4


class AdmissionLog:
    """Logs shares of one service that appear, end or change by more than `MIN_CHANGE`.

    At most `MAX_LINES` ranges are named each time; the others are counted.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._shares: dict[key_ranges.KeyRange, float] = {}

    def record(self, rows: tuple[range_admissions.RangeAdmission, ...]) -> None:
        """Log the differences to the shares that were logged last."""
        shares = {row.keys: row.share for row in rows}
        changed = [
            keys
            for keys in sorted({*shares, *self._shares})
            if abs(shares.get(keys, 1.0) - self._shares.get(keys, 1.0)) > MIN_CHANGE
        ]
        for keys in changed[:MAX_LINES]:
            logging.info(
                "admitting %.0f %% of requests for range %s of service %s, before %.0f %%",
                100 * shares.get(keys, 1.0),
                keys,
                self._service,
                100 * self._shares.get(keys, 1.0),
            )
        if len(changed) > MAX_LINES:
            logging.info(
                "shares of %d more ranges of service %s changed",
                len(changed) - MAX_LINES,
                self._service,
            )
        logged = {keys: shares[keys] for keys in changed if keys in shares}
        kept = {keys: share for keys, share in self._shares.items() if keys not in changed}
        self._shares = kept | logged
