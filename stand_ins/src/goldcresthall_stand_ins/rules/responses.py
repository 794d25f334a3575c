"""MIXED: a caller gets the response of the server that ran its request, whole, or a failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Sequence

    from goldcresthall_stand_ins.rules import record as records

RULE = "MIXED"
SUCCESS_STATUSES = range(200, 300)


def check(record: records.Record) -> list[violations.Violation]:
    """Check each response that a caller received against what servers sent."""
    index = request_index.RequestIndex(record)
    owners = _find_signature_owners(index)
    found = []
    for answer in record.select(events.CallerAnswered):
        fault = _find_fault(answer, index, owners)
        if fault:
            name = answer.request_id or answer.connection
            evidence = (answer, *index.ended.get(answer.request_id, ()))
            found.append(violations.Violation(RULE, answer.at_s, f"{name}: {fault}", evidence))
    return found


def _is_success(status: int) -> bool:
    return status in SUCCESS_STATUSES


def _find_signature_owners(index: request_index.RequestIndex) -> dict[str, set[str]]:
    """Return the requests whose response bears each signature."""
    owners: dict[str, set[str]] = {}
    for grouped in (index.ended, index.refused):
        for request_id, responses in grouped.items():
            for response in responses:
                owners.setdefault(response.signature, set()).add(request_id)
    return owners


def _find_fault(
    answer: events.CallerAnswered,
    index: request_index.RequestIndex,
    owners: dict[str, set[str]],
) -> str:
    """Return what is wrong with a response; empty if nothing is."""
    ended = index.ended.get(answer.request_id, [])
    if not answer.is_valid:
        return "" if any(not event.is_complete for event in ended) else "no valid response"
    if _belongs_elsewhere(answer, owners):
        return "the response belongs to another request"
    if _is_success(answer.status):
        return _find_success_fault(answer, ended)
    sent_statuses = {
        event.status
        for event in (*ended, *index.refused.get(answer.request_id, ()))
        if event.signature == answer.signature
    }
    if answer.signature and answer.status not in sent_statuses:
        return f"a server signed status {sorted(sent_statuses)}, the caller gets {answer.status}"
    return ""


def _belongs_elsewhere(answer: events.CallerAnswered, owners: dict[str, set[str]]) -> bool:
    if answer.echoed_id and answer.echoed_id != answer.request_id:
        return True
    signed_for = owners.get(answer.signature, set()) if answer.signature else set()
    return bool(signed_for) and answer.request_id not in signed_for


def _find_success_fault(answer: events.CallerAnswered, ended: Sequence[events.RequestEnded]) -> str:
    if not answer.request_id:
        return "a success on a connection with no request waiting"
    if not answer.signature:
        return "a success without the server's signature"
    signed = [event for event in ended if event.signature == answer.signature]
    if not any(_is_success(event.status) for event in signed):
        return "a success where no server had answered with one"
    if answer.is_complete and not any(
        event.is_complete and event.body_digest == answer.body_digest for event in signed
    ):
        return "the body looks complete and is not the server's whole body"
    return ""
