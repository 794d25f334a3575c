"""LOST: requests that were read are not dropped, least of all around planned work."""

from __future__ import annotations

import collections
import dataclasses
import operator
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import configurations
from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import planned_work
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

RULE = "LOST"
MAX_UNANSWERED = 3


def check(record: records.Record) -> list[violations.Violation]:
    """Check the requests that ended without the response of a server."""
    context = _Context(
        record,
        request_index.RequestIndex(record),
        disturbances.DisturbanceLog(record),
        configurations.ConfigurationLog(record),
    )
    cuts = list(_find_cuts(context))
    return [*_check_kept_connections(context, cuts), *_check_planned_work(context, cuts)]


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    record: records.Record
    index: request_index.RequestIndex
    log: disturbances.DisturbanceLog
    versions: configurations.ConfigurationLog


def _find_cuts(context: _Context) -> Iterator[planned_work.Cut]:
    """Return the requests that were cut off, and those answered in a server's place."""
    for event in context.record.events:
        if not isinstance(event, events.CallerCutOff | events.CallerAnswered):
            continue
        sent = context.index.sent.get(event.request_id)
        if sent is None or sent.at_s > event.at_s:
            continue
        arrivals = tuple(
            arrival
            for arrival in context.index.arrived.get(event.request_id, ())
            if arrival.at_s <= event.at_s
        )
        if isinstance(event, events.CallerCutOff) or _replaces_running_work(context, event):
            yield planned_work.Cut(sent, event, arrivals)


def _replaces_running_work(context: _Context, answer: events.CallerAnswered) -> bool:
    """Return whether an instance gives a response of its own while a server is at work."""
    return not answer.signature and _is_at_work(context, answer.request_id, answer.at_s)


def _is_at_work(context: _Context, request_id: str, at_s: float) -> bool:
    return any(
        began.at_s <= at_s and _runs_until(context, began) > at_s
        for began in context.index.began.get(request_id, ())
    )


def _runs_until(context: _Context, began: events.RequestBegan) -> float:
    ended = context.index.find_run_end(began)
    return float("inf") if ended is None else ended.at_s


def _check_kept_connections(
    context: _Context, cuts: list[planned_work.Cut]
) -> Iterator[violations.Violation]:
    """Report instances that often close kept connections after passing a request on."""
    unanswered: dict[str, list[planned_work.Cut]] = collections.defaultdict(list)
    for cut in cuts:
        instance = cut.sent.instance
        if (
            isinstance(cut.ended, events.CallerCutOff)
            and cut.arrivals
            and _was_kept(context, cut.sent)
            and not _server_broke_off(context, cut)
            and context.log.is_in_touch(instance, cut.sent.at_s)
            and context.log.is_in_touch(instance, cut.ended.at_s)
        ):
            unanswered[instance].append(cut)
    for instance, found in unanswered.items():
        if len(found) > MAX_UNANSWERED:
            what = f"{instance} closes {len(found)} kept connections without a response"
            evidence = tuple(cut.ended for cut in found)
            yield violations.Violation(RULE, evidence[MAX_UNANSWERED].at_s, what, evidence)


def _was_kept(context: _Context, sent: events.CallerSent) -> bool:
    """Return whether a request was sent on a connection with an earlier response."""
    return any(
        answer.connection == sent.connection and answer.at_s <= sent.at_s
        for answer in context.record.select(events.CallerAnswered)
    )


def _server_broke_off(context: _Context, cut: planned_work.Cut) -> bool:
    """Return whether the last server of a request ended or broke off before the cut."""
    last = max(cut.arrivals, key=operator.attrgetter("at_s"), default=None)
    if last is None:
        return False
    has_ended = any(
        end.server == last.server
        and end.incarnation == last.incarnation
        and last.at_s <= end.at_s <= cut.ended.at_s
        for end in context.index.server_ends
    )
    return has_ended or any(
        ended.server == last.server
        and ended.incarnation == last.incarnation
        and ended.at_s <= cut.ended.at_s
        and not ended.is_complete
        for ended in context.index.ended.get(last.request_id, ())
    )


def _check_planned_work(
    context: _Context, cuts: list[planned_work.Cut]
) -> Iterator[violations.Violation]:
    """Report requests that were read and cut around planned work."""
    judge = planned_work.PlannedWork(context.record, context.log, context.versions)
    counted = [cut for cut in cuts if _counts(context, judge, cut)]
    for cut in counted:
        reason = judge.find_reason(cut, counted)
        if reason is None or _was_busy_at_grace_end(context, reason, cut):
            continue
        what = (
            f"{cut.sent.instance} has read {cut.sent.request_id} and ends it "
            f"{cut.duration_s:.3f} s later without a server's response, around {reason.name}"
        )
        evidence = (reason.began, cut.sent, *cut.arrivals, cut.ended)
        yield violations.Violation(RULE, cut.ended.at_s, what, evidence)


def _counts(context: _Context, judge: planned_work.PlannedWork, cut: planned_work.Cut) -> bool:
    was_read = bool(cut.arrivals) or (
        cut.duration_s > context.record.bounds.lost_s and not _was_behind_another(context, cut)
    )
    return (
        was_read
        and not judge.was_impaired(cut)
        and not _server_broke_off(context, cut)
        and cut.duration_s < judge.find_time_limit_s(cut.sent)
    )


def _was_behind_another(context: _Context, cut: planned_work.Cut) -> bool:
    """Return whether another request on the connection was unanswered when this was sent."""
    return any(
        other.connection == cut.sent.connection
        and other.at_s <= cut.sent.at_s
        and other.request_id != cut.sent.request_id
        and not any(
            answer.at_s <= cut.sent.at_s
            for answer in context.index.answered.get(other.request_id, ())
        )
        for other in context.index.sent.values()
    )


def _was_busy_at_grace_end(
    context: _Context, reason: planned_work.Reason, cut: planned_work.Cut
) -> bool:
    """Return whether a server was at work until the last part of the grace period."""
    if reason.last_part_at_s is None or cut.ended.at_s < reason.last_part_at_s:
        return False
    is_early = cut.sent.at_s <= reason.began.at_s + planned_work.EARLY_REQUEST_S
    return is_early and _is_at_work(context, cut.sent.request_id, reason.last_part_at_s)
