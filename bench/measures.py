"""Performance measures that are computed from request samples."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

from bench import samples
from bench import workload
from goldcresthall.core import preset

if TYPE_CHECKING:
    from collections.abc import Iterable

MS_PER_S = 1_000
US_PER_S = 1_000_000
MAX_LATENCY_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Latency percentiles in milliseconds, and the number of samples."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceImbalance:
    """Ratio of the largest to the mean number of responses per server of a service."""

    service: str
    largest_over_mean: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonCount:
    """Number of requests of a service that were not answered, for one verdict and reason."""

    service: str
    verdict: samples.Verdict
    reason: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Performance of one run within a time window.

    Attributes
    ----------
    good_share
        Fraction of all requests that were answered within the deadline of their kind.
    goodput_per_s
        Requests answered within their deadline, per second.
    retry_amplification
        Mean number of attempts per request with at least one reported attempt.
    worst_key_unavailable_s
        Longest time from the first failed request of a key to its next answered one, or to its
        last one if none was answered, by their scheduled send times.
    mean_key_unavailable_s
        Mean over all keys of the longest such time of each key.
    sent_late_p99_ms
        99th percentile of the send delay of the load generator, which every latency includes.
    """

    requests: int
    good_share: float
    goodput_per_s: float
    short: Percentiles
    long: Percentiles
    refused_share: float
    refusal: Percentiles
    unknown_share: float
    unreached_share: float
    imbalance: tuple[ServiceImbalance, ...]
    retry_amplification: float
    worst_key_unavailable_s: float
    mean_key_unavailable_s: float
    sent_late_p99_ms: float
    not_answered: tuple[ReasonCount, ...] = ()


def measure(
    collected: tuple[samples.Sample, ...],
    kinds: tuple[workload.RequestKind, ...],
    services: tuple[preset.ServicePolicy, ...],
    duration_s: float,
) -> Measures:
    """Return the measures of the samples of a time window of `duration_s` seconds."""
    answered = _filter_by_verdict(collected, samples.Verdict.ANSWERED)
    refused = _filter_by_verdict(collected, samples.Verdict.REFUSED)
    good = [sample for sample in answered if _is_in_time(sample, kinds)]
    attempted = [sample for sample in collected if sample.tries]
    outages = find_key_outages(collected, kinds)
    return Measures(
        requests=len(collected),
        good_share=_compute_ratio(len(good), len(collected)),
        goodput_per_s=round(len(good) / duration_s, 2),
        short=_summarize_class(answered, kinds, preset.RequestClass.SHORT),
        long=_summarize_class(answered, kinds, preset.RequestClass.LONG),
        refused_share=_compute_ratio(len(refused), len(collected)),
        refusal=summarize(sample.latency_s for sample in refused),
        unknown_share=_compute_ratio(
            len(_filter_by_verdict(collected, samples.Verdict.UNKNOWN)), len(collected)
        ),
        unreached_share=_compute_ratio(
            len(_filter_by_verdict(collected, samples.Verdict.UNREACHED)), len(collected)
        ),
        imbalance=tuple(_measure_imbalance(answered, kinds, policy) for policy in services),
        retry_amplification=_compute_ratio(
            sum(sample.tries for sample in attempted), len(attempted)
        ),
        worst_key_unavailable_s=round(max(outages, default=0.0), 3),
        mean_key_unavailable_s=round(sum(outages) / len(outages), 4) if outages else 0.0,
        sent_late_p99_ms=summarize(sample.sent_late_s for sample in collected).p99_ms,
        not_answered=count_unanswered(collected, kinds),
    )


def summarize(latencies_s: Iterable[float]) -> Percentiles:
    """Return the percentiles of latencies in seconds, computed with an HDR histogram.

    Latencies above `MAX_LATENCY_US` count as that value.
    """
    recorded = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency_s in latencies_s:
        recorded.record_value(min(max(1, int(latency_s * US_PER_S)), MAX_LATENCY_US))
    if not recorded.get_total_count():
        return Percentiles(0, 0.0, 0.0, 0.0)
    points = (recorded.get_value_at_percentile(point) for point in (50.0, 99.0, 99.9))
    p50_ms, p99_ms, p999_ms = (round(point / MS_PER_S, 1) for point in points)
    return Percentiles(recorded.get_total_count(), p50_ms, p99_ms, p999_ms)


def count_unanswered(
    collected: tuple[samples.Sample, ...], kinds: tuple[workload.RequestKind, ...]
) -> tuple[ReasonCount, ...]:
    """Count unanswered requests by service, verdict and reason, the most frequent first."""
    counts = collections.Counter(
        (kinds[sample.kind].service, sample.verdict, sample.reason)
        for sample in collected
        if sample.verdict is not samples.Verdict.ANSWERED
    )
    return tuple(ReasonCount(*group, count) for group, count in counts.most_common())


def find_key_outages(
    collected: tuple[samples.Sample, ...], kinds: tuple[workload.RequestKind, ...]
) -> list[float]:
    """Return the longest outage of each key of each service, in seconds.

    An outage lasts from the first failed request to the next answered one, or to the last
    request if none was answered.
    """
    by_key: dict[tuple[str, int], list[samples.Sample]] = collections.defaultdict(list)
    for sample in sorted(collected, key=lambda sample: sample.at_s):
        by_key[(kinds[sample.kind].service, sample.key)].append(sample)
    return [_find_longest_outage(ordered) for ordered in by_key.values()]


def _find_longest_outage(ordered: list[samples.Sample]) -> float:
    longest_s = 0.0
    failed_since_s: float | None = None
    for sample in ordered:
        if sample.verdict is samples.Verdict.ANSWERED:
            if failed_since_s is not None:
                longest_s = max(longest_s, sample.at_s - failed_since_s)
            failed_since_s = None
        elif failed_since_s is None:
            failed_since_s = sample.at_s
    if failed_since_s is not None:
        longest_s = max(longest_s, ordered[-1].at_s - failed_since_s)
    return longest_s


def _filter_by_verdict(
    collected: tuple[samples.Sample, ...], verdict: samples.Verdict
) -> tuple[samples.Sample, ...]:
    return tuple(sample for sample in collected if sample.verdict is verdict)


def _is_in_time(sample: samples.Sample, kinds: tuple[workload.RequestKind, ...]) -> bool:
    return sample.latency_s * MS_PER_S <= kinds[sample.kind].deadline_ms


def _summarize_class(
    collected: tuple[samples.Sample, ...],
    kinds: tuple[workload.RequestKind, ...],
    request_class: preset.RequestClass,
) -> Percentiles:
    return summarize(
        sample.latency_s
        for sample in collected
        if kinds[sample.kind].request_class is request_class
    )


def _measure_imbalance(
    answered: tuple[samples.Sample, ...],
    kinds: tuple[workload.RequestKind, ...],
    policy: preset.ServicePolicy,
) -> ServiceImbalance:
    counts = collections.Counter(
        sample.server for sample in answered if kinds[sample.kind].service == policy.name
    )
    mean = sum(counts.values()) / len(policy.servers)
    ratio = round(max(counts.values()) / mean, 3) if counts else 0.0
    return ServiceImbalance(policy.name, ratio)


def _compute_ratio(part: int, whole: int) -> float:
    return round(part / whole, 4) if whole else 0.0
