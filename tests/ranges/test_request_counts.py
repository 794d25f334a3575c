"""Tests of the counts between two reports."""

from __future__ import annotations

import pytest

from goldcresthall.load import work_table
from goldcresthall.ranges import request_counts


def test_report_has_each_request_and_the_work_of_each_key() -> None:
    counter = request_counts.RequestCounter(10.0)
    for key, work_s in ((7, 0.1), (8, 0.2), (7, 0.3)):
        counter.add("ledger", key, work_s)
    counts = counter.finish(10.5)
    assert counts.keys == (request_counts.CountedKeys("ledger", (7, 8, 7)),)
    assert counts.work == (work_table.KeyWork("ledger", (7, 8), (pytest.approx(0.4), 0.2)),)


def test_work_of_a_long_gap_is_scaled_to_the_longest_span() -> None:
    """After a takeover, the work of six seconds looked like a burst of one report."""
    counter = request_counts.RequestCounter(10.0)
    counter.add("ledger", 7, 6.0)
    assert counter.finish(16.0).work[0].work_s == (pytest.approx(1.0),)


def test_count_of_unknown_start_is_not_scaled() -> None:
    counter = request_counts.RequestCounter()
    counter.add("ledger", 7, 6.0)
    assert counter.finish(16.0).work[0].work_s == (6.0,)
