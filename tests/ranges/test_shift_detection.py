"""Tests of shifts of the load that a long average shows late."""

from __future__ import annotations

import random

import pytest

from goldcresthall.ranges import decaying_sums
from goldcresthall.ranges import shift_detection
from tests.ranges import placement_load


def test_first_second_of_traffic_is_seen_at_its_height() -> None:
    """A decayed sum alone showed a fifth of it, and no moves started."""
    sums = decaying_sums.DecayingSums(shift_detection.RATE_HALF_LIFE_S)
    for step in range(10):
        sums.add({1: 0.2}, 0.1 * step)
    assert sums.estimate_rates(1.0)[1] == pytest.approx(2.0, rel=0.15)


def test_traffic_after_a_silence_is_seen_at_its_height() -> None:
    sums = decaying_sums.DecayingSums(shift_detection.RATE_HALF_LIFE_S)
    sums.add({1: 0.2}, 0.0)
    for step in range(10):
        sums.add({1: 0.2}, 60.0 + 0.1 * step)
    assert sums.estimate_rates(61.0)[1] == pytest.approx(2.0, rel=0.15)


def test_new_hot_key_is_seen_within_a_second_and_its_end_within_two() -> None:
    load = placement_load.PlacementLoad(rate_per_s=300.0)
    load.run(6.0)
    load.hot_key = 30_000
    load.run(1.0)
    hot_rate = load.estimate().sum_range(placement_load.single(30_000))
    assert hot_rate > 0.5 * load.hot_work_rate
    load.run(5.0)
    load.hot_key = None
    load.run(2.0)
    assert load.estimate().sum_range(placement_load.single(30_000)) < 0.2 * load.hot_work_rate


def test_block_of_keys_that_each_are_rarely_used_is_seen_to_become_hot() -> None:
    rates = dict.fromkeys(range(100), 0.01)
    recent = dict.fromkeys(range(100), 0.06)
    shifted = shift_detection.apply_shifts(rates, recent)
    # Recent rates of six times the average are at half of their final height.
    assert sum(shifted.values()) == pytest.approx(12.0)


def test_noise_of_single_requests_is_no_shift() -> None:
    generator = random.Random(1)
    rates = dict.fromkeys(range(0, 65536, 64), 0.1)
    recent = {key: 0.2 if generator.random() < 0.5 else 0.0 for key in rates}
    assert shift_detection.apply_shifts(rates, recent) == rates


def test_rise_of_a_block_by_half_is_not_followed() -> None:
    """Keys moved after the noise of blocks, although the rise of all keys is followed."""
    rates = dict.fromkeys(range(0, 65_536, 16), 0.05)
    recent = {key: rate * (1.5 if key < 256 else 1.0) for key, rate in rates.items()}
    scale = 100.0
    shifted = shift_detection.apply_shifts(
        {key: scale * rate for key, rate in rates.items()},
        {key: scale * rate for key, rate in recent.items()},
    )
    assert shifted[0] == scale * rates[0]
    everywhere = {key: 1.5 * rate for key, rate in rates.items()}
    assert shift_detection.apply_shifts(rates, everywhere)[0] > rates[0]
