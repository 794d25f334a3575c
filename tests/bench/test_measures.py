"""Measures are computed from samples as their names say."""

from __future__ import annotations

import dataclasses

from bench import measures
from bench import samples
from bench import workload
from goldcresthall.core import identity
from goldcresthall.core import preset

KIND = workload.RequestKind(
    "archive", "GET", "/items/{key}", 1.0, 1.0, preset.RequestClass.SHORT, 1_000
)
POLICY = preset.ServicePolicy(
    name="archive",
    keyed=False,
    servers=tuple(
        preset.BackendServer(
            name=f"archive-{number}",
            address=identity.Address("127.0.0.1", number),
            failure_domain="molde",
        )
        for number in range(2)
    ),
)
SAMPLE = samples.Sample(
    number=0,
    at_s=0.0,
    latency_s=0.1,
    sent_late_s=0.0,
    kind=0,
    key=0,
    verdict=samples.Verdict.ANSWERED,
    reason="",
    server="archive-0",
    tries=1,
)
REFUSED = dataclasses.replace(SAMPLE, verdict=samples.Verdict.REFUSED, server="", latency_s=0.01)


def measure(*taken: samples.Sample) -> measures.Measures:
    return measures.measure(taken, (KIND,), (POLICY,), 1.0)


def test_an_answer_after_its_deadline_is_not_good() -> None:
    measured = measure(SAMPLE, dataclasses.replace(SAMPLE, latency_s=1.5))
    assert measured.good_share == 0.5
    assert measured.short.count == 2


def test_a_server_without_work_counts_in_the_mean() -> None:
    assert measure(SAMPLE, SAMPLE).imbalance[0].largest_over_mean == 2.0


def test_a_keys_gap_runs_from_its_first_failure_to_its_next_answer() -> None:
    measured = measure(
        SAMPLE,
        dataclasses.replace(REFUSED, at_s=1.0),
        dataclasses.replace(REFUSED, at_s=1.5),
        dataclasses.replace(SAMPLE, at_s=3.0),
        dataclasses.replace(REFUSED, at_s=2.0, key=1),
    )
    assert measured.worst_key_unavailable_s == 2.0
    assert measured.refused_share == 0.6


def test_requests_without_an_answer_are_counted_by_reason() -> None:
    full = dataclasses.replace(REFUSED, reason="queue_full")
    counted = measure(SAMPLE, full, full, dataclasses.replace(full, reason="no_owner"))
    assert [(found.reason, found.count) for found in counted.not_answered] == [
        ("queue_full", 2),
        ("no_owner", 1),
    ]


def test_tries_are_counted_per_request_that_reached_an_instance() -> None:
    measured = measure(SAMPLE, dataclasses.replace(SAMPLE, tries=3))
    assert measured.retry_amplification == 2.0
