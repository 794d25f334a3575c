"""BUDGET, deadlines, and CONFIG, timeouts: no request gets more time than it has."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import configurations
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

DEADLINE_RULE = "BUDGET"
TIMEOUT_RULE = "CONFIG"
TOLERANCE_S = 0.5
MAX_EXTENDED_DEADLINES = 20
MAX_EXTENDED_FRACTION = 0.2
MAX_HELD_FRACTION = 0.5  # of the requests that are unanswered at their timeout
MIN_HELD_COUNT = 8
MAX_HELD_FRACTION_IF_MANY = 0.25


def check(record: records.Record) -> list[violations.Violation]:
    """Check the deadlines that servers get and the timeouts of routes."""
    context = _Context(
        record,
        request_index.RequestIndex(record),
        disturbances.DisturbanceLog(record),
        configurations.ConfigurationLog(record),
    )
    return [*_check_deadlines(context), *_check_timeouts(context)]


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    record: records.Record
    index: request_index.RequestIndex
    log: disturbances.DisturbanceLog
    versions: configurations.ConfigurationLog


def _check_deadlines(context: _Context) -> Iterator[violations.Violation]:
    """Report that servers are often handed more time than is left."""
    extended: list[events.RequestArrived] = []
    counted: set[int] = set()
    for request_id, arrivals in context.index.arrived.items():
        sent = context.index.sent.get(request_id)
        if sent is None or sent.deadline_s is None:
            continue
        for arrival in arrivals:
            if not context.log.is_in_touch(arrival.instance, arrival.at_s):
                continue
            if _is_late_repeat(arrival, arrivals[0]):
                counted.add(id(arrival))
            if _is_extended(arrival, arrivals[0], sent, sent.deadline_s):
                counted.add(id(arrival))
                extended.append(arrival)
    if len(extended) > MAX_EXTENDED_DEADLINES and len(extended) > MAX_EXTENDED_FRACTION * len(
        counted
    ):
        at_s = max(arrival.at_s for arrival in extended)
        what = f"{len(extended)} requests reach servers with more time than is left"
        yield violations.Violation(DEADLINE_RULE, at_s, what, tuple(extended))


def _is_late_repeat(arrival: events.RequestArrived, first: events.RequestArrived) -> bool:
    return arrival is not first and arrival.at_s - first.at_s > TOLERANCE_S


def _is_extended(
    arrival: events.RequestArrived,
    first: events.RequestArrived,
    sent: events.CallerSent,
    deadline_s: float,
) -> bool:
    if arrival.deadline_s is None or arrival.deadline_s > deadline_s + TOLERANCE_S:
        return True
    if not _is_late_repeat(arrival, first) or first.deadline_s is None:
        return False
    last_end_s = max(first.at_s + first.deadline_s, sent.at_s + deadline_s)
    return arrival.at_s + arrival.deadline_s > last_end_s + TOLERANCE_S


def _check_timeouts(context: _Context) -> Iterator[violations.Violation]:
    """Report that requests often have no response some time after their route's timeout."""
    unanswered: list[events.CallerSent] = []
    held: list[events.CallerSent] = []
    ends = _find_ends(context.record)
    last_s = context.record.events[-1].at_s if context.record.events else 0.0
    for sent in context.index.sent.values():
        timeout_s = context.versions.find_timeout_s(sent)
        if timeout_s is None:
            continue
        timeout_at_s = sent.at_s + timeout_s
        judged_at_s = timeout_at_s + TOLERANCE_S
        end = ends.get(sent.request_id)
        if (
            judged_at_s > last_s
            or (end is not None and end.at_s <= timeout_at_s)
            or (isinstance(end, events.CallerLeft) and end.at_s <= judged_at_s)
            or not context.log.is_in_touch(sent.instance, judged_at_s)
        ):
            continue
        unanswered.append(sent)
        if end is None or end.at_s > judged_at_s:
            held.append(sent)
    is_most = len(held) > MAX_HELD_FRACTION * len(unanswered)
    are_many = len(held) >= MIN_HELD_COUNT and len(held) > MAX_HELD_FRACTION_IF_MANY * len(
        unanswered
    )
    if is_most or are_many:
        what = (
            f"{len(held)} of {len(unanswered)} requests that outlast their route's timeout have "
            f"no response {TOLERANCE_S:g} s after it"
        )
        yield violations.Violation(TIMEOUT_RULE, held[0].at_s, what, tuple(held))


def _find_ends(
    record: records.Record,
) -> dict[str, events.CallerAnswered | events.CallerCutOff | events.CallerLeft]:
    """Return the first event with which each request ended for its caller."""
    ends: dict[str, events.CallerAnswered | events.CallerCutOff | events.CallerLeft] = {}
    for event in record.events:
        if isinstance(event, events.CallerAnswered | events.CallerCutOff | events.CallerLeft):
            ends.setdefault(event.request_id, event)
    return ends
