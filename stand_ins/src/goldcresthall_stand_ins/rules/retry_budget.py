"""BUDGET, repeats: the repeats of all instances together, and the servers of one request."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import configurations
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from goldcresthall_stand_ins.rules import bounds
    from goldcresthall_stand_ins.rules import record as records

RULE = "BUDGET"
MAX_EXCESSIVE_REQUESTS = 3


def check(record: records.Record) -> list[violations.Violation]:
    """Check the number of repeats of each service, and of servers that run one request."""
    index = request_index.RequestIndex(record)
    versions = configurations.ConfigurationLog(record)
    return [
        *_check_repeats(record, index, versions),
        *_check_attempts(disturbances.DisturbanceLog(record), index, versions),
    ]


def _check_repeats(
    record: records.Record,
    index: request_index.RequestIndex,
    versions: configurations.ConfigurationLog,
) -> Iterator[violations.Violation]:
    sent_at_s = _collect_sendings(index, versions)
    for service, repeats in _collect_repeats(index).items():
        excess = _find_excess(repeats, sent_at_s[service], record.bounds)
        if excess:
            what = (
                f"{service} gets {len(excess)} repeats within "
                f"{record.bounds.budget_window_s:g} s, more than its budget"
            )
            yield violations.Violation(RULE, excess[-1].at_s, what, tuple(excess))


def _collect_sendings(
    index: request_index.RequestIndex, versions: configurations.ConfigurationLog
) -> dict[str, list[float]]:
    """Return the times at which callers sent requests for each service, in order.

    Requests for a service are those on a route to it, and those that reach it.
    """
    collected: dict[str, list[float]] = collections.defaultdict(list)
    for request_id, sent in index.sent.items():
        services = {arrival.service for arrival in index.arrived.get(request_id, ())}
        for route in versions.find_routes(sent):
            services |= {part.service for part in route.parts}
        for service in services:
            collected[service].append(sent.at_s)
    for times in collected.values():
        times.sort()
    return collected


def _collect_repeats(
    index: request_index.RequestIndex,
) -> dict[str, list[events.RequestArrived]]:
    """Return the arrivals beyond the first of each request by service, in order."""
    collected: dict[str, list[events.RequestArrived]] = collections.defaultdict(list)
    for arrivals in index.arrived.values():
        for arrival in arrivals[1:]:
            collected[arrival.service].append(arrival)
    for repeats in collected.values():
        repeats.sort(key=operator.attrgetter("at_s"))
    return collected


def _find_excess(
    repeats: Sequence[events.RequestArrived], sent_at_s: Sequence[float], limits: bounds.Bounds
) -> list[events.RequestArrived]:
    """Return the repeats of the first window that exceeds the budget; empty if none does.

    A window that begins or ends with a repeat stands for all that hold the same repeats.
    """
    window_s = limits.budget_window_s
    times = [repeat.at_s for repeat in repeats]
    ends_s = sorted({*times, *(at_s + window_s for at_s in times)})
    for end_s in ends_s:
        first = bisect.bisect_left(times, end_s - window_s)
        last = bisect.bisect_right(times, end_s)
        request_count = max(
            _count(sent_at_s, end_s - offset * window_s, window_s) for offset in (0.0, 0.5, 1.0)
        )
        if last - first > limits.retry_budget_ratio * request_count + limits.budget_slack:
            return list(repeats[first:last])
    return []


def _count(times: Sequence[float], end_s: float, window_s: float) -> int:
    return bisect.bisect_right(times, end_s) - bisect.bisect_left(times, end_s - window_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Excess:
    """A request that ran on more servers than its route allows."""

    began: tuple[events.RequestBegan, ...]
    max_attempts: int


def _check_attempts(
    log: disturbances.DisturbanceLog,
    index: request_index.RequestIndex,
    versions: configurations.ConfigurationLog,
) -> Iterator[violations.Violation]:
    excesses = []
    for request_id, began in index.began.items():
        sent = index.sent.get(request_id)
        routes = versions.find_routes(sent) if sent is not None else []
        if not routes:
            continue
        max_attempts = max(route.max_attempts for route in routes)
        counted = _find_counted_runs(began, log, index)
        if len({(event.server, event.incarnation) for event in counted}) > max_attempts:
            excesses.append(_Excess(tuple(counted), max_attempts))
    if len(excesses) > MAX_EXCESSIVE_REQUESTS:
        last_runs = sorted(
            (excess.began[-1] for excess in excesses), key=operator.attrgetter("at_s")
        )
        what = f"{len(excesses)} requests run on more servers than their routes allow"
        evidence = tuple(event for excess in excesses for event in excess.began)
        at_s = last_runs[MAX_EXCESSIVE_REQUESTS].at_s
        yield violations.Violation(RULE, at_s, what, evidence)


def _find_counted_runs(
    began: Sequence[events.RequestBegan],
    log: disturbances.DisturbanceLog,
    index: request_index.RequestIndex,
) -> list[events.RequestBegan]:
    """Return the runs on servers that neither ended nor were cut off before the last run."""
    until_s = began[-1].at_s
    counted = []
    for event in began:
        has_ended = any(
            end.server == event.server
            and end.incarnation == event.incarnation
            and event.at_s <= end.at_s <= until_s
            for end in index.server_ends
        )
        senders = {
            arrival.instance
            for arrival in index.arrived.get(event.request_id, ())
            if arrival.server == event.server
        }
        was_cut = any(
            log.was_link_cut(sender, event.server, event.at_s, until_s) for sender in senders
        )
        if not has_ended and not was_cut:
            counted.append(event)
    return counted
