"""The lessor's table of range leases, shared by the lessor task and the renewal tasks."""

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

RENEW_INTERVAL_S = 1.0
GRANT_RETRY_INTERVAL_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """A consistent copy of all leases, by lease ID."""

    leases: dict[int, range_leases.RangeLease]


class LeaseTable:
    """Leases by ID; one lock guards every change.

    Parameters
    ----------
    lease_s
        Lease duration in seconds.
    term
        Offset of the record with which the lessor took over.
    """

    def __init__(self, lease_s: float, term: int) -> None:
        self._lease_s = lease_s
        self._term = term
        self._changed = threading.Condition()
        self._leases: dict[int, range_leases.RangeLease] = {}
        self._next_id = 1
        self._revision = 0
        self._visible_owners: tuple[key_ranges.RangeOwner, ...] = ()
        self._is_closed = False
        self._authority_ends_at_s = 0.0

    @property
    def lease_s(self) -> float:
        """Lease duration in seconds."""
        return self._lease_s

    @property
    def term(self) -> int:
        """Offset of the record with which the lessor took over."""
        return self._term

    def extend_authority(self, ends_at_s: float) -> None:
        """Allow grants until the clock reads `ends_at_s`; never shortens the authority."""
        with self._changed:
            self._authority_ends_at_s = max(self._authority_ends_at_s, ends_at_s)
            self._changed.notify_all()

    def close(self, timeout_s: float) -> bool:
        """Issue no further grants; return whether none is in flight after `timeout_s` seconds."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
            return self._changed.wait_for(
                lambda: not any(lease.in_flight for lease in self._leases.values()), timeout_s
            )

    def snapshot(self) -> LeaseSnapshot:
        """Return a copy of all leases."""
        with self._changed:
            return LeaseSnapshot(dict(self._leases))

    def create_view(self) -> owners.OwnersView:
        """Return the owners that instances use to route requests."""
        with self._changed:
            return owners.OwnersView(self._term, self._revision, self._visible_owners)

    def wait_for_change(self, revision: int, timeout_s: float) -> None:
        """Wait up to `timeout_s` seconds until the view's revision differs from `revision`."""
        with self._changed:
            self._changed.wait_for(lambda: self._revision != revision, timeout_s)

    def add(self, added: range_leases.RangeLease) -> int:
        """Add a lease and return its ID."""
        with self._changed:
            lease_id = self._allocate_id()
            self._leases[lease_id] = added
            self._publish_change()
            return lease_id

    def update(
        self,
        lease_id: int,
        change: Callable[[range_leases.RangeLease], range_leases.RangeLease | None],
    ) -> bool:
        """Apply `change` to a lease and return whether it changed.

        A `change` that returns `None` leaves the lease as it is.
        """
        with self._changed:
            lease = self._leases.get(lease_id)
            changed = change(lease) if lease is not None else None
            if changed is None or changed == lease:
                return False
            self._leases[lease_id] = changed
            self._publish_change()
            return True

    def split(self, service: str, part: key_ranges.KeyRange) -> int | None:
        """Split a lease so that `part` has a lease of its own, and return its ID.

        Returns `None` if no lease covers all of `part` or a grant for it is in flight.
        """
        with self._changed:
            lease_id = self._find_covering(service, part)
            if lease_id is None:
                return None
            whole = self._leases[lease_id]
            if whole.keys == part:
                return lease_id
            del self._leases[lease_id]
            part_id = None
            for piece in _split(whole.keys, part):
                piece_id = self._allocate_id()
                self._leases[piece_id] = dataclasses.replace(whole, keys=piece)
                part_id = piece_id if piece == part else part_id
            self._publish_change()
            return part_id

    def take_due_grant(
        self, owner: deployment.ServerIncarnation, now_s: float, timeout_s: float
    ) -> grants.GrantCommand | None:
        """Return a grant that is due for a server and mark it as in flight.

        Without one, waits up to `timeout_s` seconds for a change and returns `None`.
        """
        with self._changed:
            command = self._find_due_grant(owner, now_s)
            if command is None and not self._is_closed:
                self._changed.wait(min(timeout_s, self._find_wait_s(owner, now_s, timeout_s)))
            return command

    def complete_grant(
        self, command: grants.GrantCommand, outcome: grants.CommandOutcome, now_s: float
    ) -> None:
        """Record a grant's outcome; one under an earlier token only completes the grant."""
        with self._changed:
            lease = self._leases.get(command.lease_id)
            if lease is None:
                return
            lease = dataclasses.replace(lease, in_flight=False)
            if lease.fence == command.fence:
                lease = _complete_grant(outcome, lease, now_s)
            self._leases[command.lease_id] = lease
            self._publish_change()

    def _find_due_grant(
        self, owner: deployment.ServerIncarnation, now_s: float
    ) -> grants.GrantCommand | None:
        if self._is_closed or now_s >= self._authority_ends_at_s:
            return None
        for lease_id, lease in self._leases.items():
            is_due = (
                lease.due_at_s <= now_s and not lease.in_flight and not lease.needs_higher_fence
            )
            if lease.owner == owner and lease.is_granted and is_due:
                self._leases[lease_id] = dataclasses.replace(lease, in_flight=True)
                return grants.GrantCommand(
                    lease_id=lease_id,
                    keys=lease.keys,
                    fence=lease.fence,
                    lease_s=self._lease_s,
                    handover=lease.handover,
                )
        return None

    def _find_wait_s(
        self, owner: deployment.ServerIncarnation, now_s: float, timeout_s: float
    ) -> float:
        due = [
            lease.due_at_s - now_s
            for lease in self._leases.values()
            if lease.owner == owner and lease.is_granted and not lease.in_flight
        ]
        return max(0.01, min(due, default=timeout_s))

    def _find_covering(self, service: str, part: key_ranges.KeyRange) -> int | None:
        for lease_id, lease in self._leases.items():
            covers_part = lease.keys.first <= part.first and part.last <= lease.keys.last
            if lease.service == service and covers_part and not lease.in_flight:
                return lease_id
        return None

    def _allocate_id(self) -> int:
        self._next_id += 1
        return self._next_id

    def _publish_change(self) -> None:
        """Increment the revision if the owners visible to instances changed; wake waiters."""
        visible = self._list_owners()
        if visible != self._visible_owners:
            self._visible_owners = visible
            self._revision += 1
        self._changed.notify_all()

    def _list_owners(self) -> tuple[key_ranges.RangeOwner, ...]:
        return tuple(
            key_ranges.RangeOwner(lease.service, lease.keys, lease.owner, lease.ready)
            for lease in self._leases.values()
            if lease.owner is not None
        )


def _split(
    whole: key_ranges.KeyRange, part: key_ranges.KeyRange
) -> tuple[key_ranges.KeyRange, ...]:
    pieces = [part]
    if whole.first < part.first:
        pieces.insert(0, key_ranges.KeyRange(whole.first, part.first - 1))
    if part.last < whole.last:
        pieces.append(key_ranges.KeyRange(part.last + 1, whole.last))
    return tuple(pieces)


@functools.singledispatch
def _complete_grant(
    outcome: grants.CommandOutcome, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    raise NotImplementedError(type(outcome).__name__)


@_complete_grant.register
def _(
    outcome: grants.Granted, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    is_granting = lease.phase is range_leases.LeasePhase.GRANTING
    return dataclasses.replace(
        lease,
        phase=range_leases.LeasePhase.HELD if is_granting else lease.phase,
        ready=lease.ready or is_granting,
        latest_arrival_at_s=now_s,
        due_at_s=now_s + RENEW_INTERVAL_S,
        failing_since_s=None,
        rejected=False,
        handover="",
    )


@_complete_grant.register
def _(
    outcome: grants.StaleFence, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning(
        "server rejected grant of %s as stale: %s has seen a fencing token above %d",
        lease.keys,
        lease.owner,
        lease.fence,
    )
    return dataclasses.replace(lease, needs_higher_fence=True)


@_complete_grant.register
def _(
    outcome: grants.CommandUnanswered, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.info("no response to grant of %s from %s: %s", lease.keys, lease.owner, outcome.detail)
    failing = dataclasses.replace(lease, unanswered=True, latest_arrival_at_s=now_s)
    return _record_failure(failing, now_s)


@_complete_grant.register
def _(
    outcome: grants.CommandNotSent, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    return _record_failure(lease, now_s)


@_complete_grant.register
def _(
    outcome: grants.CommandRejected, lease: range_leases.RangeLease, now_s: float
) -> range_leases.RangeLease:
    logging.warning("grant of %s was rejected by %s: %s", lease.keys, lease.owner, outcome.detail)
    return dataclasses.replace(_record_failure(lease, now_s), rejected=True)


def _record_failure(lease: range_leases.RangeLease, now_s: float) -> range_leases.RangeLease:
    since_s = now_s if lease.failing_since_s is None else lease.failing_since_s
    return dataclasses.replace(
        lease, due_at_s=now_s + GRANT_RETRY_INTERVAL_S, failing_since_s=since_s, rejected=False
    )
