"""The servers that may be assigned ranges of a service, with their capacities."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.ranges import cold_owners
from goldcresthall.ranges import planner

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.ranges import lease_table
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import load_statistics
    from goldcresthall.ranges import server_backoff
    from goldcresthall.ranges import service_times


class CandidateLister:
    """Lists the servers of a service that may get ranges.

    They neither drain nor fail nor back off, are not in an evacuated failure domain, and are not
    cold unless nearly all of them are.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    leases
        Leases of the term.
    backoff
        Servers that should get no range for some time.
    statistics
        Service times of the servers.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        leases: lease_table.LeaseTable,
        backoff: server_backoff.ServerBackoff,
        statistics: load_statistics.LoadStatistics,
    ) -> None:
        self._leases = leases
        self._backoff = backoff
        self._statistics = statistics
        self._cold_servers = cold_owners.ColdServers(context, statistics)

    def list(self, service: str, now_s: float) -> tuple[planner.Candidate, ...]:
        """Return the candidates; all registered servers that may get ranges if none is usable."""
        assignable = self._cold_servers.list_assignable(service, now_s)
        registered = [
            entry.server
            for entry in assignable.entries
            if entry.server.incarnation not in assignable.cold
        ]
        failing = {
            lease.owner
            for lease in self._leases.snapshot().leases.values()
            if lease.failing_since_s is not None
        }
        usable = [
            server
            for server in registered
            if server.incarnation not in failing
            and not self._backoff.is_backing_off(server.incarnation, now_s)
        ] or registered
        speeds = self._statistics.service_times.estimate_speeds(
            tuple(server.incarnation for server in usable), now_s
        )
        listed = create_candidates(
            {server.incarnation: float(server.slots) for server in usable}, speeds
        )
        limit = self._cold_servers.find_capacity(service, now_s)
        if not limit:
            return listed
        cold = {
            entry.server.incarnation
            for entry in assignable.entries
            if entry.warm_up.find_left_s(now_s) > 0
        }
        return tuple(
            (
                dataclasses.replace(candidate, capacity=min(limit, candidate.capacity))
                if candidate.incarnation in cold
                else candidate
            )
            for candidate in listed
        )


def create_candidates(
    slots: dict[deployment.ServerIncarnation, float],
    speeds: dict[deployment.ServerIncarnation, service_times.ServerSpeed],
) -> tuple[planner.Candidate, ...]:
    """Return servers with the capacities that follow from their slots and speeds."""
    return tuple(
        planner.Candidate(
            incarnation, count / speeds[incarnation].slowness, speeds[incarnation].noise
        )
        for incarnation, count in slots.items()
    )
