"""Work per key and mean service times per server, as decaying averages.

The work of requests is in seconds on a server of usual speed, so that a rate is in seconds of work
per second: the number of busy slots that it takes.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

from goldcresthall.core import key_ranges
from goldcresthall.load import work_estimates
from goldcresthall.ranges import decaying_sums
from goldcresthall.ranges import shift_detection

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import estimates
    from goldcresthall.load import work_table
    from goldcresthall.ranges import request_counts

SERVICE_TIME_HALF_LIFE_S = 6.0
PRIOR_SAMPLES = 4.0
MIN_KEY_RATE = 0.004
SPREAD_RATE = 0.04
# Bounds the effect of a few samples, and of waiting that was taken for work.
MAX_SLOWNESS = 4.0


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
        return math.sqrt(rate * shift_detection.REQUEST_WORK_S / self.span_s)

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


class KeyRateEstimator:
    """Work per second for each key of one service, from decaying sums of the reported work."""

    def __init__(self) -> None:
        self._sums = decaying_sums.DecayingSums(shift_detection.RATE_HALF_LIFE_S)
        self._recent = decaying_sums.DecayingSums(shift_detection.RECENT_HALF_LIFE_S)

    def add(self, work_s: dict[int, float], now_s: float) -> None:
        """Add seconds of work by key."""
        self._sums.add(work_s, now_s)
        self._recent.add(work_s, now_s)

    def estimate_rates(self, now_s: float) -> KeyRates:
        """Return the work per second at `now_s`."""
        rates = shift_detection.apply_shifts(
            self._sums.estimate_rates(now_s), self._recent.estimate_rates(now_s)
        )
        kept = sorted(key for key, rate in rates.items() if rate > MIN_KEY_RATE)
        prefix_sums = tuple(itertools.accumulate((rates[key] for key in kept), initial=0.0))
        total = sum(rates.values())
        # Spread evenly over all keys: the rates of rarely requested keys,
        # `SPREAD_RATE` and a tenth of the total.
        base_rate = (total - prefix_sums[-1] + SPREAD_RATE + 0.1 * total) / key_ranges.KEY_COUNT
        if self._sums.size > 2 * len(kept):
            self._sums.retain(set(kept))
        self._recent.retain(set(rates))
        return KeyRates(tuple(kept), prefix_sums, base_rate, self._sums.find_span_s(now_s))


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
        mean_s = self.estimate_mean_s(incarnations, now_s)
        return {
            incarnation: (times.total_s + PRIOR_SAMPLES * mean_s) / (times.count + PRIOR_SAMPLES)
            for incarnation, times in decayed.items()
        }

    def estimate_mean_s(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> float:
        """Return the mean service time in seconds over some servers of a service."""
        decayed = [self._decay(incarnation, now_s) for incarnation in incarnations]
        count = sum(times.count for times in decayed)
        total_s = sum(times.total_s for times in decayed)
        return total_s / count if count else work_estimates.DEFAULT_WORK_S

    def estimate_slowness(
        self, incarnations: tuple[deployment.ServerIncarnation, ...], now_s: float
    ) -> dict[deployment.ServerIncarnation, float]:
        """Return the time that work takes at each server, relative to the mean of the service."""
        decayed = [self._decay(incarnation, now_s) for incarnation in incarnations]
        count = sum(times.count for times in decayed)
        total_s = sum(times.total_s for times in decayed)
        if not count or not total_s:
            return dict.fromkeys(incarnations, 1.0)
        mean_s = total_s / count
        return {
            incarnation: min(MAX_SLOWNESS, max(1.0 / MAX_SLOWNESS, time_s / mean_s))
            for incarnation, time_s in self.estimate_times_s(incarnations, now_s).items()
        }

    def _decay(self, incarnation: deployment.ServerIncarnation, now_s: float) -> _DecayedTimes:
        previous = self._times.get(incarnation)
        if previous is None:
            return _DecayedTimes(0.0, 0.0, now_s)
        factor = 0.5 ** ((now_s - previous.at_s) / SERVICE_TIME_HALF_LIFE_S)
        return _DecayedTimes(previous.count * factor, previous.total_s * factor, now_s)


class LoadStatistics:
    """Work per key and service times of all keyed services, collected by the lessor."""

    def __init__(self) -> None:
        self._keys: dict[str, KeyRateEstimator] = {}
        self.service_times = ServiceTimeEstimator()

    def add(
        self,
        counted: tuple[request_counts.CountedKeys, ...],
        now_s: float,
        key_work: tuple[work_table.KeyWork, ...] = (),
    ) -> None:
        """Add the work of requests from one instance.

        Requests that it only counted, as an earlier release does, get the default work.
        """
        for row in key_work:
            self._find_keys(row.service).add(dict(zip(row.keys, row.work_s, strict=False)), now_s)
        with_work = {row.service for row in key_work}
        for counts in counted:
            if counts.service not in with_work:
                requests = collections.Counter(counts.keys)
                work_s = {
                    key: count * work_estimates.DEFAULT_WORK_S for key, count in requests.items()
                }
                self._find_keys(counts.service).add(work_s, now_s)

    def estimate_rates(self, service: str, now_s: float) -> KeyRates:
        """Return the work per second of a service's keys at `now_s`."""
        return self._find_keys(service).estimate_rates(now_s)

    def _find_keys(self, service: str) -> KeyRateEstimator:
        return self._keys.setdefault(service, KeyRateEstimator())
