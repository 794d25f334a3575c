"""Tests of the Space-Saving sketch: error bounds, memory bound and decay."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies

from goldcresthall.ownership import sketch


@hypothesis.given(
    keys=strategies.lists(strategies.integers(0, 30).map(str), max_size=400),
    capacity=strategies.integers(1, 12),
)
def test_counts_are_within_their_error_bounds(keys: list[str], capacity: int) -> None:
    counted = sketch.SpaceSaving(capacity)
    for key in keys:
        counted.count(key)
    true_counts = collections.Counter(keys)
    assert counted.size <= capacity
    for monitored in counted.list_top(capacity):
        assert monitored.count - monitored.error <= true_counts[monitored.key] <= monitored.count
    kept = {monitored.key for monitored in counted.list_top(capacity)}
    assert all(key in kept for key, count in true_counts.items() if count > len(keys) / capacity)


def test_most_frequent_keys_are_found_among_many() -> None:
    generator = random.Random(1)
    counted = sketch.SpaceSaving(128)
    for _ in range(20_000):
        is_hot = generator.random() < 0.2
        counted.count(f"hot-{generator.randrange(5)}" if is_hot else str(generator.random()))
    assert counted.size == 128
    assert {monitored.key for monitored in counted.list_top(5)} == {
        f"hot-{rank}" for rank in range(5)
    }


def test_decayed_key_makes_room_for_a_new_key() -> None:
    counted = sketch.SpaceSaving(2)
    for _ in range(100):
        counted.count("old")
    for _ in range(60):
        counted.decay(0.8)
    assert counted.list_top(1) == ()
    counted.count("new")
    assert counted.list_top(1)[0].key == "new"
