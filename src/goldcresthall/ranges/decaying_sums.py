"""Rates per key from exponentially decaying sums, unbiased from the first report on."""

from __future__ import annotations

import math

MAX_WEIGHT = 2.0**40
MAX_EXPONENT = 30.0
# Instances report each 0.5 s, so that sums of less time miss some instances.
MIN_SPAN_S = 0.5
# After this long without anything, the next amount begins a new sum.
MAX_SILENCE_HALF_LIVES = 5.0


class DecayingSums:
    """Exponentially decaying sums of amounts by key.

    Instead of decaying all sums, later amounts get a weight that grows with time. Not safe for use
    by several tasks.

    Parameters
    ----------
    half_life_s
        Seconds in which an amount decays to half.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._sums: dict[int, float] = {}
        self._weight = 1.0
        self._updated_at_s = -math.inf
        self._began_at_s = -math.inf
        self._added_at_s = -math.inf

    @property
    def size(self) -> int:
        """Number of keys."""
        return len(self._sums)

    def add(self, amounts: dict[int, float], now_s: float) -> None:
        """Add amounts by key."""
        if not amounts:
            return
        if now_s - self._added_at_s > MAX_SILENCE_HALF_LIVES * self._half_life_s:
            self._sums, self._weight = {}, 1.0
            self._began_at_s = self._updated_at_s = now_s
        self._added_at_s = now_s
        self._advance_weight(now_s)
        for key, amount in amounts.items():
            self._sums[key] = self._sums.get(key, 0.0) + amount * self._weight

    def estimate_rates(self, now_s: float) -> dict[int, float]:
        """Return the amounts per second at `now_s`.

        At a rate r, the sum after t seconds is r x half-life / ln 2 x (1 - 2^(-t/half-life)).
        """
        if not self._sums:
            return {}
        self._advance_weight(now_s)
        span_s = max(MIN_SPAN_S, now_s - self._began_at_s)
        reached = 1.0 - 0.5 ** (span_s / self._half_life_s)
        scale = math.log(2.0) / (self._half_life_s * self._weight * reached)
        return {key: value * scale for key, value in self._sums.items()}

    def find_span_s(self, now_s: float) -> float:
        """Return the seconds of even weight with as much noise as the rates at `now_s`."""
        return min(max(MIN_SPAN_S, now_s - self._began_at_s), 2.0 * self._half_life_s / math.log(2))

    def retain(self, keys: set[int]) -> None:
        """Discard the sums of all other keys."""
        self._sums = {key: value for key, value in self._sums.items() if key in keys}

    def _advance_weight(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._weight *= 2.0 ** min(MAX_EXPONENT, elapsed_s / self._half_life_s)
        self._updated_at_s = max(now_s, self._updated_at_s)
        if self._weight > MAX_WEIGHT:
            self._sums = {key: value / self._weight for key, value in self._sums.items()}
            self._weight = 1.0
