"""Tests of the statistics of load that many reporters add to while the lessor reads them."""

from __future__ import annotations

import sys
import threading
from typing import TYPE_CHECKING

import pytest

from goldcresthall.load import work_table
from goldcresthall.ranges import load_statistics

if TYPE_CHECKING:
    import collections.abc

SERVICE = "ledger"
REPORTS = 300
KEYS_PER_REPORT = 40


@pytest.fixture
def _frequent_switches() -> collections.abc.Iterator[None]:
    """Let threads alternate within single operations."""
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(interval_s)


@pytest.mark.usefixtures("_frequent_switches")
def test_work_that_is_reported_while_rates_are_computed_is_counted_once() -> None:
    """The dictionary of sums changed size during an iteration, and amounts were lost."""
    statistics = load_statistics.LoadStatistics()

    def add() -> None:
        for report in range(REPORTS):
            first = report * KEYS_PER_REPORT
            keys = tuple(range(first, first + KEYS_PER_REPORT))
            row = work_table.KeyWork(SERVICE, keys, (1.0,) * KEYS_PER_REPORT)
            statistics.add((), 0.0, (row,))

    reporter = threading.Thread(target=add)
    reporter.start()
    now_s = 0.0
    while reporter.is_alive():
        now_s += 1e-6
        statistics.estimate_rates(SERVICE, now_s)
    reporter.join()
    rates = statistics.estimate_rates(SERVICE, now_s + 1e-6)
    assert len(rates.keys) == REPORTS * KEYS_PER_REPORT
    each = rates.prefix_sums[-1] / len(rates.keys)
    assert rates.prefix_sums[1] == pytest.approx(each, rel=0.01)


def test_rates_are_computed_once_for_a_reading_of_the_clock() -> None:
    """They were computed three times a step, for 6 ms each at 3,000 keys."""
    statistics = load_statistics.LoadStatistics()
    statistics.add((), 0.0, (work_table.KeyWork(SERVICE, (7,), (1.0,)),))
    rates = statistics.estimate_rates(SERVICE, 0.5)
    assert statistics.estimate_rates(SERVICE, 0.5) is rates
    assert statistics.estimate_rates(SERVICE, 0.6) is not rates
