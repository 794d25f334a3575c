"""TWICE and REFUSED: at most one run of a request, and none of a refused one.

Both rules hold for requests that are not idempotent, and at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

    from goldcresthall_stand_ins.rules import record as records

TWICE = "TWICE"
REFUSED = "REFUSED"


def check(record: records.Record) -> list[violations.Violation]:
    """Check the runs of requests that are not idempotent."""
    index = request_index.RequestIndex(record)
    return [*_check_repeated(index), *_check_refused(index)]


def _check_repeated(index: request_index.RequestIndex) -> Iterator[violations.Violation]:
    for request_id, began in index.began.items():
        if len(began) > 1 and not index.is_idempotent(request_id):
            servers = ", ".join(event.server for event in began)
            what = f"{request_id} is not idempotent and runs {len(began)} times, on {servers}"
            yield violations.Violation(TWICE, began[1].at_s, what, tuple(began))


def _check_refused(index: request_index.RequestIndex) -> Iterator[violations.Violation]:
    for request_id, answers in index.answered.items():
        refusals = [
            event for event in answers if event.status in request_index.NOT_EXECUTED_STATUSES
        ]
        began = index.began.get(request_id, [])
        if refusals and began and not index.is_idempotent(request_id):
            status = refusals[0].status
            what = f"{request_id} is not idempotent, is answered {status} and runs"
            at_s = max(refusals[0].at_s, began[0].at_s)
            yield violations.Violation(REFUSED, at_s, what, (refusals[0], began[0]))
