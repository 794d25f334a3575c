"""Placement of free ranges by their work and the capacity of the servers."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import range_leases

if TYPE_CHECKING:
    import collections.abc

    from goldcresthall.ranges import load_statistics

SPLIT_FACTOR = 1.2
MAX_PIECES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be assigned ranges.

    Attributes
    ----------
    capacity
        Seconds of work per second that it can process.
    noise
        Standard deviation of the capacity as a fraction of it.
    """

    incarnation: deployment.ServerIncarnation
    capacity: float
    noise: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A range, or part of one, and the server it is assigned to."""

    service: str
    keys: key_ranges.KeyRange
    target: deployment.ServerIncarnation


class PlannedLoads:
    """Rate of each server in seconds of work per second, including planned moves.

    A server's load is its rate as a fraction of its capacity.
    """

    def __init__(
        self,
        candidates: tuple[Candidate, ...],
        leases: tuple[range_leases.RangeLease, ...],
        key_rates: load_statistics.KeyRates,
    ) -> None:
        self._capacity = {candidate.incarnation: candidate.capacity for candidate in candidates}
        self._noise = {candidate.incarnation: candidate.noise for candidate in candidates}
        self._rate = dict.fromkeys(self._capacity, 0.0)
        for lease in leases:
            incarnation = lease.target or lease.owner
            if incarnation in self._rate and lease.phase is not range_leases.LeasePhase.EXPIRING:
                self._rate[incarnation] += key_rates.sum_range(lease.keys)

    @property
    def mean(self) -> float:
        """Total rate as a fraction of the total capacity, without what exceeds a server's own.

        A single key may demand more than any server can process, which no move changes.
        """
        served = sum(min(rate, self._capacity[owner]) for owner, rate in self._rate.items())
        return served / sum(self._capacity.values())

    def find_load(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the load of a server as a fraction of its capacity."""
        return self._rate[incarnation] / self._capacity[incarnation]

    def find_capacity(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the capacity of a server in seconds of work per second."""
        return self._capacity[incarnation]

    def find_noise(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the standard deviation of a server's capacity as a fraction of it."""
        return self._noise[incarnation]

    def find_least_loaded(self, rate: float = 0.0) -> deployment.ServerIncarnation:
        """Return the server with the lowest load after adding `rate`."""
        return min(
            self._rate,
            key=lambda incarnation: (
                (self._rate[incarnation] + rate) / self._capacity[incarnation],
                incarnation,
            ),
        )

    @property
    def server_count(self) -> int:
        """Number of servers that may be assigned ranges."""
        return len(self._capacity)

    def find_spare(self, incarnation: deployment.ServerIncarnation) -> float:
        """Return the unused capacity of a server in seconds of work per second."""
        return self._capacity[incarnation] - self._rate[incarnation]

    def find_most_spare(
        self,
        load: float = 1.0,
        excluded: collections.abc.Set[deployment.ServerIncarnation | None] = frozenset(),
    ) -> deployment.ServerIncarnation | None:
        """Return the server outside `excluded` that takes the most work until it has a load."""
        return max(
            (incarnation for incarnation in self._rate if incarnation not in excluded),
            key=lambda incarnation: (self.find_room(incarnation, load), incarnation),
            default=None,
        )

    def find_room(self, incarnation: deployment.ServerIncarnation, load: float) -> float:
        """Return the seconds of work per second that bring a server to a load."""
        return load * self._capacity[incarnation] - self._rate[incarnation]

    def find_most_loaded(
        self, excluded: set[deployment.ServerIncarnation]
    ) -> deployment.ServerIncarnation | None:
        """Return the most loaded server outside `excluded`, or `None` if there is no other."""
        incarnations = [incarnation for incarnation in self._rate if incarnation not in excluded]
        return max(
            incarnations,
            key=lambda incarnation: (self.find_load(incarnation), incarnation),
            default=None,
        )

    def add(self, incarnation: deployment.ServerIncarnation, rate: float) -> None:
        """Add seconds of work per second to a server's planned rate."""
        self._rate[incarnation] += rate


def place_free(
    free: tuple[range_leases.RangeLease, ...],
    loads: PlannedLoads,
    key_rates: load_statistics.KeyRates,
    server_count: int,
) -> tuple[Placement, ...]:
    """Return placements for free ranges, highest rate first; high-rate ranges are split.

    Parameters
    ----------
    server_count
        Number of servers that share the load.
    """
    fair_share = key_rates.total / max(1, server_count)
    placements = []
    for lease in sorted(free, key=lambda lease: -key_rates.sum_range(lease.keys)):
        for piece in split_evenly(lease.keys, key_rates, fair_share):
            rate = key_rates.sum_range(piece)
            target = loads.find_least_loaded(rate)
            loads.add(target, rate)
            placements.append(Placement(lease.service, piece, target))
    return tuple(placements)


def split_evenly(
    keys: key_ranges.KeyRange, key_rates: load_statistics.KeyRates, limit: float
) -> tuple[key_ranges.KeyRange, ...]:
    """Split a range into at most `MAX_PIECES` pieces of about equal rate, each near `limit`."""
    total = key_rates.sum_range(keys)
    count = 1 if total <= SPLIT_FACTOR * limit else min(MAX_PIECES, math.ceil(total / limit))
    pieces = []
    first = keys.first
    for index in range(count - 1):
        rest = key_ranges.KeyRange(first, keys.last)
        amount = key_rates.sum_range(rest) / (count - index)
        last = min(key_rates.find_prefix_end(rest, amount), keys.last)
        pieces.append(key_ranges.KeyRange(first, last))
        first = last + 1
        if first > keys.last:
            return tuple(pieces)
    return (*pieces, key_ranges.KeyRange(first, keys.last))
