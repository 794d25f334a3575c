"""Owners that are cold: which of their ranges go to warm servers, and which servers are avoided."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import deployment

if TYPE_CHECKING:
    from goldcresthall.gateway import server_lists
    from goldcresthall.ranges import candidates
    from goldcresthall.ranges import lessor_context
    from goldcresthall.ranges import load_statistics
    from goldcresthall.ranges import range_leases

# Below this, nearly all servers are cold, as after a start of the whole deployment.
MIN_WARM_FRACTION = 0.25
# The warm servers take the ranges of cold ones up to this fraction of their capacity.
MAX_WARM_LOAD = 0.85
# A range is not moved for a warm-up that ends before the move pays off.
MIN_COLD_S = 2.0
# A plan stands for this long, because it costs a pass over the rates of all keys.
PLAN_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    made_at_s: float
    cold: frozenset[deployment.ServerIncarnation]
    lease_ids: tuple[int, ...]


NO_PLAN = _Plan(-math.inf, frozenset(), ())


class ColdServers:
    """Tells which servers of a service are cold, have a limit and can be spared.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    """

    def __init__(self, context: lessor_context.LessorContext) -> None:
        self._directory = context.directory

    def find_limit(self, service: str) -> float:
        """Return the requests per second that a cold server of a service bears; 0 for no limit."""
        return self._directory.cold_limits.get(service, 0.0)

    def list_cold(
        self, service: str, entries: list[server_lists.DirectoryEntry], now_s: float
    ) -> frozenset[deployment.ServerIncarnation]:
        """Return the servers that should own no ranges because they are cold.

        There are none if nearly all are cold, because the few warm ones could not hold all ranges.
        """
        if not self.find_limit(service):
            return frozenset()
        cold = frozenset(
            entry.server.incarnation for entry in entries if entry.warm_up.find_left_s(now_s) > 0
        )
        has_warm = len(entries) - len(cold) >= max(1.0, MIN_WARM_FRACTION * len(entries))
        return cold if has_warm else frozenset()


class ColdOwners:
    """Plans which ranges leave cold owners, the most requested first.

    If the warm servers would be overloaded by all of them, each cold owner keeps its least
    requested ranges, up to the rate that it bears.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    lister
        Lists the servers that may get the ranges.
    statistics
        Request rates of the keys.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        lister: candidates.CandidateLister,
        statistics: load_statistics.LoadStatistics,
    ) -> None:
        self._directory = context.directory
        self._cold_servers = ColdServers(context)
        self._lister = lister
        self._statistics = statistics
        self._plans: dict[str, _Plan] = {}

    def list_leaving(
        self, service: str, leases: dict[int, range_leases.RangeLease], now_s: float
    ) -> tuple[int, ...]:
        """Return the IDs of the leases that leave cold owners, in the order to release them.

        Parameters
        ----------
        leases
            All leases, by ID.
        """
        cold = self._list_cold(service, now_s)
        if not cold:
            self._plans.pop(service, None)
            return ()
        owned = {
            lease_id: lease
            for lease_id, lease in leases.items()
            if lease.service == service and lease.owner in cold
        }
        if not owned:
            return ()
        known = self._plans.get(service, NO_PLAN)
        if now_s - known.made_at_s >= PLAN_INTERVAL_S or known.cold != cold:
            known = self._plans[service] = _Plan(now_s, cold, self._plan(service, owned, now_s))
        return tuple(lease_id for lease_id in known.lease_ids if lease_id in owned)

    def _list_cold(self, service: str, now_s: float) -> frozenset[deployment.ServerIncarnation]:
        if not self._cold_servers.find_limit(service):
            return frozenset()
        entries = [
            entry
            for entry in self._directory.servers.by_service.get(service, ())
            if not self._directory.is_evacuated(entry.server.failure_domain)
        ]
        return self._cold_servers.list_cold(service, entries, now_s + MIN_COLD_S)

    def _plan(
        self,
        service: str,
        owned: dict[int, range_leases.RangeLease],
        now_s: float,
    ) -> tuple[int, ...]:
        warm = self._lister.list(service, now_s)
        key_rates = self._statistics.estimate_rates(service, now_s)
        rates = {lease_id: key_rates.sum_range(lease.keys) for lease_id, lease in owned.items()}
        hottest_first = sorted(rates, key=lambda lease_id: -rates[lease_id])
        capacity = sum(candidate.capacity for candidate in warm)
        if key_rates.total <= MAX_WARM_LOAD * capacity:
            return tuple(hottest_first)
        kept = self._list_kept(service, owned, rates)
        return tuple(lease_id for lease_id in hottest_first if lease_id not in kept)

    def _list_kept(
        self,
        service: str,
        owned: dict[int, range_leases.RangeLease],
        rates: dict[int, float],
    ) -> set[int]:
        """Return the least requested ranges of each owner, up to the rate that it bears."""
        limit = self._cold_servers.find_limit(service)
        left: dict[deployment.ServerIncarnation | None, float] = {}
        kept: set[int] = set()
        for lease_id in sorted(rates, key=rates.__getitem__):
            owner = owned[lease_id].owner
            rest = left.get(owner, limit) - rates[lease_id]
            if rest < 0:
                continue
            left[owner] = rest
            kept.add(lease_id)
        return kept
