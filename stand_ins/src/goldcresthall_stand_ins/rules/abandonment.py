"""GONE: no work is done for callers that have left."""

from __future__ import annotations

import dataclasses
import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

RULE = "GONE"
REACTION_S = 0.5
MAX_LATE_REQUESTS = 3
MAX_RUNNING_FRACTION = 0.25


def check(record: records.Record) -> list[violations.Violation]:
    """Check what servers still get and run after callers have left."""
    context = _Context(
        record, request_index.RequestIndex(record), disturbances.DisturbanceLog(record)
    )
    return [*_check_late_arrivals(context), *_check_running(context)]


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    record: records.Record
    index: request_index.RequestIndex
    log: disturbances.DisturbanceLog


def _find_departures(
    context: _Context,
) -> Iterator[tuple[events.CallerSent, events.CallerLeft]]:
    """Return the requests without a key whose caller left, and when it did."""
    for left in context.record.select(events.CallerLeft):
        sent = context.index.sent.get(left.request_id)
        if sent is not None and sent.key is None:
            yield sent, left


def _check_late_arrivals(context: _Context) -> Iterator[violations.Violation]:
    late = [
        arrival
        for sent, left in _find_departures(context)
        for arrival in context.index.arrived.get(left.request_id, ())
        if arrival.at_s > left.at_s + REACTION_S
        and context.log.is_in_touch(sent.instance, arrival.at_s)
        and context.log.is_in_touch(arrival.instance, arrival.at_s)
    ]
    if len(late) > MAX_LATE_REQUESTS:
        late.sort(key=operator.attrgetter("at_s"))
        what = f"{len(late)} requests reach servers after their callers have left"
        yield violations.Violation(RULE, late[MAX_LATE_REQUESTS].at_s, what, tuple(late))


def _check_running(context: _Context) -> Iterator[violations.Violation]:
    """Report that servers are often still at work some time after a caller has left.

    A run that the server broke off without a response would have lasted longer.
    """
    running: list[events.RequestBegan] = []
    dropped = 0
    for sent, left in _find_departures(context):
        judged_at_s = left.at_s + REACTION_S
        if not sent.is_idempotent or not context.log.is_in_touch(sent.instance, judged_at_s):
            continue
        for began in context.index.began.get(left.request_id, ()):
            if began.at_s > left.at_s:
                continue
            ended = context.index.find_run_end(began)
            if ended is None or ended.at_s > judged_at_s:
                running.append(began)
            elif ended.at_s >= left.at_s and _was_dropped(ended):
                dropped += 1
    if len(running) > MAX_RUNNING_FRACTION * (len(running) + dropped):
        running.sort(key=operator.attrgetter("at_s"))
        what = (
            f"servers still work on {len(running)} of {len(running) + dropped} requests "
            f"{REACTION_S:g} s after their callers have left"
        )
        yield violations.Violation(RULE, running[-1].at_s, what, tuple(running))


def _was_dropped(ended: events.RequestEnded | events.ServerEnded) -> bool:
    return isinstance(ended, events.RequestEnded) and ended.status == 0
