"""Request rates per key and mean service times per server, as decaying averages."""

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

RATE_HALF_LIFE_S = 3.0
SERVICE_TIME_HALF_LIFE_S = 6.0
PRIOR_SAMPLES = 4.0
MIN_KEY_RATE_PER_S = 0.02
SPREAD_RATE_PER_S = 0.2
MAX_WEIGHT = 2.0**40


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRates:
    """Request rates of the keys of a service in requests per second.

    Attributes
    ----------
    keys
        Keys with an individual rate, ascending.
    prefix_sums
        Prefix sums of their rates; one longer than `keys`.
    base_rate
        Rate added to every key, so that large ranges of rarely used keys have a cost.
    """

    keys: tuple[int, ...]
    prefix_sums: tuple[float, ...]
    base_rate: float

    @property
    def total(self) -> float:
        """Requests per second over all keys."""
        return self.prefix_sums[-1] + self.base_rate * key_ranges.KEY_COUNT

    def sum_range(self, keys: key_ranges.KeyRange) -> float:
        """Return the request rate of a range in requests per second."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        return self.prefix_sums[high] - self.prefix_sums[low] + self.base_rate * keys.size

    def find_prefix_end(self, keys: key_ranges.KeyRange, amount: float) -> int:
        """Return the last key of the shortest prefix of a range whose rate reaches `amount`."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        left, right = low, high
        while left < right:
            middle = (left + right) // 2
            end = self.keys[middle]
            rate = (
                self.prefix_sums[middle + 1]
                - self.prefix_sums[low]
                + self.base_rate * (end - keys.first + 1)
            )
            if rate < amount:
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
        """Return the key of a range with the highest request rate."""
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
        """Return the key at `index`, or an earlier one if base rates reach `amount` before it."""
        earlier_rate = self.prefix_sums[index] - self.prefix_sums[low]
        cold_keys = max(0.0, amount - earlier_rate) / max(self.base_rate, 1e-9)
        return min(self.keys[index], keys.first + int(cold_keys))


class KeyRateEstimator:
    """Exponentially decaying request counts for each key of one service.

    Instead of decaying all counts, later requests get a weight that grows with time.
    """

    def __init__(self) -> None:
        self._values: dict[int, float] = {}
        self._weight = 1.0
        self._updated_at_s: float | None = None

    def add(self, keys: tuple[int, ...], now_s: float) -> None:
        """Count one request for each of the keys."""
        self._advance_weight(now_s)
        for key in keys:
            self._values[key] = self._values.get(key, 0.0) + self._weight

    def estimate_rates(self, now_s: float) -> KeyRates:
        """Return the request rates at `now_s`."""
        self._advance_weight(now_s)
        # At a steady rate r the decayed count converges to r * RATE_HALF_LIFE_S / ln 2.
        scale = 0.693 / (RATE_HALF_LIFE_S * self._weight)
        rates = {key: value * scale for key, value in self._values.items()}
        kept = sorted(key for key, rate in rates.items() if rate > MIN_KEY_RATE_PER_S)
        prefix_sums = tuple(itertools.accumulate((rates[key] for key in kept), initial=0.0))
        total = sum(rates.values())
        # Spread evenly over all keys: the rates of rarely requested keys,
        # `SPREAD_RATE_PER_S` and a tenth of the total.
        base_rate = (
            total - prefix_sums[-1] + SPREAD_RATE_PER_S + 0.1 * total
        ) / key_ranges.KEY_COUNT
        if len(self._values) > 2 * len(kept):
            self._values = {key: self._values[key] for key in kept}
        return KeyRates(tuple(kept), prefix_sums, base_rate)

    def _advance_weight(self, now_s: float) -> None:
        if self._updated_at_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_at_s)
            self._weight *= 2.0 ** min(30.0, elapsed_s / RATE_HALF_LIFE_S)
        self._updated_at_s = now_s
        if self._weight > MAX_WEIGHT:
            self._values = {key: value / self._weight for key, value in self._values.items()}
            self._weight = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _DecayedTimes:
    count: float
    total_s: float
    at_s: float


class ServiceTimeEstimator:
    """Mean service time of each server from the decaying samples of all instances."""

    def __init__(self) -> None:
        self._times: dict[deployment.ServerIncarnation, _DecayedTimes] = {}

    def add(self, samples: tuple[estimates.LatencySample, ...], now_s: float) -> None:
        """Add samples from one instance."""
        for sample in samples:
            previous = self._decay(sample.server, now_s)
            self._times[sample.server] = _DecayedTimes(
                previous.count + sample.count, previous.total_s + sample.total_s, now_s
            )

    def estimate_times_s(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> dict[deployment.ServerIncarnation, float]:
        """Return the mean service time in seconds for each server of a service.

        `PRIOR_SAMPLES` samples of the service's mean are blended in for servers with few
        samples of their own.
        """
        decayed = {incarnation: self._decay(incarnation, now_s) for incarnation in incarnations}
        count = sum(times.count for times in decayed.values())
        total_s = sum(times.total_s for times in decayed.values())
        mean_s = total_s / count if count else 0.2
        return {
            incarnation: (times.total_s + PRIOR_SAMPLES * mean_s) / (times.count + PRIOR_SAMPLES)
            for incarnation, times in decayed.items()
        }

    def _decay(self, incarnation: deployment.ServerIncarnation, now_s: float) -> _DecayedTimes:
        previous = self._times.get(incarnation)
        if previous is None:
            return _DecayedTimes(0.0, 0.0, now_s)
        factor = 0.5 ** ((now_s - previous.at_s) / SERVICE_TIME_HALF_LIFE_S)
        return _DecayedTimes(previous.count * factor, previous.total_s * factor, now_s)


class LoadStatistics:
    """Request rates and service times of all keyed services, collected by the lessor."""

    def __init__(self) -> None:
        self._keys: dict[str, KeyRateEstimator] = {}
        self.service_times = ServiceTimeEstimator()

    def add(self, counted: tuple[owners.CountedKeys, ...], now_s: float) -> None:
        """Add request counts from one instance."""
        for counts in counted:
            self._keys.setdefault(counts.service, KeyRateEstimator()).add(counts.keys, now_s)

    def estimate_rates(self, service: str, now_s: float) -> KeyRates:
        """Return the request rates of a service's keys at `now_s`."""
        return self._keys.setdefault(service, KeyRateEstimator()).estimate_rates(now_s)
