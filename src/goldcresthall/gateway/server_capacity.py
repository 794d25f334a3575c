"""How many more requests this instance may send to a server, and how many may wait for it.

Load condition: servers are busy. Each instance keeps to its share of their slots and queues, and
what it holds beyond that can still meet its latency target.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from goldcresthall.gateway import estimates
from goldcresthall.gateway import selection
from goldcresthall.gateway import waiting

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import directory
    from goldcresthall.load import work_model
    from goldcresthall.ranges import reports

MAX_OUTSTANDING_PER_SLOT = 5
MAX_LOAD_PER_SLOT = 4
MAX_CAPACITY_WAIT_S = 10.0
MAX_WITH_KNOWN_SLOT = 2
# All of 54 servers cost 1 ms of processor time for each request that found none with capacity.
MAX_EXAMINED = 8


class ServerCapacity:
    """Decides from the known load whether servers have capacity for requests of this instance."""

    def __init__(
        self,
        server_directory: directory.Directory,
        server_estimates: estimates.Estimates,
        model: work_model.WorkModel,
        instance_counter: reports.InstanceCounter,
    ) -> None:
        self.directory = server_directory
        self.estimates = server_estimates
        self.model = model
        self._instance_counter = instance_counter

    @property
    def instances(self) -> int:
        """Number of live instances, at least 1."""
        return max(1, self._instance_counter.live_instances)

    def has_capacity(
        self,
        server: deployment.RegisteredServer,
        target_in_s: float,
        demand: selection.Demand = selection.UNKNOWN_DEMAND,
    ) -> bool:
        """Return whether a server has capacity for another request from this instance.

        This instance's share of the server's queue must not be used up, and the server's
        total load must be below its limit. A request takes a place in the server's queue only
        if it can still meet its latency target from there: a longer queue would make all
        requests behind it late without a higher throughput.

        Parameters
        ----------
        target_in_s
            Seconds until the request's latency target; negative once it has passed.
        demand
            What the request asks of the server.
        """
        limit = math.ceil(MAX_OUTSTANDING_PER_SLOT * server.slots / self.instances)
        estimate = self.estimates.find(server)
        load = estimate.find_load(self.directory.read_s())
        if estimate.outstanding >= max(1, limit) and not self._has_known_slot(server, estimate):
            return False
        if load < server.slots:
            return True
        response_time_s = self.find_response_time_s(server, load, demand.route)
        max_load = MAX_LOAD_PER_SLOT * server.slots * demand.queue_fraction
        return load < max_load and response_time_s <= target_in_s

    def _has_known_slot(
        self, server: deployment.RegisteredServer, estimate: estimates.Estimate
    ) -> bool:
        """Return whether a second request may be sent, since a slot was free a moment ago.

        With more instances than places at a server the share is a single request, and a second
        one was refused although the server may be idle.
        """
        if estimate.outstanding >= MAX_WITH_KNOWN_SLOT:
            return False
        is_known = estimate.find_freshness(self.directory.read_s()) > 0.0
        return is_known and estimate.outstanding + estimate.reported_load < server.slots

    def find_response_time_s(
        self, server: deployment.RegisteredServer, load: float, route: str = ""
    ) -> float:
        """Return the expected response time in seconds of a request that joins `load` others."""
        queued = max(0.0, load + 1.0 - server.slots)
        return self.model.expect_s(route, server) * (1.0 + queued / server.slots)

    def find_pause_s(self, server: deployment.RegisteredServer) -> float:
        """Return the seconds for which a server wants no request; not positive if it does."""
        return self.estimates.find(server).paused_until_s - self.directory.read_s()

    def find_queue_s(self, server: deployment.RegisteredServer, route: str = "") -> float:
        """Return the seconds after which a busy server is expected to take another request."""
        load = self.estimates.find(server).find_load(self.directory.read_s())
        work_s = self.model.expect_s(route, server)
        queued_s = self.find_response_time_s(server, load, route) - work_s
        return min(estimates.REPORTED_LOAD_DECAY_S, max(queued_s, work_s))

    def create_wait(
        self,
        queue: str,
        servers: tuple[deployment.RegisteredServer, ...],
        target_in_s: float,
        route: str = "",
    ) -> waiting.CapacityWait:
        """Return how a request may wait for capacity at busy servers.

        This instance's share of what the servers can process until the target bounds the
        number of requests that wait. More would be held and then refused, or answered late.
        """
        times_s = [self.model.expect_s(route, server) for server in list_examined(servers)]
        service_time_s = sum(times_s) / len(times_s)
        usable_s = max(0.0, min(target_in_s, MAX_CAPACITY_WAIT_S) - service_time_s)
        slots = sum(server.slots for server in servers)
        share = slots / self.instances
        max_requests = round(share * usable_s / service_time_s)
        if usable_s > service_time_s:
            max_requests = max(1, max_requests)
        return waiting.CapacityWait(queue, max_requests, service_time_s)


def list_examined(
    servers: tuple[deployment.RegisteredServer, ...],
) -> tuple[deployment.RegisteredServer, ...]:
    """Return the servers from which the wait for a busy service is estimated, evenly chosen."""
    return servers[:: math.ceil(len(servers) / MAX_EXAMINED)]


class KnownCapacity:
    """The servers examined for one request, since a busy service is scanned several times."""

    def __init__(
        self, capacity: ServerCapacity, target_in_s: float, demand: selection.Demand
    ) -> None:
        self._capacity = capacity
        self._target_in_s = target_in_s
        self._demand = demand
        self._known: dict[str, bool] = {}

    def has_capacity(self, server: deployment.RegisteredServer) -> bool:
        """Return whether a server has capacity for the request."""
        known = self._known.get(server.name)
        if known is None:
            known = self._capacity.has_capacity(server, self._target_in_s, self._demand)
            self._known[server.name] = known
        return known
