"""Requests of a keyed service at random, and owners that change by plan at once."""

from __future__ import annotations

import dataclasses
import random

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.gateway import estimates
from goldcresthall.load import work_table
from goldcresthall.ranges import candidates
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import move_planner
from goldcresthall.ranges import overload
from goldcresthall.ranges import planner
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import range_parts
from goldcresthall.ranges import recent_moves

SERVICE = "ledger"
STEP_S = 0.1
ROUND_STEPS = 4
HOT_KEY_SHARE = 0.33
# Standard deviation of the logarithm of the work of a request.
WORK_SPREAD = 0.8


def single(key: int) -> key_ranges.KeyRange:
    """Return the range of one key."""
    return key_ranges.KeyRange(key, key)


class PlacementLoad:
    """Random requests whose work is counted each `STEP_S`, and a plan each `ROUND_STEPS` steps.

    Servers own equal shares of the keys at first. Half of the requests are for keys near
    `center`, the others for any key. The capacities of the servers are known, or measured from
    the work of the requests.
    """

    def __init__(
        self,
        servers: int = 40,
        rate_per_s: float = 300.0,
        center: int | None = None,
        slots: float = 3.0,
        speed_ratio: float = 1.0,
        *,
        measures_speeds: bool = False,
    ) -> None:
        self.center = center
        self.hot_key: int | None = None
        self.hot_key_share = HOT_KEY_SHARE
        self.work_s = dict.fromkeys(range(2), 0.12)
        self.generator = random.Random(5)
        self.now_s = 0.0
        self.moves: list[planner.Placement] = []
        self.statistics = load_statistics.LoadStatistics()
        self._rate_per_s = rate_per_s
        self._measures_speeds = measures_speeds
        self._recent_moves = recent_moves.RecentMoves()
        self._steps = 0
        names = [deployment.ServerIncarnation(f"server-{index:02d}", 1) for index in range(servers)]
        step = (speed_ratio - 1.0) / max(1, servers - 1)
        self.candidates = tuple(
            planner.Candidate(name, slots * (1.0 + index * step))
            for index, name in enumerate(names)
        )
        width = key_ranges.KEY_COUNT // servers
        self.leases = tuple(
            range_leases.RangeLease(
                service=SERVICE,
                keys=key_ranges.KeyRange(
                    index * width,
                    key_ranges.LAST_KEY if index == servers - 1 else (index + 1) * width - 1,
                ),
                owner=name,
                phase=range_leases.LeasePhase.HELD,
                fence=1,
            )
            for index, name in enumerate(names)
        )

    @property
    def hot_work_rate(self) -> float:
        """Seconds of work per second that the hot key asks for."""
        return self.hot_key_share * self._rate_per_s * self.work_s[0]

    def estimate(self) -> load_statistics.KeyRates:
        """Return the estimated rates."""
        return self.statistics.estimate_rates(SERVICE, self.now_s)

    def run(self, seconds: float) -> None:
        """Count requests and move ranges for some time."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self._steps += 1
            self._count()
            if self._steps % ROUND_STEPS == 0:
                self._move()

    def find_loads(self) -> dict[str, float]:
        """Return the true loads of the servers, from many requests."""
        rates = dict.fromkeys((candidate.incarnation for candidate in self.candidates), 0.0)
        drawn = 20_000
        for _ in range(drawn):
            key = self._draw_key()
            owner = self.find_owner(key)
            rates[owner] += self.work_s[key & 1] * self._rate_per_s / drawn
        return {
            candidate.incarnation.name: rates[candidate.incarnation] / candidate.capacity
            for candidate in self.candidates
        }

    def find_owner(self, key: int) -> deployment.ServerIncarnation:
        """Return the owner of a key."""
        owner = next(lease.owner for lease in self.leases if lease.keys.contains(key))
        assert owner is not None
        return owner

    def find_admissions(self) -> dict[key_ranges.KeyRange, float]:
        """Return the shares of the overloaded ranges."""
        rows = overload.find_admissions(self.leases, self.candidates, self.estimate())
        return {row.keys: row.share for row in rows}

    def _count(self) -> None:
        mean = self._rate_per_s * STEP_S
        work: dict[int, float] = {}
        samples: dict[deployment.ServerIncarnation, tuple[int, float]] = {}
        for _ in range(max(0, round(self.generator.gauss(mean, mean**0.5)))):
            key = self._draw_key()
            work[key] = work.get(key, 0.0) + self.work_s[key & 1]
            if self._measures_speeds:
                owner = self.find_owner(key)
                count, total_s = samples.get(owner, (0, 0.0))
                drawn = self.generator.lognormvariate(-0.5 * WORK_SPREAD**2, WORK_SPREAD)
                samples[owner] = (count + 1, total_s + self.work_s[key & 1] * drawn)
        row = work_table.KeyWork(SERVICE, tuple(work), tuple(work.values()))
        self.statistics.add((), self.now_s, (row,))
        rows = tuple(estimates.LatencySample(owner, *times) for owner, times in samples.items())
        self.statistics.add_times(rows, self.now_s)

    def _draw_key(self) -> int:
        if self.hot_key is not None and self.generator.random() < self.hot_key_share:
            return self.hot_key
        if self.center is not None and self.generator.random() < 0.5:
            return round(self.generator.gauss(self.center, 150.0)) % key_ranges.KEY_COUNT
        return self.generator.randrange(key_ranges.KEY_COUNT)

    def _list_candidates(self) -> tuple[planner.Candidate, ...]:
        """Return the candidates with the capacities that samples of their work show."""
        if not self._measures_speeds:
            return self.candidates
        names = tuple(candidate.incarnation for candidate in self.candidates)
        return candidates.create_candidates(
            {candidate.incarnation: candidate.capacity for candidate in self.candidates},
            self.statistics.service_times.estimate_speeds(names, self.now_s),
        )

    def _move(self) -> None:
        key_rates = self.estimate()
        settling = self._recent_moves.find_settling(SERVICE, self.now_s)
        for move in move_planner.plan_moves(
            self.leases,
            planner.PlannedLoads(self._list_candidates(), self.leases, key_rates),
            key_rates,
            move_planner.MoveConstraints(settling),
        ):
            whole = next(lease for lease in self.leases if lease.keys.contains(move.keys.first))
            moved = dataclasses.replace(whole, keys=move.keys, owner=move.target)
            self.leases = (*range_parts.remove_range(self.leases, move), moved)
            self._recent_moves.record(SERVICE, move.keys, self.now_s)
            self.moves.append(move)
