"""Export of the expected work as a metric."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import core
from prometheus_client import registry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall.load import work_model


class WorkCollector(registry.Collector):
    """Collects the expected work by route.

    Parameters
    ----------
    model
        Model whose expectations are exported.
    """

    def __init__(self, model: work_model.WorkModel) -> None:
        self._model = model

    def describe(self) -> Iterator[core.Metric]:
        """Return the gauge without values; the model is not started at registration."""
        yield _create_gauge()

    def collect(self) -> Iterator[core.Metric]:
        """Return the gauge of the expected work."""
        gauge = _create_gauge()
        for route, work_s in self._model.route_works_s.items():
            gauge.add_metric([route], work_s)
        yield gauge


def _create_gauge() -> core.GaugeMetricFamily:
    return core.GaugeMetricFamily(
        "goldcresthall_expected_work_seconds",
        "Expected work of a route's requests at a server of usual speed.",
        labels=["route"],
    )
