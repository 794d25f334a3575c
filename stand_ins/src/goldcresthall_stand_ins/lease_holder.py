"""The server's side of the lease protocol."""

from __future__ import annotations

import threading
import time
import uuid
from typing import TYPE_CHECKING

from goldcresthall.core import leases

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1_000


class LeaseHolder:
    """Holds one server's lease and grants, and is the fence for its lessors."""

    def __init__(self, read_s: Callable[[], float] = time.monotonic) -> None:
        self._read_s = read_s
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._lessor_epoch = -1
        self._expires_at_s = float("-inf")
        self._table = leases.GrantTable(-1, ())
        self._epochs: dict[tuple[str, int], int] = {}

    def report(self, status: leases.RenewalStatus) -> leases.LeaseReport:
        """Return the lease as it stands, with a fresh time stamp."""
        now_s = self._read_s()
        return leases.LeaseReport(
            status=status,
            stamp=leases.ServerStamp(self._incarnation, now_s),
            lessor_epoch=self._lessor_epoch,
            remaining_ms=max(0.0, (self._expires_at_s - now_s) * MS_PER_S),
            grants_offset=self._table.offset,
        )

    def renew(self, renewal: leases.Renewal) -> leases.LeaseReport:
        """Let the lease run on from the echoed stamp, unless the lessor is overtaken."""
        with self._lock:
            return self.report(self._apply(renewal))

    def holds(self, service: str, partition: int, epoch: int) -> bool:
        """Return whether this server may act on a partition at this very moment."""
        with self._lock:
            granted = self._epochs.get((service, partition))
            return granted == epoch and self._read_s() < self._expires_at_s

    def _apply(self, renewal: leases.Renewal) -> leases.RenewalStatus:
        if renewal.lessor_epoch < self._lessor_epoch:
            return leases.RenewalStatus.FENCED
        self._lessor_epoch = renewal.lessor_epoch
        if renewal.stamp.incarnation != self._incarnation:
            return leases.RenewalStatus.STAMP_REFUSED
        if renewal.table is not None:
            if renewal.table.offset < self._table.offset:
                return leases.RenewalStatus.GRANTS_REFUSED
            self._table = renewal.table
            self._epochs = {
                (grant.service, grant.partition): grant.epoch for grant in renewal.table.grants
            }
        expires_at_s = renewal.stamp.reading_s + renewal.duration_ms / MS_PER_S
        self._expires_at_s = max(self._expires_at_s, expires_at_s)
        return leases.RenewalStatus.RENEWED
