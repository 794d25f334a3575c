"""Tests of the export of the expected work."""

from __future__ import annotations

import prometheus_client

from goldcresthall.load import work_metrics
from goldcresthall.load import work_table
from tests.fakes import clock
from tests.load import test_work_model


def test_expected_work_is_exported_by_route() -> None:
    model = test_work_model.create_model(clock.ManualClock())
    registry = prometheus_client.CollectorRegistry(auto_describe=True)
    registry.register(work_metrics.WorkCollector(model))
    model.apply_table(work_table.WorkTable(1, (), (work_table.RouteWork("reads", 0.12),)))
    name = "goldcresthall_expected_work_seconds"
    assert registry.get_sample_value(name, {"route": "reads"}) == 0.12
