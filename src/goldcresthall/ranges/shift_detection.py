"""Detection of shifts: recent rates that differ from longer averages by more than noise.

The longer average of each key gives the shape of the load with little noise, but it takes seconds
to reach the height of a new hot spot. The recent rates reach it sooner, but the rate of a
single key in them is mostly noise. A shift is therefore looked for in single keys first, then in
blocks of neighbouring keys, whose sums have less noise, and last in all other keys together.
"""

from __future__ import annotations

import collections
import math

from goldcresthall.load import work_estimates

RATE_HALF_LIFE_S = 3.0
RECENT_HALF_LIFE_S = 0.7
BLOCK_BITS = 8
MIN_DEVIATIONS = 4.0
MIN_RATIO = 1.2
# A rise of a block of keys must at least double its rate: among hundreds of them, a smaller one is
# mostly noise, and keys would move after it. For single keys the lower ratio holds, so that the
# height of a hot key is followed until the longer average has reached it.
MIN_RISE_DEVIATIONS = 3.0
MIN_RISE_RATIO = 2.0
# Ages of a rise in seconds for which its height is computed; younger ones are mostly noise.
RISE_AGES_S = tuple(0.1 * tenths for tenths in range(7, 40))


def apply_shifts(rates: dict[int, float], recent: dict[int, float]) -> dict[int, float]:
    """Return the rates of keys, scaled to the height of the recent ones where they shifted.

    From the ratio of both averages follows how long ago a rise was, and what the recent one lacks.

    Parameters
    ----------
    rates, recent
        Seconds of work per second by key, as a longer and as a recent average.
    """
    factors = {
        key: _find_factor(rate, recent_rate)
        for key, recent_rate in recent.items()
        if (rate := rates.get(key, 0.0)) and _is_shift(rate, recent_rate)
    }
    blocks = _sum_blocks(rates, factors)
    recent_blocks = _sum_blocks(recent, factors)
    block_factors = {
        block: _find_factor(rate, recent_blocks[block])
        for block, rate in blocks.items()
        if _is_local_shift(rate, recent_blocks[block])
    }
    rest = sum(rate for block, rate in blocks.items() if block not in block_factors)
    recent_rest = sum(rate for block, rate in recent_blocks.items() if block not in block_factors)
    rest_factor = _find_factor(rest, recent_rest) if _is_shift(rest, recent_rest) else 1.0
    return {
        key: rate * factors.get(key, block_factors.get(key >> BLOCK_BITS, rest_factor))
        for key, rate in rates.items()
    }


def _sum_blocks(rates: dict[int, float], excluded: dict[int, float]) -> dict[int, float]:
    sums: dict[int, float] = collections.defaultdict(float)
    for key, rate in rates.items():
        if key not in excluded:
            sums[key >> BLOCK_BITS] += rate
    return sums


def _is_local_shift(rate: float, recent: float) -> bool:
    """Return whether the rate of one block rose or fell."""
    if recent > rate:
        return _differs(recent, rate, MIN_RISE_RATIO, MIN_RISE_DEVIATIONS)
    return _is_shift(rate, recent)


def _is_shift(rate: float, recent: float) -> bool:
    return _differs(max(rate, recent), min(rate, recent), MIN_RATIO, MIN_DEVIATIONS)


def _differs(higher: float, lower: float, min_ratio: float, min_deviations: float) -> bool:
    # The noise is that of requests which arrive independently, each with the usual work.
    work_s = work_estimates.DEFAULT_WORK_S
    variance = higher * work_s * math.log(2.0) / (2.0 * RECENT_HALF_LIFE_S)
    is_significant = (higher - lower) ** 2 > min_deviations**2 * variance
    return higher >= min_ratio * lower and is_significant


def _find_factor(rate: float, recent: float) -> float:
    if not rate:
        return 1.0
    ratio = recent / rate
    return ratio * next((gain for age_ratio, gain in _RISES if ratio >= age_ratio), 1.0)


def _list_rises() -> tuple[tuple[float, float], ...]:
    """Return the ratio of the averages at each age of a rise, and what the recent one lacks.

    That holds for a rise from zero. For one from a higher rate the ratio is lower, which makes the
    result lower as well.
    """
    rises = []
    for age_s in RISE_AGES_S:
        reached = 1.0 - 0.5 ** (age_s / RATE_HALF_LIFE_S)
        recent_reached = 1.0 - 0.5 ** (age_s / RECENT_HALF_LIFE_S)
        rises.append((recent_reached / reached, 1.0 / recent_reached))
    return tuple(rises)


_RISES = _list_rises()
