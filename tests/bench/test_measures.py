"""Tests of the measures that are computed from samples."""

from __future__ import annotations

import dataclasses

from bench import measures
from bench import samples
from bench import workload
from goldcresthall.core import identity
from goldcresthall.core import preset

REQUEST_KIND = workload.RequestKind(
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
ANSWERED_SAMPLE = samples.Sample(
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
REFUSED_SAMPLE = dataclasses.replace(
    ANSWERED_SAMPLE, verdict=samples.Verdict.REFUSED, server="", latency_s=0.01
)


def measure(*collected: samples.Sample) -> measures.Measures:
    return measures.measure(collected, (REQUEST_KIND,), (POLICY,), 1.0)


def test_response_after_deadline_does_not_count_as_good() -> None:
    measured = measure(ANSWERED_SAMPLE, dataclasses.replace(ANSWERED_SAMPLE, latency_s=1.5))
    assert measured.good_share == 0.5
    assert measured.short.count == 2


def test_imbalance_includes_idle_servers() -> None:
    assert measure(ANSWERED_SAMPLE, ANSWERED_SAMPLE).imbalance[0].largest_over_mean == 2.0


def test_key_outage_lasts_from_first_failure_to_next_response() -> None:
    measured = measure(
        ANSWERED_SAMPLE,
        dataclasses.replace(REFUSED_SAMPLE, at_s=1.0),
        dataclasses.replace(REFUSED_SAMPLE, at_s=1.5),
        dataclasses.replace(ANSWERED_SAMPLE, at_s=3.0),
        dataclasses.replace(REFUSED_SAMPLE, at_s=2.0, key=1),
    )
    assert measured.worst_key_unavailable_s == 2.0
    assert measured.refused_share == 0.6


def test_unanswered_requests_are_counted_by_reason() -> None:
    queue_full = dataclasses.replace(REFUSED_SAMPLE, reason="queue_full")
    measured = measure(
        ANSWERED_SAMPLE, queue_full, queue_full, dataclasses.replace(queue_full, reason="no_owner")
    )
    assert [
        (counted_reason.reason, counted_reason.count) for counted_reason in measured.not_answered
    ] == [
        ("queue_full", 2),
        ("no_owner", 1),
    ]


def test_retry_amplification_is_mean_attempts_per_request() -> None:
    measured = measure(ANSWERED_SAMPLE, dataclasses.replace(ANSWERED_SAMPLE, tries=3))
    assert measured.retry_amplification == 2.0
