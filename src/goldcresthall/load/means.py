"""Mean values that move slowly and are blended with a prior while samples are few."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class MovingMean:
    """Mean of the latest samples; `weight` is the number of samples that it stands for."""

    weight: float = 0.0
    value: float = 0.0

    def add(self, value: float, weight: float, max_weight: float) -> MovingMean:
        """Return the mean with a sample; earlier samples together weigh at most `max_weight`."""
        total = min(self.weight, max_weight) + weight
        return MovingMean(total, self.value + (value - self.value) * weight / total)

    def blend(self, prior: float, prior_weight: float) -> float:
        """Return the mean of these samples and of `prior_weight` samples of a prior value."""
        total = self.weight + prior_weight
        return (self.value * self.weight + prior * prior_weight) / total if total else prior


@dataclasses.dataclass(frozen=True, slots=True)
class DecayingSum:
    """Number and sum of samples, both decaying with the age of the samples."""

    count: float = 0.0
    total: float = 0.0
    at_s: float = -math.inf

    def decay(self, now_s: float, half_life_s: float) -> DecayingSum:
        """Return the sum as it is at `now_s`."""
        factor = 0.5 ** max(0.0, (now_s - self.at_s) / half_life_s)
        return DecayingSum(self.count * factor, self.total * factor, now_s)

    def add(self, count: float, total: float, now_s: float, half_life_s: float) -> DecayingSum:
        """Return the sum with the samples of `now_s`."""
        decayed = self.decay(now_s, half_life_s)
        return DecayingSum(decayed.count + count, decayed.total + total, now_s)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingSum:
    """Weighted samples that wait to be reported as a whole number of samples."""

    weight: float = 0.0
    total: float = 0.0

    def add(self, value: float, weight: float) -> PendingSum:
        """Return the sum with a sample."""
        return PendingSum(self.weight + weight, self.total + value * weight)

    def split(self) -> tuple[int, float, PendingSum]:
        """Return the whole number of samples, their total and what remains for later."""
        count = int(self.weight)
        if not count:
            return 0, 0.0, self
        total = self.total * count / self.weight
        return count, total, PendingSum(self.weight - count, self.total - total)
