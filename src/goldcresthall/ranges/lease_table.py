"""The lessor's book of holdings, shared by its own task and the keepers' tasks."""

from __future__ import annotations

import dataclasses
import functools
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import grants
from goldcresthall.ranges import owners
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    from collections.abc import Callable

RENEW_S = 1.0
RETRY_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """All holdings at a moment, by number."""

    leases: dict[int, range_leases.RangeLease]


class LeaseTable:
    """Holdings by number; every change is made here, under one lock.

    Parameters
    ----------
    hold_s
        Seconds for which keys are granted.
    term
        Offset of the record by which the lessor took over.
    """

    def __init__(self, lease_s: float, term: int) -> None:
        self._lease_s = lease_s
        self._term = term
        self._changed = threading.Condition()
        self._leases: dict[int, range_leases.RangeLease] = {}
        self._next_id = 1
        self._revision = 0
        self._shown: tuple[key_ranges.RangeOwner, ...] = ()
        self._is_closed = False
        self._authority_ends_at_s = 0.0

    @property
    def lease_s(self) -> float:
        """Seconds for which keys are granted."""
        return self._lease_s

    @property
    def term(self) -> int:
        """Offset of the record by which the lessor took over."""
        return self._term

    def extend_authority(self, ends_at_s: float) -> None:
        """Allow grants until a reading of the clock."""
        with self._changed:
            self._authority_ends_at_s = max(self._authority_ends_at_s, ends_at_s)
            self._changed.notify_all()

    def close(self, timeout_s: float) -> bool:
        """Hand out no further orders; return whether none is on its way any more."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
            return self._changed.wait_for(
                lambda: not any(item.in_flight for item in self._leases.values()), timeout_s
            )

    def snapshot(self) -> LeaseSnapshot:
        """Return all holdings."""
        with self._changed:
            return LeaseSnapshot(dict(self._leases))

    def create_view(self) -> owners.OwnersView:
        """Return the owners for those who send requests."""
        with self._changed:
            return owners.OwnersView(self._term, self._revision, self._shown)

    def wait_for_change(self, revision: int, timeout_s: float) -> None:
        """Wait until the revision differs, up to `timeout_s` seconds."""
        with self._changed:
            self._changed.wait_for(lambda: self._revision != revision, timeout_s)

    def add(self, added: range_leases.RangeLease) -> int:
        """Add a holding and return its number."""
        with self._changed:
            lease_id = self._take_id()
            self._leases[lease_id] = added
            self._note_change()
            return lease_id

    def update(
        self,
        lease_id: int,
        change: Callable[[range_leases.RangeLease], range_leases.RangeLease | None],
    ) -> bool:
        """Replace a holding by what `change` makes of it; none leaves it as it is."""
        with self._changed:
            present = self._leases.get(lease_id)
            changed = change(present) if present is not None else None
            if changed is None or changed == present:
                return False
            self._leases[lease_id] = changed
            self._note_change()
            return True

    def split(self, service: str, part: key_ranges.KeyRange) -> int | None:
        """Make a part of a holding one of its own and return its number.

        None is returned if no holding has all of the part, or a grant is on its way.
        """
        with self._changed:
            lease_id = self._find_whole(service, part)
            if lease_id is None:
                return None
            whole = self._leases[lease_id]
            if whole.keys == part:
                return lease_id
            del self._leases[lease_id]
            part_id = None
            for piece in _cut(whole.keys, part):
                piece_id = self._take_id()
                self._leases[piece_id] = dataclasses.replace(whole, keys=piece)
                part_id = piece_id if piece == part else part_id
            self._note_change()
            return part_id

    def take_due_grant(
        self, owner: deployment.ServerIncarnation, now_s: float, timeout_s: float
    ) -> grants.GrantCommand | None:
        """Return a grant that is due at a server; wait up to `timeout_s` seconds for one."""
        with self._changed:
            command = self._find_due(owner, now_s)
            if command is None and not self._is_closed:
                self._changed.wait(min(timeout_s, self._find_pause_s(owner, now_s, timeout_s)))
            return command

    def complete_grant(
        self, command: grants.GrantCommand, outcome: grants.CommandOutcome, now_s: float
    ) -> None:
        """Note what came of a grant."""
        with self._changed:
            present = self._leases.get(command.lease_id)
            if present is None:
                return
            present = dataclasses.replace(present, in_flight=False)
            if present.fence == command.fence:
                present = _complete_grant(outcome, present, now_s)
            self._leases[command.lease_id] = present
            self._note_change()

    def _find_due(
        self, owner: deployment.ServerIncarnation, now_s: float
    ) -> grants.GrantCommand | None:
        if self._is_closed or now_s >= self._authority_ends_at_s:
            return None
        for lease_id, item in self._leases.items():
            is_due = item.due_at_s <= now_s and not item.in_flight and not item.needs_higher_fence
            if item.owner == owner and item.is_granted and is_due:
                self._leases[lease_id] = dataclasses.replace(item, in_flight=True)
                return grants.GrantCommand(
                    lease_id=lease_id,
                    keys=item.keys,
                    fence=item.fence,
                    lease_s=self._lease_s,
                    handover=item.handover,
                )
        return None

    def _find_pause_s(
        self, owner: deployment.ServerIncarnation, now_s: float, longest_s: float
    ) -> float:
        due = [
            item.due_at_s - now_s
            for item in self._leases.values()
            if item.owner == owner and item.is_granted and not item.in_flight
        ]
        return max(0.01, min(due, default=longest_s))

    def _find_whole(self, service: str, part: key_ranges.KeyRange) -> int | None:
        for lease_id, item in self._leases.items():
            has_all = item.keys.first <= part.first and part.last <= item.keys.last
            if item.service == service and has_all and not item.in_flight:
                return lease_id
        return None

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id

    def _note_change(self) -> None:
        """Count a new revision if what the instances see has changed."""
        shown = self._list_owners()
        if shown != self._shown:
            self._shown = shown
            self._revision += 1
        self._changed.notify_all()

    def _list_owners(self) -> tuple[key_ranges.RangeOwner, ...]:
        return tuple(
            key_ranges.RangeOwner(item.service, item.keys, item.owner, item.ready)
            for item in self._leases.values()
            if item.owner is not None
        )


def _cut(whole: key_ranges.KeyRange, part: key_ranges.KeyRange) -> tuple[key_ranges.KeyRange, ...]:
    pieces = [part]
    if whole.first < part.first:
        pieces.insert(0, key_ranges.KeyRange(whole.first, part.first - 1))
    if part.last < whole.last:
        pieces.append(key_ranges.KeyRange(part.last + 1, whole.last))
    return tuple(pieces)


@functools.singledispatch
def _complete_grant(
    outcome: grants.CommandOutcome, present: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    raise NotImplementedError(type(outcome).__name__)


@_complete_grant.register
def _(
    outcome: grants.Granted, present: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    is_granting = present.phase is range_leases.LeasePhase.GRANTING
    return dataclasses.replace(
        present,
        phase=range_leases.LeasePhase.HELD if is_granting else present.phase,
        ready=present.ready or is_granting,
        latest_arrival_at_s=now_s,
        due_at_s=now_s + RENEW_S,
        failing_since_s=None,
        handover="",
    )


@_complete_grant.register
def _(
    outcome: grants.StaleFence, present: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning(
        "grant of %s refused by %s: fence %d is too low", present.keys, present.owner, present.fence
    )
    return dataclasses.replace(present, needs_higher_fence=True)


@_complete_grant.register
def _(
    outcome: grants.CommandUnanswered, present: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.info("grant of %s at %s unanswered: %s", present.keys, present.owner, outcome.detail)
    failing = dataclasses.replace(present, unanswered=True, latest_arrival_at_s=now_s)
    return _note_failure(failing, now_s)


@_complete_grant.register
def _(
    outcome: grants.CommandNotSent, present: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    return _note_failure(present, now_s)


@_complete_grant.register
def _(
    outcome: grants.CommandRejected, present: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning("grant of %s rejected by %s: %s", present.keys, present.owner, outcome.detail)
    return _note_failure(present, now_s)


def _note_failure(present: range_leases.RangeLease, now_s: float) -> range_leases.RangeLease:
    since_s = now_s if present.failing_since_s is None else present.failing_since_s
    return dataclasses.replace(present, due_at_s=now_s + RETRY_S, failing_since_s=since_s)
