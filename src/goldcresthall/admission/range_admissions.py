"""Shares of requests that the owners of overloaded key ranges can serve."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import key_ranges


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
