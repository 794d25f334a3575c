"""Work per key as decaying averages, and the lock that guards all statistics of load.

The work of requests is in seconds on a server of usual speed, so that a rate is in seconds of work
per second: the number of busy slots that it takes.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import itertools
import math
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.load import work_estimates
from goldcresthall.ranges import decaying_sums
from goldcresthall.ranges import service_times
from goldcresthall.ranges import shift_detection

if TYPE_CHECKING:
    from goldcresthall.gateway import estimates
    from goldcresthall.load import work_table
    from goldcresthall.ranges import request_counts

MIN_KEY_RATE = 0.004
SPREAD_RATE = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRates:
    """Rates of the keys of a service in seconds of work per second.

    Attributes
    ----------
    keys
        Keys with an individual rate, ascending.
    prefix_sums
        Prefix sums of their rates; one longer than `keys`.
    base_rate
        Rate added to every key, so that large ranges of rarely used keys have a cost.
    span_s
        Seconds of even weight with as much noise as the average behind the rates.
    """

    keys: tuple[int, ...]
    prefix_sums: tuple[float, ...]
    base_rate: float
    span_s: float = math.inf

    @property
    def total(self) -> float:
        """Work per second over all keys."""
        return self.prefix_sums[-1] + self.base_rate * key_ranges.KEY_COUNT

    def sum_range(self, keys: key_ranges.KeyRange) -> float:
        """Return the rate of a range in seconds of work per second."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        return self.prefix_sums[high] - self.prefix_sums[low] + self.base_rate * keys.size

    def find_noise(self, rate: float) -> float:
        """Return the standard deviation of the estimate of a rate."""
        return math.sqrt(rate * work_estimates.DEFAULT_WORK_S / self.span_s)

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
        """Return the key of a range with the highest rate."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        if low == high:
            return keys.first
        hottest = max(
            range(low, high),
            key=lambda index: self.prefix_sums[index + 1] - self.prefix_sums[index],
        )
        return self.keys[hottest]

    def find_densest_part(
        self, keys: key_ranges.KeyRange, amount: float
    ) -> key_ranges.KeyRange | None:
        """Return the shortest part of a range whose individual rates reach `amount`, if any."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        best: key_ranges.KeyRange | None = None
        first = low
        for last in range(low, high):
            while self.prefix_sums[last + 1] - self.prefix_sums[first + 1] >= amount:
                first += 1
            if self.prefix_sums[last + 1] - self.prefix_sums[first] < amount:
                continue
            part = key_ranges.KeyRange(self.keys[first], self.keys[last])
            if best is None or part.size < best.size:
                best = part
        return best

    def list_hot_keys(self, keys: key_ranges.KeyRange, min_rate: float) -> tuple[int, ...]:
        """Return the keys of a range with a rate above `min_rate`, ascending."""
        low = bisect.bisect_left(self.keys, keys.first)
        high = bisect.bisect_right(self.keys, keys.last)
        return tuple(
            self.keys[index]
            for index in range(low, high)
            if self.prefix_sums[index + 1] - self.prefix_sums[index] > min_rate
        )

    def _refine(self, keys: key_ranges.KeyRange, low: int, index: int, amount: float) -> int:
        """Return the key at `index`, or an earlier one if base rates reach `amount` before it."""
        earlier_rate = self.prefix_sums[index] - self.prefix_sums[low]
        cold_keys = max(0.0, amount - earlier_rate) / max(self.base_rate, 1e-9)
        return min(self.keys[index], keys.first + int(cold_keys))


@dataclasses.dataclass(frozen=True, slots=True)
class RateAverages:
    """Averages of the work of single keys, copied at one time.

    Attributes
    ----------
    rates, recent
        Seconds of work per second by key, as a longer and as a recent average.
    span_s
        Seconds of even weight with as much noise as the longer one.
    """

    rates: dict[int, float]
    recent: dict[int, float]
    span_s: float

    def create_key_rates(self) -> KeyRates:
        """Return the rates with shifts of the load applied."""
        rates = shift_detection.apply_shifts(self.rates, self.recent)
        kept = sorted(key for key, rate in rates.items() if rate > MIN_KEY_RATE)
        prefix_sums = tuple(itertools.accumulate((rates[key] for key in kept), initial=0.0))
        total = sum(rates.values())
        # Spread evenly over all keys: the rates of rarely requested keys,
        # `SPREAD_RATE` and a tenth of the total.
        base_rate = (total - prefix_sums[-1] + SPREAD_RATE + 0.1 * total) / key_ranges.KEY_COUNT
        return KeyRates(tuple(kept), prefix_sums, base_rate, self.span_s)


class KeyRateEstimator:
    """Work per second for each key of one service, from decaying sums of the reported work.

    Not safe for use by several tasks.
    """

    def __init__(self) -> None:
        self._sums = decaying_sums.DecayingSums(shift_detection.RATE_HALF_LIFE_S)
        self._recent = decaying_sums.DecayingSums(shift_detection.RECENT_HALF_LIFE_S)

    def add(self, work_s: dict[int, float], now_s: float) -> None:
        """Add seconds of work by key."""
        self._sums.add(work_s, now_s)
        self._recent.add(work_s, now_s)

    def copy_averages(self, now_s: float) -> RateAverages:
        """Return the averages at `now_s`, and discard rarely requested keys if there are many."""
        averages = RateAverages(
            self._sums.estimate_rates(now_s),
            self._recent.estimate_rates(now_s),
            self._sums.find_span_s(now_s),
        )
        kept = {key for key, rate in averages.rates.items() if rate > MIN_KEY_RATE}
        if self._sums.size > 2 * len(kept):
            self._sums.retain(kept)
        self._recent.retain(set(averages.rates))
        return averages


@dataclasses.dataclass(frozen=True, slots=True)
class _ComputedRates:
    at_s: float
    key_rates: KeyRates


class LoadStatistics:
    """Work per key and service times of all keyed services, collected by the lessor.

    Reports are added by many tasks while the lessor's task reads; one lock guards adding to the
    sums and copying them.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._keys: dict[str, KeyRateEstimator] = {}
        self._computed: dict[str, _ComputedRates] = {}
        self.service_times = service_times.ServiceTimeEstimator()

    def add(
        self,
        counted: tuple[request_counts.CountedKeys, ...],
        now_s: float,
        key_work: tuple[work_table.KeyWork, ...] = (),
    ) -> None:
        """Add the work of requests from one instance.

        Requests that it only counted, as an earlier release does, get the default work.
        """
        with_work = {row.service for row in key_work}
        work_s = [(row.service, dict(zip(row.keys, row.work_s, strict=False))) for row in key_work]
        for counts in counted:
            if counts.service not in with_work:
                requests = collections.Counter(counts.keys)
                default_s = {
                    key: count * work_estimates.DEFAULT_WORK_S for key, count in requests.items()
                }
                work_s.append((counts.service, default_s))
        with self._lock:
            for service, by_key in work_s:
                self._keys.setdefault(service, KeyRateEstimator()).add(by_key, now_s)

    def add_times(self, samples: tuple[estimates.LatencySample, ...], now_s: float) -> None:
        """Add the service times that one instance measured."""
        with self._lock:
            self.service_times.add(samples, now_s)

    def estimate_rates(self, service: str, now_s: float) -> KeyRates:
        """Return the work per second of a service's keys at `now_s`.

        It is computed once for each reading of the clock, since one step uses it several times.
        Only the lessor's task may call this.
        """
        computed = self._computed.get(service)
        if computed is None or computed.at_s != now_s:
            with self._lock:
                estimator = self._keys.setdefault(service, KeyRateEstimator())
                averages = estimator.copy_averages(now_s)
            computed = _ComputedRates(now_s, averages.create_key_rates())
            self._computed[service] = computed
        return computed.key_rates
