"""Export of the failures of tasks as a metric."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import core
from prometheus_client import registry

from goldcresthall.kernel import task_health

if TYPE_CHECKING:
    from collections.abc import Iterator


class TaskFailureCollector(registry.Collector):
    """Collects the number of failures by task."""

    def collect(self) -> Iterator[core.Metric]:
        """Return the counter of tasks that ended by an exception."""
        counter = core.CounterMetricFamily(
            "goldcresthall_task_failures", "Tasks that ended by an exception.", labels=["task"]
        )
        for name, count in task_health.HEALTH.counts.items():
            counter.add_metric([name], count)
        yield counter
