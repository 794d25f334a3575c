"""Heat service: request rates by partition, and the keys with the highest rates."""

from __future__ import annotations

import collections
import heapq
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import heat
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.ownership import rendezvous
from goldcresthall.ownership import sketch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from goldcresthall.core import preset

REPORT_PERIOD_S = 2.0
DECAY_FACTOR_PER_PERIOD = 0.8
MAX_MONITORED_KEYS = 128
MAX_REPORTED_PARTITIONS = 64
MAX_REPORTED_KEYS = 8


class ServiceHeatCounter:
    """Exponentially decayed request counts of one service, with bounded memory."""

    def __init__(self, name: str, partition_count: int) -> None:
        self._name = name
        self._partitions = [0.0] * partition_count
        self._keys = sketch.SpaceSaving(MAX_MONITORED_KEYS)

    @property
    def partition_count(self) -> int:
        """Number of partitions of the service."""
        return len(self._partitions)

    def count(self, partition: int, key: str) -> None:
        """Count one request for a key."""
        self._partitions[partition] += 1.0
        self._keys.count(key)

    def close_period(self) -> heat.ServiceHeat:
        """Return the current rates and decay all counts."""
        # At a constant rate r, a count converges to
        # r * REPORT_PERIOD_S / (1 - DECAY_FACTOR_PER_PERIOD).
        per_count = (1.0 - DECAY_FACTOR_PER_PERIOD) / REPORT_PERIOD_S
        hottest = heapq.nlargest(MAX_REPORTED_PARTITIONS, enumerate(self._partitions), _get_count)
        report = heat.ServiceHeat(
            service=self._name,
            rate_per_s=sum(self._partitions) * per_count,
            partitions=tuple(
                heat.PartitionHeat(number, count * per_count)
                for number, count in hottest
                if count > sketch.NEGLIGIBLE_COUNT
            ),
            keys=tuple(
                heat.KeyHeat(
                    key=monitored.key,
                    partition=rendezvous.find_partition(monitored.key, self.partition_count),
                    rate_per_s=monitored.count * per_count,
                    error_per_s=monitored.error * per_count,
                )
                for monitored in self._keys.list_top(MAX_REPORTED_KEYS)
            ),
        )
        self._partitions = [count * DECAY_FACTOR_PER_PERIOD for count in self._partitions]
        self._keys.decay(DECAY_FACTOR_PER_PERIOD)
        return report


class HeatCounter(service.Service):
    """Counts the keyed requests of this instance and reports the rates to its peers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[str, ServiceHeatCounter] = {}
        self._report = heat.HeatReport()
        self._peers: dict[str, heat.HeatReport] = {}
        self._task = tasks.LoopTask("heat", self._run)

    @property
    def report(self) -> heat.HeatReport:
        """Rates at the end of the last period."""
        return self._report

    def combine_reports(self) -> heat.HeatReport:
        """Return the sum of this instance's report and its peers' reports.

        The platform's load balancer distributes callers evenly, so that a few
        instances are a representative sample of all traffic.
        """
        with self._lock:
            reports = (self._report, *self._peers.values())
        return combine(reports)

    def update_peer_report(self, name: str, report: heat.HeatReport) -> None:
        """Store the latest report of a peer."""
        with self._lock:
            self._peers[name] = report

    def remove_peer_report(self, name: str) -> None:
        """Remove the report of a peer."""
        with self._lock:
            self._peers.pop(name, None)

    def start(self) -> None:
        """Start the periodic report."""
        self._task.start()

    def stop(self) -> None:
        """Stop the periodic report."""
        self._task.stop()

    def count(self, policy: preset.ServicePolicy, partition: int, key: str) -> None:
        """Count one request for a key of a service."""
        with self._lock:
            counter = self._counters.get(policy.name)
            if counter is None or counter.partition_count != policy.partitions:
                counter = ServiceHeatCounter(policy.name, policy.partitions)
                self._counters[policy.name] = counter
            counter.count(partition, key)

    def close_period(self) -> None:
        """Publish the report of the period and decay all counts."""
        with self._lock:
            services = tuple(counter.close_period() for counter in self._counters.values())
        self._report = heat.HeatReport(services)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(REPORT_PERIOD_S):
            self.close_period()


def combine(reports: Iterable[heat.HeatReport]) -> heat.HeatReport:
    """Return the sum of the reports of several instances."""
    by_service: dict[str, list[heat.ServiceHeat]] = collections.defaultdict(list)
    for report in reports:
        for service_heat in report.services:
            by_service[service_heat.service].append(service_heat)
    return heat.HeatReport(
        tuple(_combine_service(name, heats) for name, heats in by_service.items())
    )


def _combine_service(name: str, heats: list[heat.ServiceHeat]) -> heat.ServiceHeat:
    partitions: dict[int, float] = collections.defaultdict(float)
    keys: dict[str, heat.KeyHeat] = {}
    for part in (part for item in heats for part in item.partitions):
        partitions[part.number] += part.rate_per_s
    for key in (key for item in heats for key in item.keys):
        total = keys.get(key.key, heat.KeyHeat(key.key, key.partition, 0.0))
        keys[key.key] = heat.KeyHeat(
            key.key,
            key.partition,
            total.rate_per_s + key.rate_per_s,
            total.error_per_s + key.error_per_s,
        )
    return heat.ServiceHeat(
        service=name,
        rate_per_s=sum(item.rate_per_s for item in heats),
        partitions=tuple(heat.PartitionHeat(*item) for item in partitions.items()),
        keys=tuple(keys.values()),
    )


def _get_count(item: tuple[int, float]) -> float:
    return item[1]
