"""UNASKED: servers run only what a caller sent, unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall_stand_ins.rules import record as records

RULE = "UNASKED"


def check(record: records.Record) -> list[violations.Violation]:
    """Check each request that a server ran against what its caller sent."""
    index = request_index.RequestIndex(record)
    return [
        *_check_unknown(record, index),
        *_check_changed(record, index),
        *_check_bodies(record, index),
    ]


def _check_unknown(
    record: records.Record, index: request_index.RequestIndex
) -> Iterator[violations.Violation]:
    for began in record.select(events.RequestBegan):
        if began.request_id not in index.sent:
            what = f"{began.server} runs {began.request_id!r}, which no caller sent"
            yield violations.Violation(RULE, began.at_s, what, (began,))


def _check_changed(
    record: records.Record, index: request_index.RequestIndex
) -> Iterator[violations.Violation]:
    for arrival in record.select(events.RequestArrived):
        sent = index.sent.get(arrival.request_id)
        if sent is None or index.find_run(arrival) is None:
            continue
        changed = _find_changed_parts(sent, arrival)
        if changed:
            what = f"{arrival.server} runs {arrival.request_id} with another {changed}"
            yield violations.Violation(RULE, arrival.at_s, what, (sent, arrival))


def _find_changed_parts(sent: events.CallerSent, arrival: events.RequestArrived) -> str:
    changed = []
    if sent.method != arrival.method:
        changed.append("method")
    if sent.path != arrival.path:
        changed.append("path")
    if arrival.body_digest and sent.body_digest != arrival.body_digest:
        changed.append("body")
    return ", ".join(changed)


def _check_bodies(
    record: records.Record, index: request_index.RequestIndex
) -> Iterator[violations.Violation]:
    """Report bodies that a server read on after its response and that are not the caller's."""
    for read in record.select(events.RequestBodyRead):
        sent = index.sent.get(read.request_id)
        if sent is not None and sent.body_digest != read.body_digest:
            what = f"{read.server} reads other bytes where the body of {read.request_id} is due"
            yield violations.Violation(RULE, read.at_s, what, (sent, read))
