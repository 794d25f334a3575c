"""DRAIN: a leaving server gets no new work, and a leaving instance gets no new callers."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import disturbances
from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records
from goldcresthall_stand_ins.rules import request_index
from goldcresthall_stand_ins.rules import violations

if TYPE_CHECKING:
    from collections.abc import Iterator

RULE = "DRAIN"
READY_LIMIT_S = 4.0
MISSED_ANSWERS_LIMIT = 2
STILL_READY_MIN_COUNT = 2
STILL_READY_MAX_FRACTION = 0.25


def check(record: records.Record) -> list[violations.Violation]:
    """Check that leaving servers and leaving instances get nothing new."""
    context = _Context(
        record, disturbances.DisturbanceLog(record), request_index.RequestIndex(record)
    )
    return [
        *_check_store_word(context),
        *_check_server_word(context),
        *_check_readiness(context),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    record: records.Record
    log: disturbances.DisturbanceLog
    index: request_index.RequestIndex

    @property
    def drain_s(self) -> float:
        return self.record.bounds.drain_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Incarnation:
    server: str
    incarnation: int


def _check_store_word(context: _Context) -> Iterator[violations.Violation]:
    """Report requests that arrive too late after the store has acknowledged the leaving."""
    leaving: dict[_Incarnation, events.ServerStateAcknowledged] = {}
    for event in context.record.events:
        _track_leaving(event, leaving)
        if not isinstance(event, events.RequestArrived):
            continue
        acknowledged = leaving.get(_Incarnation(event.server, event.incarnation))
        if acknowledged is not None and _is_late(context, event, acknowledged):
            late_s = event.at_s - acknowledged.at_s
            what = (
                f"{event.request_id} reaches {event.server} {late_s:.3f} s after the store "
                f"acknowledged that it is {acknowledged.state.value}"
            )
            yield violations.Violation(RULE, event.at_s, what, (acknowledged, event))


@functools.singledispatch
def _track_leaving(
    event: events.Event, leaving: dict[_Incarnation, events.ServerStateAcknowledged]
) -> None:
    """Note the first acknowledgement that a server leaves; most events say nothing of it."""


@_track_leaving.register
def _track_state(
    event: events.ServerStateAcknowledged,
    leaving: dict[_Incarnation, events.ServerStateAcknowledged],
) -> None:
    key = _Incarnation(event.server, event.incarnation)
    if event.state is events.ServerState.READY:
        leaving.pop(key, None)
    else:
        leaving.setdefault(key, event)


def _is_late(
    context: _Context,
    arrival: events.RequestArrived,
    acknowledged: events.ServerStateAcknowledged,
) -> bool:
    return (
        arrival.at_s > acknowledged.at_s + context.drain_s
        and _counts(context, arrival)
        and context.log.is_store_stable(acknowledged.at_s)
        and context.log.is_in_touch(arrival.instance, arrival.at_s)
        and _was_taken_in_touch(context, arrival)
        and not context.log.was_link_disturbed(arrival.instance, arrival.server, arrival.at_s)
    )


def _counts(context: _Context, arrival: events.RequestArrived) -> bool:
    return not arrival.is_health_check and not context.index.was_misdirected(arrival)


def _was_taken_in_touch(context: _Context, arrival: events.RequestArrived) -> bool:
    """Return whether the instance that took the request was in touch until it arrived."""
    sent = context.index.sent.get(arrival.request_id)
    if sent is None:
        return True
    return context.log.is_in_touch(sent.instance, sent.at_s) and context.log.is_in_touch(
        sent.instance, arrival.at_s
    )


def _check_server_word(context: _Context) -> Iterator[violations.Violation]:
    """Report requests sent too late after an instance passed on that a server leaves."""
    said: dict[tuple[_Incarnation, str], events.LeavingSaid] = {}
    for event in context.record.select(events.LeavingSaid):
        said.setdefault((_Incarnation(event.server, event.incarnation), event.instance), event)
    for arrival in context.record.select(events.RequestArrived):
        server = _Incarnation(arrival.server, arrival.incarnation)
        leaving = said.get((server, arrival.instance))
        sent = context.index.sent.get(arrival.request_id)
        if leaving is None or sent is None or not _counts(context, arrival):
            continue
        late_s = sent.at_s - leaving.at_s
        is_excused = context.log.was_restarted_or_frozen(
            arrival.instance, leaving.at_s, arrival.at_s
        )
        if late_s > context.drain_s and not is_excused:
            what = (
                f"{arrival.request_id} reaches {arrival.server} from {arrival.instance}, sent "
                f"{late_s:.3f} s after that instance passed on that the server is leaving"
            )
            yield violations.Violation(RULE, arrival.at_s, what, (leaving, sent, arrival))


def _check_readiness(context: _Context) -> Iterator[violations.Violation]:
    """Report that too many instances still count as ready some time after SIGTERM."""
    signals = [
        span
        for span in context.log.spans
        if span.began.kind is events.DisturbanceKind.TERMINATED
        and _counts_as_ready(context, span.began.instance, span.began.at_s)
    ]
    still_ready = [
        span
        for span in signals
        if span.ended_at_s > span.began.at_s + READY_LIMIT_S
        and _counts_as_ready(context, span.began.instance, span.began.at_s + READY_LIMIT_S)
    ]
    if len(still_ready) >= STILL_READY_MIN_COUNT and len(
        still_ready
    ) > STILL_READY_MAX_FRACTION * len(signals):
        at_s = max(span.began.at_s for span in still_ready) + READY_LIMIT_S
        what = (
            f"{len(still_ready)} of {len(signals)} instances still run and count as ready "
            f"{READY_LIMIT_S:g} s after SIGTERM"
        )
        yield violations.Violation(RULE, at_s, what, tuple(span.began for span in still_ready))


def _counts_as_ready(context: _Context, instance: str, at_s: float) -> bool:
    """Return whether an instance was in rotation; a number of misses in a row takes it out."""
    answers = [
        event
        for event in context.record.select(events.ReadinessAnswered)
        if event.instance == instance and event.at_s <= at_s
    ]
    latest = answers[-MISSED_ANSWERS_LIMIT:]
    return any(event.is_ready for event in latest)
