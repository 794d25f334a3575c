"""Server side of the lease protocol."""

from __future__ import annotations

import collections
import threading
import time
import uuid
from typing import TYPE_CHECKING

from goldcresthall.core import leases

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1_000


class LeaseHolder:
    """Holds one server's lease and grants, and fences off superseded lessors.

    Requests that run under a grant which a newer grant table withdraws may finish
    while the lease is valid, but no new ones may begin under it. Once the lease
    expires, the running ones may not take effect either.

    Parameters
    ----------
    read_s
        Monotonic clock, in seconds.
    """

    def __init__(self, read_s: Callable[[], float] = time.monotonic) -> None:
        self._read_s = read_s
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._lessor_epoch = -1
        self._expires_at_s = float("-inf")
        self._table = leases.GrantTable(-1, ())
        self._granted: frozenset[leases.Grant] = frozenset()
        self._running: collections.Counter[leases.Grant] = collections.Counter()
        self._finishing: frozenset[leases.Grant] = frozenset()

    def report(self) -> leases.LeaseReport:
        """Return the state of the lease, with a new stamp."""
        with self._lock:
            return self._report(leases.RenewalStatus.REPORTED)

    def renew(self, renewal: leases.Renewal) -> leases.LeaseReport:
        """Install the grant table, if any, and extend the lease from the echoed stamp.

        Neither happens if the sender is a superseded lessor, if the stamp is that of another
        server incarnation, or if the grant table is older than the installed one.
        """
        with self._lock:
            return self._report(self._apply(renewal))

    def begin(self, grant: leases.Grant) -> bool:
        """Record that a request begins under a grant; return whether it may."""
        with self._lock:
            if grant not in self._granted or not self._is_lease_valid():
                return False
            self._running[grant] += 1
            return True

    def end(self, grant: leases.Grant) -> None:
        """Record that a request under a grant has ended."""
        with self._lock:
            self._running[grant] -= 1

    def holds(self, grant: leases.Grant) -> bool:
        """Return whether a request that began under a grant may take effect now."""
        with self._lock:
            is_held = grant in self._granted or grant in self._finishing
            return is_held and self._is_lease_valid()

    def _is_lease_valid(self) -> bool:
        return self._read_s() < self._expires_at_s

    def _report(self, status: leases.RenewalStatus) -> leases.LeaseReport:
        now_s = self._read_s()
        return leases.LeaseReport(
            status=status,
            stamp=leases.ServerStamp(self._incarnation, now_s),
            lessor_epoch=self._lessor_epoch,
            remaining_ms=max(0.0, (self._expires_at_s - now_s) * MS_PER_S),
            grants_offset=self._table.offset,
            grants_revision=self._table.revision,
            finishing=sum(self._running[grant] for grant in self._finishing),
        )

    def _apply(self, renewal: leases.Renewal) -> leases.RenewalStatus:
        if renewal.lessor_epoch < self._lessor_epoch:
            return leases.RenewalStatus.FENCED
        self._lessor_epoch = renewal.lessor_epoch
        if renewal.stamp.incarnation != self._incarnation:
            return leases.RenewalStatus.STAMP_REFUSED
        if renewal.table is not None and renewal.table.version < self._table.version:
            return leases.RenewalStatus.GRANTS_REFUSED
        if not self._is_lease_valid():
            self._finishing = frozenset()
        if renewal.table is not None:
            self._install_table(renewal.table)
        expires_at_s = renewal.stamp.reading_s + renewal.duration_ms / MS_PER_S
        self._expires_at_s = max(self._expires_at_s, expires_at_s)
        return leases.RenewalStatus.RENEWED

    def _install_table(self, table: leases.GrantTable) -> None:
        granted = frozenset(table.grants)
        if self._is_lease_valid():
            withdrawn = (self._granted | self._finishing) - granted
            self._finishing = frozenset(grant for grant in withdrawn if self._running[grant] > 0)
        self._table = table
        self._granted = granted
