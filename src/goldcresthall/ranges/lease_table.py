"""The lessor's table of range leases, shared by the lessor task and the renewal tasks."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import grant_outcomes
from goldcresthall.ranges import grants
from goldcresthall.ranges import owners
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import transitions

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """A consistent copy of all leases, by lease ID."""

    leases: dict[int, range_leases.RangeLease]


class LeaseTable:
    """Leases by ID and by owner; one lock guards every change.

    Each owner has a condition of its own, so that a change wakes only the renewal task that it
    concerns, and each change costs the same however many leases there are.

    Parameters
    ----------
    lease_s
        Lease duration in seconds.
    term
        Position in the store of the record with which the lessor took over.
    """

    def __init__(self, lease_s: float, term: int) -> None:
        self._lease_s = lease_s
        self._term = term
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._owner_changed: dict[deployment.ServerIncarnation, threading.Condition] = {}
        self._leases: dict[int, range_leases.RangeLease] = {}
        self._ids_by_owner: dict[deployment.ServerIncarnation, set[int]] = {}
        self._visible_owners: dict[int, key_ranges.RangeOwner] = {}
        self._view = owners.OwnersView(term, 0, ())
        self._in_flight = 0
        self._next_id = 1
        self._revision = 0
        self._published_revision = 0
        self._is_closed = False
        self._authority_ends_at_s = 0.0

    @property
    def lease_s(self) -> float:
        """Lease duration in seconds."""
        return self._lease_s

    @property
    def term(self) -> int:
        """Position in the store of the record with which the lessor took over."""
        return self._term

    def extend_authority(self, ends_at_s: float) -> None:
        """Allow grants until the clock reads `ends_at_s`; never shortens the authority."""
        with self._lock:
            self._authority_ends_at_s = max(self._authority_ends_at_s, ends_at_s)

    def close(self, timeout_s: float) -> bool:
        """Issue no further grants; return whether none is in flight after `timeout_s` seconds."""
        with self._lock:
            self._is_closed = True
            for owner_changed in self._owner_changed.values():
                owner_changed.notify_all()
            return self._changed.wait_for(lambda: not self._in_flight, timeout_s)

    def snapshot(self) -> LeaseSnapshot:
        """Return a copy of all leases."""
        with self._lock:
            return LeaseSnapshot(dict(self._leases))

    def create_view(self) -> owners.OwnersView:
        """Return the owners that instances use to route requests."""
        with self._lock:
            if self._view.revision != self._revision:
                visible = tuple(self._visible_owners.values())
                self._view = owners.OwnersView(self._term, self._revision, visible)
            return self._view

    def wait_for_change(self, revision: int, timeout_s: float) -> None:
        """Wait up to `timeout_s` seconds until the view's revision differs from `revision`."""
        with self._lock:
            self._changed.wait_for(lambda: self._revision != revision, timeout_s)

    @property
    def revision(self) -> int:
        """Number of changes of the owners that instances see."""
        return self._revision

    def record_publication(self, revision: int) -> None:
        """Record that instances can learn of the owners at a revision."""
        with self._lock:
            if revision > self._published_revision:
                self._published_revision = revision
                self._changed.notify_all()

    def wait_for_publication(self, revision: int, timeout_s: float) -> None:
        """Wait up to `timeout_s` seconds until a revision of the owners is published."""
        with self._lock:
            self._changed.wait_for(lambda: self._published_revision >= revision, timeout_s)

    def add(self, added: range_leases.RangeLease) -> int:
        """Add a lease and return its ID."""
        with self._lock:
            lease_id = self._allocate_id()
            self._apply({lease_id: added})
            return lease_id

    def update(
        self,
        lease_id: int,
        change: Callable[[range_leases.RangeLease], range_leases.RangeLease | None],
    ) -> bool:
        """Apply `change` to a lease and return whether it changed.

        A `change` that returns `None` leaves the lease as it is.
        """
        with self._lock:
            lease = self._leases.get(lease_id)
            changed = change(lease) if lease is not None else None
            if changed is None or changed == lease:
                return False
            self._apply({lease_id: changed})
            return True

    def split(self, service: str, part: key_ranges.KeyRange) -> int | None:
        """Split a lease so that `part` has a lease of its own, and return its ID.

        Returns `None` if no lease covers all of `part`, a grant for it is in flight, or it is being
        released or running out: the end of a release is recorded under the lease's ID, and the
        parts would have no owner until the end of the term.
        """
        with self._lock:
            lease_id = self._find_covering(service, part)
            if lease_id is None:
                return None
            whole = self._leases[lease_id]
            if whole.keys == part:
                return lease_id
            pieces = {
                self._allocate_id(): dataclasses.replace(whole, keys=piece)
                for piece in _split(whole.keys, part)
            }
            self._apply({lease_id: None, **pieces})
            return next(piece_id for piece_id, piece in pieces.items() if piece.keys == part)

    def join(self, first_id: int, second_id: int) -> bool:
        """Replace two leases on neighbouring ranges by one; return whether that was possible."""
        with self._lock:
            first = self._leases.get(first_id)
            second = self._leases.get(second_id)
            if first is None or second is None:
                return False
            joined = transitions.join(first, second)
            if joined is None:
                return False
            self._apply({first_id: None, second_id: None, self._allocate_id(): joined})
            return True

    def take_due_grant(
        self, owner: deployment.ServerIncarnation, now_s: float, timeout_s: float
    ) -> grants.GrantCommand | None:
        """Return a grant that is due for a server and mark it as in flight.

        Without one, waits up to `timeout_s` seconds for a change and returns `None`.
        """
        with self._lock:
            command = self._find_due_grant(owner, now_s)
            if command is None and not self._is_closed:
                wait_s = min(timeout_s, self._find_wait_s(owner, now_s, timeout_s))
                self._find_condition(owner).wait(wait_s)
            return command

    def complete_grant(
        self, command: grants.GrantCommand, outcome: grants.CommandOutcome, now_s: float
    ) -> None:
        """Record a grant's outcome; one under an earlier token tells only of its arrival."""
        with self._lock:
            lease = self._leases.get(command.lease_id)
            if lease is None:
                return
            lease = dataclasses.replace(lease, in_flight=False)
            if lease.fence != command.fence:
                lease = dataclasses.replace(lease, latest_arrival_at_s=now_s)
            elif command.needs_proof:
                lease = grant_outcomes.apply_proof_outcome(outcome, lease, now_s)
            else:
                lease = grant_outcomes.apply_outcome(outcome, lease, now_s)
            self._apply({command.lease_id: lease})
            if not self._in_flight:
                self._changed.notify_all()

    def _find_due_grant(
        self, owner: deployment.ServerIncarnation, now_s: float
    ) -> grants.GrantCommand | None:
        if self._is_closed or now_s >= self._authority_ends_at_s:
            return None
        for lease_id in self._ids_by_owner.get(owner, ()):
            lease = self._leases[lease_id]
            is_due = (
                lease.due_at_s <= now_s and not lease.in_flight and not lease.needs_higher_fence
            )
            if lease.is_granted and is_due:
                self._store(lease_id, dataclasses.replace(lease, in_flight=True))
                return grants.GrantCommand(
                    lease_id=lease_id,
                    keys=lease.keys,
                    fence=lease.fence,
                    lease_s=self._lease_s,
                    handover=lease.handover,
                    needs_proof=lease.awaits_proof,
                    send_by_s=self._authority_ends_at_s,
                )
        return None

    def _find_wait_s(
        self, owner: deployment.ServerIncarnation, now_s: float, timeout_s: float
    ) -> float:
        if now_s >= self._authority_ends_at_s:
            return timeout_s
        owned = (self._leases[lease_id] for lease_id in self._ids_by_owner.get(owner, ()))
        due = [
            lease.due_at_s - now_s
            for lease in owned
            if lease.is_granted and not lease.in_flight and not lease.needs_higher_fence
        ]
        return max(0.01, min(due, default=timeout_s))

    def _find_condition(self, owner: deployment.ServerIncarnation) -> threading.Condition:
        condition = self._owner_changed.get(owner)
        if condition is None:
            condition = self._owner_changed[owner] = threading.Condition(self._lock)
        return condition

    def _find_covering(self, service: str, part: key_ranges.KeyRange) -> int | None:
        for lease_id, lease in self._leases.items():
            covers_part = lease.keys.first <= part.first and part.last <= lease.keys.last
            if lease.service == service and covers_part and lease.is_divisible:
                return lease_id
        return None

    def _allocate_id(self) -> int:
        self._next_id += 1
        return self._next_id

    def _apply(self, changes: dict[int, range_leases.RangeLease | None]) -> None:
        """Replace leases, `None` for one that is removed, and wake those whom it concerns.

        The revision grows if the owners visible to instances changed.
        """
        concerned: set[deployment.ServerIncarnation | None] = set()
        is_visible = False
        for lease_id, changed in changes.items():
            previous = self._leases.get(lease_id)
            concerned.update(lease.owner for lease in (previous, changed) if lease is not None)
            self._store(lease_id, changed)
            is_visible |= self._show(lease_id, changed)
        for owner in concerned:
            owner_changed = self._owner_changed.get(owner) if owner is not None else None
            if owner_changed is not None:
                owner_changed.notify_all()
        if is_visible:
            self._revision += 1
            self._changed.notify_all()

    def _store(self, lease_id: int, changed: range_leases.RangeLease | None) -> None:
        previous = self._leases.pop(lease_id, None)
        if previous is not None:
            self._in_flight -= previous.in_flight
            if previous.owner is not None:
                self._remove_id(previous.owner, lease_id)
        if changed is not None:
            self._leases[lease_id] = changed
            self._in_flight += changed.in_flight
            if changed.owner is not None:
                self._ids_by_owner.setdefault(changed.owner, set()).add(lease_id)

    def _remove_id(self, owner: deployment.ServerIncarnation, lease_id: int) -> None:
        owned = self._ids_by_owner[owner]
        owned.discard(lease_id)
        if not owned:
            del self._ids_by_owner[owner]

    def _show(self, lease_id: int, changed: range_leases.RangeLease | None) -> bool:
        """Update the owner that instances see for a lease; return whether it changed."""
        shown = None
        if changed is not None and changed.owner is not None:
            shown = key_ranges.RangeOwner(
                changed.service, changed.keys, changed.owner, changed.ready
            )
        if shown == self._visible_owners.get(lease_id):
            return False
        if shown is None:
            del self._visible_owners[lease_id]
        else:
            self._visible_owners[lease_id] = shown
        return True


def _split(
    whole: key_ranges.KeyRange, part: key_ranges.KeyRange
) -> tuple[key_ranges.KeyRange, ...]:
    pieces = [part]
    if whole.first < part.first:
        pieces.insert(0, key_ranges.KeyRange(whole.first, part.first - 1))
    if part.last < whole.last:
        pieces.append(key_ranges.KeyRange(part.last + 1, whole.last))
    return tuple(pieces)
