"""Tests of request rates by partition and key, their decay and their aggregation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.core import heat as core_heat
from goldcresthall.ownership import heat
from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import preset


def test_constant_rate_is_reported_within_one_percent(archive_policy: preset.ServicePolicy) -> None:
    counter = heat.HeatCounter()
    for _ in range(40):
        for number in range(20):
            key = "hot" if number < 15 else f"key-{number}"
            partition = rendezvous.find_partition(key, archive_policy.partitions)
            counter.count(archive_policy, partition, key)
        counter.close_period()
    measured = counter.report.find_service("archive")
    assert measured is not None
    assert measured.rate_per_s == pytest.approx(20 / heat.REPORT_PERIOD_S, rel=0.01)
    assert measured.keys[0].key == "hot"
    assert measured.keys[0].rate_per_s == pytest.approx(15 / heat.REPORT_PERIOD_S, rel=0.01)
    assert sum(part.rate_per_s for part in measured.partitions) == pytest.approx(
        measured.rate_per_s
    )


def test_combined_report_is_the_sum_of_peer_reports() -> None:
    one = core_heat.ServiceHeat(
        "archive",
        10.0,
        (core_heat.PartitionHeat(0, 6.0), core_heat.PartitionHeat(1, 4.0)),
        (core_heat.KeyHeat("molde", 0, 5.0, 1.0),),
    )
    other = core_heat.ServiceHeat("archive", 2.0, (core_heat.PartitionHeat(0, 2.0),))
    counter = heat.HeatCounter()
    counter.update_peer_report("entry-2", core_heat.HeatReport((one,)))
    counter.update_peer_report("entry-3", core_heat.HeatReport((other,)))
    measured = counter.combine_reports().find_service("archive")
    assert measured is not None
    assert (measured.rate_per_s, measured.keys) == (12.0, one.keys)
    assert {part.number: part.rate_per_s for part in measured.partitions} == {0: 8.0, 1: 4.0}
    counter.remove_peer_report("entry-2")
    assert counter.combine_reports().find_service("archive") == other


def test_idle_partitions_and_keys_decay_out_of_the_report(
    archive_policy: preset.ServicePolicy,
) -> None:
    counter = heat.HeatCounter()
    counter.count(archive_policy, 0, "old")
    for _ in range(40):
        counter.close_period()
    measured = counter.report.find_service("archive")
    assert measured is not None
    assert (measured.partitions, measured.keys) == ((), ())
