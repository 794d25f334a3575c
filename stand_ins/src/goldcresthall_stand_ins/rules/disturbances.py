"""Spans of disturbances, and which instances were undisturbed when."""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

from goldcresthall_stand_ins.rules import events
from goldcresthall_stand_ins.rules import record as records

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Set

Kind = events.DisturbanceKind

LINK_KINDS = frozenset({Kind.LINK_CUT, Kind.LINK_HARMED})
PROCESS_KINDS = frozenset(
    {Kind.KILLED, Kind.STARTED, Kind.TERMINATED, Kind.FROZEN, Kind.SLOWED, Kind.CONNECTIONS_RESET}
)
RESTART_KINDS = frozenset({Kind.KILLED, Kind.STARTED})


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A disturbance from its begin to its end; infinite if the record has no end."""

    began: events.DisturbanceBegan
    ended_at_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Return whether the disturbance was on at any time between two times, inclusive."""
        return self.began.at_s <= until_s and self.ended_at_s >= from_s


class DisturbanceLog:
    """Answers questions about the disturbances of a record."""

    def __init__(self, record: records.Record) -> None:
        self._window_s = record.bounds.stable_window_s
        self._began: dict[int, events.DisturbanceBegan] = {}
        self._ended_at_s: dict[int, float] = {}
        for event in record.events:
            _collect(event, self._began, self._ended_at_s)

    @functools.cached_property
    def spans(self) -> tuple[Span, ...]:
        """All disturbances, in the order of their beginnings."""
        return tuple(
            Span(began, self._ended_at_s.get(number, math.inf))
            for number, began in self._began.items()
        )

    def is_store_stable(self, at_s: float) -> bool:
        """Return whether the store was unimpaired for the whole stable window before a time."""
        return not any(
            span.began.kind is Kind.STORE_IMPAIRED and span.overlaps(at_s - self._window_s, at_s)
            for span in self.spans
        )

    def is_in_touch(self, instance: str, at_s: float) -> bool:
        """Return whether an instance and the store were undisturbed for the stable window."""
        return self.is_store_stable(at_s) and not any(
            _separates(span.began, instance) and span.overlaps(at_s - self._window_s, at_s)
            for span in self.spans
        )

    def was_link_disturbed(self, instance: str, peer: str, at_s: float) -> bool:
        """Return whether the link of an instance and a peer was disturbed in the last window."""
        from_s = at_s - self._window_s
        return any(
            span.began.peer in {peer, ""} for span in self._find(LINK_KINDS, instance, from_s, at_s)
        )

    def was_link_cut(self, instance: str, peer: str, from_s: float, until_s: float) -> bool:
        """Return whether the link of an instance and a peer was cut between two times."""
        return any(
            span.began.peer in {peer, ""}
            for span in self._find({Kind.LINK_CUT}, instance, from_s, until_s)
        )

    def was_cut(self, instance: str, from_s: float, until_s: float) -> bool:
        """Return whether any link of an instance was cut at any time between two times."""
        return any(self._find({Kind.LINK_CUT}, instance, from_s, until_s))

    def was_restarted(self, instance: str, from_s: float, until_s: float) -> bool:
        """Return whether an instance restarted at any time between two times."""
        return any(self._find(RESTART_KINDS, instance, from_s, until_s))

    def was_restarted_or_frozen(self, instance: str, from_s: float, until_s: float) -> bool:
        """Return whether an instance restarted or froze at any time between two times."""
        return any(self._find(RESTART_KINDS | {Kind.FROZEN}, instance, from_s, until_s))

    def was_slowed(self, instance: str, from_s: float, until_s: float) -> bool:
        """Return whether an instance was slowed at any time between two times."""
        return any(self._find({Kind.SLOWED}, instance, from_s, until_s))

    def _find(
        self, kinds: Set[events.DisturbanceKind], instance: str, from_s: float, until_s: float
    ) -> Iterator[Span]:
        """Return the disturbances of an instance, or of all, between two times."""
        for span in self.spans:
            is_affected = span.began.instance in {instance, ""}
            if span.began.kind in kinds and is_affected and span.overlaps(from_s, until_s):
                yield span

    def may_be_late(self, grant: events.GrantTaken, thaw_s: float) -> bool:
        """Return whether a grant arrived just after its sender or a link has recovered."""
        return any(
            _recovers_way(span.began, grant)
            and span.ended_at_s <= grant.arrived_at_s <= span.ended_at_s + thaw_s
            for span in self.spans
        )


@functools.singledispatch
def _collect(
    event: events.Event,
    began: dict[int, events.DisturbanceBegan],
    ended_at_s: dict[int, float],
) -> None:
    """Add what an event says of disturbances; most say nothing."""


@_collect.register
def _collect_begin(
    event: events.DisturbanceBegan,
    began: dict[int, events.DisturbanceBegan],
    ended_at_s: dict[int, float],
) -> None:
    began[event.number] = event


@_collect.register
def _collect_end(
    event: events.DisturbanceEnded,
    began: dict[int, events.DisturbanceBegan],
    ended_at_s: dict[int, float],
) -> None:
    ended_at_s[event.number] = event.at_s


def _separates(began: events.DisturbanceBegan, instance: str) -> bool:
    """Return whether an instance is out of touch during a disturbance."""
    if began.instance not in {instance, ""}:
        return False
    if began.kind is Kind.LINK_CUT:
        return began.peer in {events.STORE, ""}
    return began.kind in PROCESS_KINDS or began.kind is Kind.LINK_HARMED


def _recovers_way(began: events.DisturbanceBegan, grant: events.GrantTaken) -> bool:
    """Return whether the end of a disturbance can set a delayed grant free."""
    if began.kind is Kind.FROZEN:
        return grant.sender in {began.instance, ""}
    if began.kind in LINK_KINDS:
        is_senders_link = "" in {grant.sender, began.instance} or began.instance == grant.sender
        return is_senders_link or began.peer == grant.server
    return False
