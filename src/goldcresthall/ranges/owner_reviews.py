"""Review of the owners: takes ranges from those that restarted, drain, left or do not respond."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.ranges import range_leases
from goldcresthall.ranges import transitions

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import server_lists
    from goldcresthall.ranges import cold_owners
    from goldcresthall.ranges import lease_renewal
    from goldcresthall.ranges import lease_table
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import range_releases
    from goldcresthall.ranges import server_backoff


class OwnerReviewer:
    """Decides from the directory's entries which ranges need another owner.

    A range is free at once only if its owner released it, or a later server has its address, and
    no earlier lessor may renew leases. In all other cases the owner's lease runs out first, or its
    next incarnation gets the range.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    leases
        Leases of the term.
    renewers
        Renewal tasks, which know the last address of each owner.
    releases
        Releases by owners that drain or left the list.
    backoff
        Servers that should get no range for some time.
    cold_owners
        Plans which ranges leave cold owners.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        leases: lease_table.LeaseTable,
        renewers: lease_renewal.LeaseRenewers,
        *,
        releases: range_releases.RangeReleases,
        backoff: server_backoff.ServerBackoff,
        cold_owners: cold_owners.ColdOwners,
    ) -> None:
        self._context = context
        self._leases = leases
        self._renewers = renewers
        self._releases = releases
        self._backoff = backoff
        self._cold_owners = cold_owners

    def review(
        self, service: str, now_s: float, predecessors_end_s: float, *, may_split: bool
    ) -> None:
        """Take ranges from restarted, leaving, cold and unresponsive owners."""
        self._review_owners(service, now_s, predecessors_end_s)
        if self._releases.may_begin:
            self._release_cold(service, now_s, may_split=may_split)

    def _release_cold(self, service: str, now_s: float, *, may_split: bool) -> None:
        leases = tuple(
            lease
            for lease in self._leases.snapshot().leases.values()
            if lease.service == service and lease.is_granted and lease.target is None
        )
        for leaving in self._cold_owners.list_leaving(service, leases, now_s, may_split=may_split):
            if not any(leaving.is_part_of(lease) for lease in leases):
                continue
            lease_id = self._leases.split(service, leaving.keys)
            if lease_id is not None:
                lease = self._leases.snapshot().leases[lease_id]
                self._releases.start(lease_id, lease, None, is_optional=True)

    def _review_owners(self, service: str, now_s: float, predecessors_end_s: float) -> None:
        for lease_id, lease in self._leases.snapshot().leases.items():
            if lease.service == service and lease.owner is not None:
                if lease.phase is range_leases.LeasePhase.EXPIRING:
                    self._free_expired(lease_id, lease, now_s, predecessors_end_s)
                else:
                    self._review_owner(lease_id, lease, lease.owner, now_s, predecessors_end_s)

    def _free_expired(
        self, lease_id: int, lease: range_leases.RangeLease, now_s: float, predecessors_end_s: float
    ) -> None:
        restarted = None if lease.owner is None else self._find_restarted(lease.owner)
        if restarted is not None and self._may_hold_again(restarted, lease):
            self._follow_restart(lease_id, lease, restarted.server.incarnation)
        elif now_s >= predecessors_end_s and self._is_replaced(lease):
            self._free_replaced(lease_id, lease, now_s)
        elif now_s >= lease.find_expiry_s(self._leases.lease_s, predecessors_end_s):
            self._free(lease_id, lease, "the lease expired")

    def _review_owner(
        self,
        lease_id: int,
        lease: range_leases.RangeLease,
        owner: deployment.ServerIncarnation,
        now_s: float,
        predecessors_end_s: float,
    ) -> None:
        latest = self._context.directory.servers.by_name.get(owner.name)
        restarted = self._find_restarted(owner)
        if restarted is not None:
            self._review_restarted(lease_id, lease, restarted)
        elif now_s >= predecessors_end_s and self._is_replaced(lease):
            self._free_replaced(lease_id, lease, now_s)
        elif transitions.is_failing(lease, now_s) or self._has_no_address(owner, latest):
            self._expire(lease_id, lease, owner)
        elif latest is None or not self._may_own(latest):
            self._releases.start(lease_id, lease, None)
        elif lease.target is not None and not self._may_hold(lease.target):
            self._leases.update(lease_id, transitions.cancel_move)
        elif lease.target is not None:
            self._releases.start(lease_id, lease, lease.target)
        elif lease.unanswered and lease.failing_since_s is None:
            self._leases.update(lease_id, transitions.demand_fence)

    def review_target(self, lease_id: int, target: deployment.ServerIncarnation) -> None:
        """Take the target from a free range if it left, drains or is evacuated since its choice."""
        if not self._may_hold(target):
            self._leases.update(lease_id, transitions.drop_target)

    def _may_hold(self, target: deployment.ServerIncarnation) -> bool:
        """Return whether the target of a move is still registered and may own ranges."""
        entry = self._context.directory.servers.find(target)
        return entry is not None and self._may_own(entry)

    def _may_own(self, entry: server_lists.DirectoryEntry) -> bool:
        """Return whether a server neither drains nor is in an evacuated failure domain."""
        return entry.draining_since_s is None and not self._context.directory.is_evacuated(
            entry.server.failure_domain
        )

    def _find_restarted(
        self, owner: deployment.ServerIncarnation
    ) -> server_lists.DirectoryEntry | None:
        """Return the entry of a later incarnation of an owner, or `None` if none is known."""
        latest = self._context.directory.servers.by_name.get(owner.name)
        if latest is None or latest.server.incarnation.started_ms <= owner.started_ms:
            return None
        return latest

    def _review_restarted(
        self,
        lease_id: int,
        lease: range_leases.RangeLease,
        restarted: server_lists.DirectoryEntry,
    ) -> None:
        """Leave a range with the next incarnation of its owner, or let its lease expire.

        The next incarnation may hold the range by a renewal that was sent to the earlier one.
        """
        if self._may_hold_again(restarted, lease):
            self._follow_restart(lease_id, lease, restarted.server.incarnation)
        elif lease.owner is not None:
            self._expire(lease_id, lease, lease.owner)

    @staticmethod
    def _may_hold_again(
        restarted: server_lists.DirectoryEntry, lease: range_leases.RangeLease
    ) -> bool:
        return restarted.server.service == lease.service and restarted.draining_since_s is None

    def _follow_restart(
        self,
        lease_id: int,
        lease: range_leases.RangeLease,
        restarted: deployment.ServerIncarnation,
    ) -> None:
        if self._leases.update(lease_id, functools.partial(transitions.follow_restart, restarted)):
            logging.info(
                "range %s of service %s stays with %s, which was %s before its restart",
                lease.keys,
                lease.service,
                restarted,
                lease.owner,
            )

    def _free_replaced(self, lease_id: int, lease: range_leases.RangeLease, now_s: float) -> None:
        if lease.owner is not None:
            # Its entry may still be listed, and must not get the range again.
            self._backoff.record_failure(lease.owner, now_s)
        self._free(lease_id, lease, f"another server has the address of {lease.owner}")

    def _is_replaced(self, lease: range_leases.RangeLease) -> bool:
        """Return whether a server of another service has taken over the owner's address.

        The platform reuses an address only after its server has ended, so that the owner holds
        nothing any more. Its successor there started later and must have said itself that it is
        not the owner: an entry alone may be left from an earlier server.
        """
        if not lease.misdirected or lease.owner is None:
            return False
        known = self._renewers.find_server(lease.owner)
        return known is not None and any(
            entry.server.address == known.address
            and entry.server.service != lease.service
            and entry.server.incarnation.started_ms > lease.owner.started_ms
            for entry in self._context.directory.servers.by_name.values()
        )

    def _has_no_address(
        self, owner: deployment.ServerIncarnation, latest: server_lists.DirectoryEntry | None
    ) -> bool:
        return latest is None and self._renewers.find_server(owner) is None

    def _free(self, lease_id: int, lease: range_leases.RangeLease, reason: str) -> None:
        if self._leases.update(lease_id, transitions.free):
            logging.info(
                "range %s of service %s is free: %s; fencing token %d,"
                " a grant may have arrived %.2f s ago at the latest",
                lease.keys,
                lease.service,
                reason,
                lease.fence,
                self._context.clock.read_s() - lease.latest_arrival_at_s,
            )

    def _expire(
        self, lease_id: int, lease: range_leases.RangeLease, owner: deployment.ServerIncarnation
    ) -> None:
        if not self._leases.update(lease_id, transitions.begin_expiry):
            return
        now_s = self._context.clock.read_s()
        self._backoff.record_failure(owner, now_s)
        logging.info(
            "range %s of service %s: renewals to %s stopped, grants failing for %.2f s",
            lease.keys,
            lease.service,
            owner,
            now_s - (lease.failing_since_s or now_s),
        )
