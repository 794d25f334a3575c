"""Tests of the delays between retries of calls to the store."""

from __future__ import annotations

from goldcresthall.gateway import watchers

CONFIGURATION_BOUND_S = 2.0


def test_retry_delays_grow_and_stay_below_the_configuration_bound() -> None:
    delays = [watchers.find_retry_delay_s(failures) for failures in range(1, 40)]
    assert delays == sorted(delays)
    assert delays[0] < 0.2
    assert delays[-1] < CONFIGURATION_BOUND_S


def test_few_calls_are_made_during_a_long_outage() -> None:
    elapsed_s = 0.0
    calls = 0
    while elapsed_s < 9.0:
        calls += 1
        elapsed_s += watchers.find_retry_delay_s(calls)
    assert calls < 12
