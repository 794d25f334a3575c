"""Tests of how soon a call to the store is repeated."""

from __future__ import annotations

from goldcresthall.gateway import watchers

CONFIGURATION_BOUND_S = 2.0


def test_pauses_grow_and_stay_below_the_time_for_a_new_configuration() -> None:
    delays = [watchers.find_retry_delay_s(failures) for failures in range(1, 40)]
    assert delays == sorted(delays)
    assert delays[0] < 0.2
    assert delays[-1] < CONFIGURATION_BOUND_S


def test_a_long_outage_takes_few_calls() -> None:
    elapsed_s = 0.0
    calls = 0
    while elapsed_s < 9.0:
        calls += 1
        elapsed_s += watchers.find_retry_delay_s(calls)
    assert calls < 12
