"""Owners that are cold: which of their ranges go to warm servers, and which servers are avoided."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.gateway import server_lists

if TYPE_CHECKING:
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
# An owner keeps what it has until its rate exceeds what it bears by this factor: with noisy rates
# it would otherwise give up a small part with each plan.
KEEP_FACTOR = 1.25
# A plan stands for this long, because it costs a pass over the rates of all keys.
PLAN_INTERVAL_S = 0.4
# Seconds of work per second; less is not worth a range of its own.
MIN_KEPT_RATE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class AssignableServers:
    """The servers of a service that neither drain nor are in an evacuated failure domain.

    Attributes
    ----------
    cold
        Those that should own no ranges because they are cold. There are none if nearly all are
        cold, because the few warm ones could not hold all ranges.
    """

    entries: tuple[server_lists.DirectoryEntry, ...]
    cold: frozenset[deployment.ServerIncarnation]


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingRange:
    """A range, or part of one, that leaves its cold owner."""

    keys: key_ranges.KeyRange
    owner: deployment.ServerIncarnation

    def is_part_of(self, lease: range_leases.RangeLease) -> bool:
        """Return whether a lease is on these keys, perhaps among others, with the same owner."""
        return lease.owner == self.owner and (
            lease.keys.first <= self.keys.first <= self.keys.last <= lease.keys.last
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    made_at_s: float
    cold: frozenset[deployment.ServerIncarnation]
    may_split: bool
    leaving: tuple[LeavingRange, ...]


NO_PLAN: Final = _Plan(-math.inf, frozenset(), False, ())


class ColdServers:
    """Tells which servers of a service are cold, have a limit and can be spared.

    Parameters
    ----------
    context
        Services that the lessor depends on.
    statistics
        Service times, by which a limit in requests becomes one in seconds of work.
    """

    def __init__(
        self,
        context: lessor_context.LessorContext,
        statistics: load_statistics.LoadStatistics,
    ) -> None:
        self._directory = context.directory
        self._statistics = statistics

    def find_limit(self, service: str) -> float:
        """Return the requests per second that a cold server of a service bears; 0 for no limit."""
        return self._directory.cold_limits.get(service, 0.0)

    def find_capacity(self, service: str, now_s: float) -> float:
        """Return what a cold server bears in seconds of work per second; 0 for no limit."""
        entries = self._directory.servers.by_service.get(service, ())
        incarnations = tuple(entry.server.incarnation for entry in entries)
        work_s = self._statistics.service_times.estimate_mean_s(incarnations, now_s)
        return self.find_limit(service) * work_s

    def list_assignable(self, service: str, now_s: float) -> AssignableServers:
        """Return the servers that may own ranges, and which of them should not for being cold."""
        entries = tuple(
            entry
            for entry in self._directory.servers.by_service.get(service, ())
            if entry.draining_since_s is None
            and not self._directory.is_evacuated(entry.server.failure_domain)
        )
        if not self.find_limit(service):
            return AssignableServers(entries, frozenset())
        cold = frozenset(
            entry.server.incarnation for entry in entries if entry.warm_up.find_left_s(now_s) > 0
        )
        has_warm = len(entries) - len(cold) >= max(1.0, MIN_WARM_FRACTION * len(entries))
        return AssignableServers(entries, cold if has_warm else frozenset())


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
        self._cold_servers = ColdServers(context, statistics)
        self._lister = lister
        self._statistics = statistics
        self._plans: dict[str, _Plan] = {}

    def list_leaving(
        self,
        service: str,
        leases: tuple[range_leases.RangeLease, ...],
        now_s: float,
        *,
        may_split: bool,
    ) -> tuple[LeavingRange, ...]:
        """Return the ranges that leave cold owners, in the order to release them.

        Parameters
        ----------
        may_split
            Whether a part of a range may leave; otherwise only whole ranges do.
        """
        cold = self._list_cold(service, now_s)
        if not cold:
            self._plans.pop(service, None)
            return ()
        owned = tuple(
            lease
            for lease in leases
            if lease.service == service and lease.owner in cold and lease.is_granted
        )
        if not owned:
            return ()
        known = self._plans.get(service, NO_PLAN)
        is_due = now_s - known.made_at_s >= PLAN_INTERVAL_S
        if is_due or (known.cold, known.may_split) != (cold, may_split):
            leaving = self._plan(service, owned, now_s, may_split=may_split)
            known = self._plans[service] = _Plan(now_s, cold, may_split, leaving)
        return known.leaving

    def _list_cold(self, service: str, now_s: float) -> frozenset[deployment.ServerIncarnation]:
        """Return the cold servers without those that are nearly warm."""
        assignable = self._cold_servers.list_assignable(service, now_s)
        return frozenset(
            entry.server.incarnation
            for entry in assignable.entries
            if entry.server.incarnation in assignable.cold
            and entry.warm_up.find_left_s(now_s) > MIN_COLD_S
        )

    def _plan(
        self,
        service: str,
        owned: tuple[range_leases.RangeLease, ...],
        now_s: float,
        *,
        may_split: bool,
    ) -> tuple[LeavingRange, ...]:
        key_rates = self._statistics.estimate_rates(service, now_s)
        capacity = sum(candidate.capacity for candidate in self._lister.list(service, now_s))
        kept_rate = 0.0
        if key_rates.total > MAX_WARM_LOAD * capacity:
            kept_rate = self._cold_servers.find_capacity(service, now_s)
        leaving = list_surplus(owned, kept_rate, key_rates, may_split=may_split)
        return tuple(sorted(leaving, key=lambda part: -key_rates.sum_range(part.keys)))


def list_surplus(
    owned: tuple[range_leases.RangeLease, ...],
    kept_rate: float,
    key_rates: load_statistics.KeyRates,
    *,
    may_split: bool,
) -> list[LeavingRange]:
    """Return what each owner gives up to keep at most `kept_rate` seconds of work per second.

    An owner whose rate exceeds that by less than `KEEP_FACTOR` gives up nothing.
    """
    by_owner: dict[deployment.ServerIncarnation, list[range_leases.RangeLease]] = {}
    for lease in owned:
        if lease.owner is not None:
            by_owner.setdefault(lease.owner, []).append(lease)
    leaving: list[LeavingRange] = []
    for owner, leases in by_owner.items():
        rest = kept_rate
        if sum(key_rates.sum_range(lease.keys) for lease in leases) <= KEEP_FACTOR * rest:
            continue
        for lease in sorted(leases, key=lambda lease: key_rates.sum_range(lease.keys)):
            keys = _find_surplus(lease.keys, rest, key_rates, may_split=may_split)
            rest -= key_rates.sum_range(lease.keys)
            if keys is not None:
                rest += key_rates.sum_range(keys)
                leaving.append(LeavingRange(keys, owner))
    return leaving


def _find_surplus(
    keys: key_ranges.KeyRange,
    rate: float,
    key_rates: load_statistics.KeyRates,
    *,
    may_split: bool,
) -> key_ranges.KeyRange | None:
    """Return the part of a range beyond a rate in seconds of work per second, or `None`."""
    if key_rates.sum_range(keys) <= rate:
        return None
    first = key_rates.find_prefix_end(keys, rate)
    if rate < MIN_KEPT_RATE or first <= keys.first or not may_split:
        return keys
    return key_ranges.KeyRange(first, keys.last)
