"""Tests of the counts and log lines of refused callers."""

from __future__ import annotations

import logging as standard_logging
from typing import TYPE_CHECKING

import prometheus_client

from goldcresthall.callers import refusals

if TYPE_CHECKING:
    import pytest


def test_each_refusal_is_counted_and_one_line_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """A line for each hostile caller would fill the log."""
    now_s = [0.0]
    registry = prometheus_client.CollectorRegistry()
    refusal_log = refusals.RefusalLog(lambda: now_s[0])
    refusal_log.register(registry)
    with caplog.at_level(standard_logging.WARNING):
        for _ in range(100):
            refusal_log.count(refusals.Reason.BODY_TOO_LARGE, "too large")
        assert len(caplog.records) == 1
        now_s[0] = refusals.LOG_INTERVAL_S
        refusal_log.count(refusals.Reason.BODY_TOO_LARGE, "too large")
    assert "100 since the last line" in caplog.records[1].getMessage()
    labels = {"reason": "body_too_large"}
    assert registry.get_sample_value("goldcresthall_caller_refusals_total", labels) == 101
