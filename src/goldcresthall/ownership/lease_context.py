"""Services, timing and server name that the roles of a lease manager share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.backend import client
from goldcresthall.core import identity
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import counters
from goldcresthall.ownership import lease_view
from goldcresthall.ownership import lessor_probe
from goldcresthall.ownership import planned_moves
from goldcresthall.ownership import timestamped_state
from goldcresthall.ownership import wakeup as wakeups
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseContext:
    """Dependencies that the roles of one server's lease manager share.

    Attributes
    ----------
    log_stale_after_s
        Age of the last log read from which the log is considered unreachable.
    """

    server_name: str
    incarnation: identity.Incarnation
    timing: lease_view.LeaseTiming
    log_stale_after_s: float
    clock: clock.Clock
    replica: replica.Replica
    client: client.BackendClient
    instance_list: instance_list.InstanceList
    probe: lessor_probe.LessorProbe
    planned: planned_moves.PlannedMoves
    counters: counters.LeaseCounters
    wakeup: wakeups.Wakeup

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
        server_name: str,
        task_wakeup: wakeups.Wakeup,
    ) -> LeaseContext:
        """Return the context of one server's lease manager."""
        platform = instance_settings.platform
        return cls(
            server_name=server_name,
            incarnation=incarnation,
            timing=lease_view.LeaseTiming.from_config(instance_settings.leases),
            log_stale_after_s=(2 * platform.long_poll_ms + platform.request_timeout_ms) / MS_PER_S,
            clock=service_kernel.find(names.CLOCK, clock.Clock),
            replica=service_kernel.find(names.REPLICA, replica.Replica),
            client=service_kernel.find(names.BACKENDS, client.BackendClient),
            instance_list=service_kernel.find(names.INSTANCE_LIST, instance_list.InstanceList),
            probe=service_kernel.find(names.LESSOR_PROBE, lessor_probe.LessorProbe),
            planned=service_kernel.find(names.PLANNED_MOVES, planned_moves.PlannedMoves),
            counters=service_kernel.find(names.LEASE_COUNTERS, counters.LeaseCounters),
            wakeup=task_wakeup,
        )

    def is_log_reachable(self, observed: timestamped_state.TimestampedState) -> bool:
        """Return whether a record submitted now is likely to be read back soon."""
        return self.clock.read_s() - observed.read_began_at_s < self.log_stale_after_s
