"""The events of each request, by its ID."""

from __future__ import annotations

import collections
import operator
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from goldcresthall_stand_ins.rules import events

if TYPE_CHECKING:
    from goldcresthall_stand_ins.rules import record as records

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421


class RequestEvent(Protocol):
    """An event of one request."""

    @property
    def request_id(self) -> str:
        """ID of the request."""


SomeRequestEvent = TypeVar("SomeRequestEvent", bound=RequestEvent)


class RequestIndex:
    """Groups what callers and servers saw of each request.

    Attributes
    ----------
    sent
        Requests that callers sent.
    arrived, began, ended, refused
        What servers saw, in order; health checks are left out.
    answered
        Responses that callers received, in order.
    server_ends
        Ends of server processes, in order.
    """

    def __init__(self, record: records.Record) -> None:
        self.sent = {event.request_id: event for event in record.select(events.CallerSent)}
        self.arrived = _group(
            [event for event in record.select(events.RequestArrived) if not event.is_health_check]
        )
        self.began = _group(record.select(events.RequestBegan))
        self.ended = _group(record.select(events.RequestEnded))
        self.refused = _group(record.select(events.RequestRefused))
        self.answered = _group(record.select(events.CallerAnswered))
        self.server_ends = record.select(events.ServerEnded)

    def is_idempotent(self, request_id: str) -> bool:
        """Return whether a request may run more than once; unknown requests count as such."""
        sent = self.sent.get(request_id)
        return sent is None or sent.is_idempotent

    def find_run(self, arrival: events.RequestArrived) -> events.RequestBegan | None:
        """Return the run of a request at the server that it reached; `None` if it did not run."""
        for began in self.began.get(arrival.request_id, ()):
            if began.server == arrival.server and began.incarnation == arrival.incarnation:
                return began
        return None

    def find_run_end(
        self, began: events.RequestBegan
    ) -> events.RequestEnded | events.ServerEnded | None:
        """Return the event with which a run ended; `None` if it still ran at the end."""
        same_run = [
            event
            for event in (*self.ended.get(began.request_id, ()), *self.server_ends)
            if event.server == began.server
            and event.incarnation == began.incarnation
            and event.at_s >= began.at_s
        ]
        return min(same_run, key=operator.attrgetter("at_s"), default=None)

    def was_misdirected(self, arrival: events.RequestArrived) -> bool:
        """Return whether the server rejected a request because it was meant for another."""
        return any(
            refusal.status == MISDIRECTED
            and refusal.server == arrival.server
            and refusal.incarnation == arrival.incarnation
            for refusal in self.refused.get(arrival.request_id, ())
        )


def _group(selected: list[SomeRequestEvent]) -> dict[str, list[SomeRequestEvent]]:
    grouped: dict[str, list[SomeRequestEvent]] = collections.defaultdict(list)
    for event in selected:
        grouped[event.request_id].append(event)
    return dict(grouped)
