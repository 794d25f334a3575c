"""How a request waits for capacity, for an owner of its key or for a renewed list of servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.gateway import retry_policy
from goldcresthall.gateway import targets
from goldcresthall.gateway import waiting

if TYPE_CHECKING:
    from goldcresthall.gateway import directory
    from goldcresthall.gateway import routing_plans
    from goldcresthall.kernel import clock
    from goldcresthall.ranges import owners


class RequestWaits:
    """Waits of requests; each returns whether to look for a server again.

    Parameters
    ----------
    monotonic_clock
        Clock that times requests.
    server_directory
        Directory whose list of servers may be outdated.
    key_owners
        Owners of keys, of which a newer view may be awaited.
    """

    def __init__(
        self,
        monotonic_clock: clock.Clock,
        server_directory: directory.Directory,
        key_owners: owners.Owners,
    ) -> None:
        self._clock = monotonic_clock
        self._directory = server_directory
        self._owners = key_owners

    def wait_for_capacity(
        self,
        plan: routing_plans.RoutingPlan,
        wait: waiting.CapacityWait,
        queue_entry: waiting.QueueEntry,
    ) -> bool:
        """Wait for a free place; return `False` if the target can no longer be met."""
        remaining_s = plan.target_at_s - wait.service_time_s - self._clock.read_s()
        if remaining_s <= 0 or not queue_entry.enter(wait):
            return False
        ended = queue_entry.await_turn(retry_policy.RECHECK_INTERVAL_S, remaining_s)
        return ended is waiting.WaitEnd.TURN

    def wait_for_list(self, wait_budget: retry_policy.WaitBudget) -> bool:
        """Wait for a renewed list of servers; return `False` if the time for waits is over."""
        left_s = wait_budget.find_left_s()
        if left_s <= 0:
            return False
        began_at_s = self._clock.read_s()
        self._directory.await_usable_list(left_s)
        wait_budget.spend(self._clock.read_s() - began_at_s)
        return True

    def wait_for_owner(
        self,
        plan: routing_plans.RoutingPlan,
        wait_budget: retry_policy.WaitBudget,
        serial: int,
        max_wait_s: float | None = None,
    ) -> bool:
        """Wait for a newer view of the owners; return `False` if waiting is useless or over.

        Parameters
        ----------
        serial
            Number of the view that was used.
        max_wait_s
            Seconds after which no wait helps; `None` for the time of a usual move.
        """
        left_s = wait_budget.find_left_s(max_wait_s)
        if not isinstance(plan.target, targets.KeyTarget) or left_s <= 0:
            return False
        began_at_s = self._clock.read_s()
        self._owners.wait_for_newer(serial, min(left_s, retry_policy.RECHECK_INTERVAL_S))
        wait_budget.spend(self._clock.read_s() - began_at_s)
        return True
