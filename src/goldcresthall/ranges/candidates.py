"""The servers that may be assigned ranges of a service, with their capacities."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ranges import cold_owners
from goldcresthall.ranges import planner

if TYPE_CHECKING:
    from goldcresthall.ranges import lease_table
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import load_statistics
    from goldcresthall.ranges import server_backoff


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
        slowness = self._statistics.service_times.estimate_slowness(
            tuple(server.incarnation for server in usable), now_s
        )
        capacities = {
            server.incarnation: server.slots / slowness[server.incarnation] for server in usable
        }
        limit = self._cold_servers.find_capacity(service, now_s)
        if limit:
            for entry in assignable.entries:
                incarnation = entry.server.incarnation
                if incarnation in capacities and entry.warm_up.find_left_s(now_s) > 0:
                    capacities[incarnation] = min(limit, capacities[incarnation])
        return tuple(
            planner.Candidate(incarnation, capacity) for incarnation, capacity in capacities.items()
        )
