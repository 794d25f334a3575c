"""How much each key is asked for, and how fast each server answers."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import estimates
    from goldcresthall.ranges import owners

HALF_LIFE_S = 3.0
TIME_HALF_LIFE_S = 6.0
PRIOR_SAMPLES = 4.0
LEAST_HEAT = 0.02
BASE_HEAT = 0.2
RESCALE_AT = 2.0**40


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRates:
    """Heat of the keys of a service in requests per second.

    Attributes
    ----------
    keys
        Keys with heat of their own, ascending.
    sums
        Running sums of their heat; one longer than `keys`.
    base_rate
        Heat that every key has besides, so that large ranges weigh something.
    """

    keys: tuple[int, ...]
    prefix_sums: tuple[float, ...]
    base_rate: float

    @property
    def total(self) -> float:
        """Requests per second of all keys."""
        return self.prefix_sums[-1] + self.base_rate * key_ranges.KEY_COUNT

    def sum_range(self, keys: key_ranges.KeyRange) -> float:
        """Return the requests per second of a range."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        return self.prefix_sums[high] - self.prefix_sums[low] + self.base_rate * keys.size

    def find_prefix_end(self, keys: key_ranges.KeyRange, amount: float) -> int:
        """Return the last key of the shortest prefix of a range with that much heat."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        left, right = low, high
        while left < right:
            middle = (left + right) // 2
            end = self.keys[middle]
            heat = (
                self.prefix_sums[middle + 1]
                - self.prefix_sums[low]
                + self.base_rate * (end - keys.first + 1)
            )
            if heat < amount:
                left = middle + 1
            else:
                right = middle
        if left < high:
            return self._refine(keys, low, left, amount)
        below = self.prefix_sums[high] - self.prefix_sums[low]
        return min(
            keys.last, keys.first + int(max(0.0, amount - below) / max(self.base_rate, 1e-9))
        )

    def find_hottest_key(self, keys: key_ranges.KeyRange) -> int:
        """Return the key of a range that is asked for most."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        if low == high:
            return keys.first
        hottest = max(
            range(low, high),
            key=lambda index: self.prefix_sums[index + 1] - self.prefix_sums[index],
        )
        return self.keys[hottest]

    def _refine(self, keys: key_ranges.KeyRange, low: int, index: int, amount: float) -> int:
        """Return a key before the one at `index` if cold keys alone make up the amount."""
        before = self.prefix_sums[index] - self.prefix_sums[low]
        cold = max(0.0, amount - before) / max(self.base_rate, 1e-9)
        return min(self.keys[index], keys.first + int(cold))


class KeyRateEstimator:
    """Counts of requests for each key of one service that fade with time."""

    def __init__(self) -> None:
        self._values: dict[int, float] = {}
        self._weight = 1.0
        self._updated_at_s: float | None = None

    def add(self, keys: tuple[int, ...], now_s: float) -> None:
        """Count one request for each of the keys."""
        self._advance(now_s)
        for key in keys:
            self._values[key] = self._values.get(key, 0.0) + self._weight

    def estimate_rates(self, now_s: float) -> KeyRates:
        """Return the present heat."""
        self._advance(now_s)
        # A steady rate r settles at r * HALF_LIFE_S / ln 2.
        scale = 0.693 / (HALF_LIFE_S * self._weight)
        rates = {key: value * scale for key, value in self._values.items()}
        kept = sorted(key for key, rate in rates.items() if rate > LEAST_HEAT)
        prefix_sums = tuple(itertools.accumulate((rates[key] for key in kept), initial=0.0))
        total = sum(rates.values())
        # What was asked for seldom counts as spread evenly, with a part of the rest.
        base_rate = (total - prefix_sums[-1] + BASE_HEAT + 0.1 * total) / key_ranges.KEY_COUNT
        if len(self._values) > 2 * len(kept):
            self._values = {key: self._values[key] for key in kept}
        return KeyRates(tuple(kept), prefix_sums, base_rate)

    def _advance(self, now_s: float) -> None:
        if self._updated_at_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_at_s)
            self._weight *= 2.0 ** min(30.0, elapsed_s / HALF_LIFE_S)
        self._updated_at_s = now_s
        if self._weight > RESCALE_AT:
            self._values = {key: value / self._weight for key, value in self._values.items()}
            self._weight = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Times:
    count: float
    total_s: float
    at_s: float


class ServiceTimeEstimator:
    """Mean service times of servers, from all instances' samples, fading with time."""

    def __init__(self) -> None:
        self._times: dict[deployment.ServerIncarnation, _Times] = {}

    def add(self, samples: tuple[estimates.LatencySample, ...], now_s: float) -> None:
        """Add samples."""
        for sample in samples:
            known = self._fade(sample.server, now_s)
            self._times[sample.server] = _Times(
                known.count + sample.count, known.total_s + sample.total_s, now_s
            )

    def estimate_times_s(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> dict[deployment.ServerIncarnation, float]:
        """Return the seconds that a request takes at each of the servers of a service."""
        faded = {incarnation: self._fade(incarnation, now_s) for incarnation in incarnations}
        count = sum(times.count for times in faded.values())
        total_s = sum(times.total_s for times in faded.values())
        typical_s = total_s / count if count else 0.2
        return {
            incarnation: (times.total_s + PRIOR_SAMPLES * typical_s) / (times.count + PRIOR_SAMPLES)
            for incarnation, times in faded.items()
        }

    def _fade(self, incarnation: deployment.ServerIncarnation, now_s: float) -> _Times:
        known = self._times.get(incarnation)
        if known is None:
            return _Times(0.0, 0.0, now_s)
        factor = 0.5 ** ((now_s - known.at_s) / TIME_HALF_LIFE_S)
        return _Times(known.count * factor, known.total_s * factor, now_s)


class LoadStatistics:
    """Heat and speeds of all keyed services, as the lessor gathers them."""

    def __init__(self) -> None:
        self._keys: dict[str, KeyRateEstimator] = {}
        self.service_times = ServiceTimeEstimator()

    def add(self, counted: tuple[owners.CountedKeys, ...], now_s: float) -> None:
        """Add counts of requests."""
        for counts in counted:
            self._keys.setdefault(counts.service, KeyRateEstimator()).add(counts.keys, now_s)

    def estimate_rates(self, service: str, now_s: float) -> KeyRates:
        """Return the present heat of a service's keys."""
        return self._keys.setdefault(service, KeyRateEstimator()).estimate_rates(now_s)
