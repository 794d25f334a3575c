"""Admission of a share of the requests for an overloaded range, the most urgent first.

Load condition: the owner of a range can serve only a part of the requests for it in time. Without
a choice by priority, urgent requests were refused as often as the others.
"""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

# No priority gets less than this fraction of what all priorities together get.
STARVATION_FLOOR_FRACTION = 0.25
# Half of the recent mix is forgotten in this time; it then covers some hundred requests of one
# instance under load.
MIX_HALF_LIFE_S = 5.0
MIN_MIX_WEIGHT = 1e-6
LIMIT_END_AFTER_S = 2.0
LOG_INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True)
class PriorityMix:
    """Expected work of a service's recent requests by priority, decaying.

    Not safe for use by several tasks.
    """

    work_s: dict[int, float] = dataclasses.field(default_factory=dict)
    decayed_at_s: float = 0.0

    def add(self, priority: int, work_s: float, now_s: float) -> None:
        """Add one request."""
        factor = 0.5 ** ((now_s - self.decayed_at_s) / MIX_HALF_LIFE_S)
        self.decayed_at_s = now_s
        for known in self.work_s:
            self.work_s[known] *= factor
        self.work_s[priority] = self.work_s.get(priority, 0.0) + work_s


def find_admission_probability(work_s: Mapping[int, float], priority: int, share: float) -> float:
    """Return the probability with which to admit a request of a priority.

    Every priority gets a floor of the share; the rest of the share goes to the priorities in
    their order. In the sum over the mix the admitted part is the share.

    Parameters
    ----------
    work_s
        Expected work in seconds of the recent requests by priority.
    share
        Share of all work that may be admitted, from 0 to 1.
    """
    total_s = sum(work_s.values())
    part = work_s.get(priority, 0.0) / total_s if total_s > MIN_MIX_WEIGHT else 0.0
    if part <= 0.0:
        return share
    floor = STARVATION_FLOOR_FRACTION * share
    more_urgent = sum(work for other, work in work_s.items() if other < priority) / total_s
    # Above the floor a priority can use at most `1 - floor` of its part of the mix.
    left = share - floor - (1.0 - floor) * more_urgent
    return floor + min(1.0 - floor, max(0.0, left) / part)


@dataclasses.dataclass(slots=True)
class _Limit:
    last_at_s: float
    is_reported: bool = False


class ShareAdmission:
    """Decides which of this instance's requests for overloaded ranges are admitted.

    The mix of priorities is that of a service, since the requests of one instance for one range
    are few.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._lock = threading.Lock()
        self._mixes: dict[str, PriorityMix] = {}
        self._limits: dict[str, _Limit] = {}
        self._logged_at_s: dict[str, float] = {}

    def admits(
        self, service: str, priority: int, work_s: float, share: float, now_s: float
    ) -> bool:
        """Count a request and return whether to admit it.

        Parameters
        ----------
        work_s
            Expected work of the request in seconds.
        share
            Share of the requests for its range that the range's owner can serve.
        """
        with self._lock:
            mix = self._mixes.get(service)
            if mix is None:
                mix = self._mixes.setdefault(service, PriorityMix(decayed_at_s=now_s))
            mix.add(priority, work_s, now_s)
            if share >= 1.0:
                if self._limits:
                    self._end_limit(service, now_s)
                return True
            self._begin_limit(service, share, now_s)
            probability = find_admission_probability(mix.work_s, priority, share)
            return self._generator.random() < probability

    def _begin_limit(self, service: str, share: float, now_s: float) -> None:
        limit = self._limits.get(service)
        if limit is not None:
            limit.last_at_s = now_s
            return
        limit = self._limits.setdefault(service, _Limit(now_s))
        logged_at_s = self._logged_at_s.get(service)
        if logged_at_s is None or now_s - logged_at_s >= LOG_INTERVAL_S:
            self._logged_at_s[service] = now_s
            limit.is_reported = True
            logging.info(
                "requests for %s limited, step admit: share %.3f of an overloaded range",
                service,
                share,
            )

    def _end_limit(self, service: str, now_s: float) -> None:
        limit = self._limits.get(service)
        if limit is None or now_s - limit.last_at_s < LIMIT_END_AFTER_S:
            return
        del self._limits[service]
        if limit.is_reported:
            logging.info("requests for %s no longer limited, step admit", service)
