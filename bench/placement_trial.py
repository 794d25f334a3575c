"""Imbalance and churn of placement by count, by load, and by load without hysteresis.

Pure decisions over one seeded draw in one run: keys by Zipf's law whose hottest
change every few rounds, sampled as router instances see them.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import json
import pathlib
import random
import statistics

import click

from bench import workload
from goldcresthall.core import heat
from goldcresthall.core import identity
from goldcresthall.core import preset
from goldcresthall.encoding import documents
from goldcresthall.ownership import heat as heat_counter
from goldcresthall.ownership import rebalance_policy
from goldcresthall.ownership import rendezvous

RESULTS = pathlib.Path(__file__).parent / "results"
REQUESTS_PER_PERIOD = 4_000
PERIODS_PER_ROUND = 5
NO_HYSTERESIS = rebalance_policy.RebalanceLimits(
    start_ratio=1.0, stop_ratio=1.0, min_gain_fraction=0.0, max_moves_per_round=1_000
)


@dataclasses.dataclass(frozen=True, slots=True)
class ByCount:
    """Partitions are dealt out by their number and never moved."""

    name: str = "by count"


@dataclasses.dataclass(frozen=True, slots=True)
class ByLoad:
    """Partitions, and hot keys if allowed, move by load within limits."""

    name: str
    limits: rebalance_policy.RebalanceLimits
    moves_keys: bool


Method = ByCount | ByLoad

METHODS: tuple[Method, ...] = (
    ByCount(),
    ByLoad("by load, no hysteresis, no budget", NO_HYSTERESIS, moves_keys=False),
    ByLoad("by load", rebalance_policy.RebalanceLimits(), moves_keys=False),
    ByLoad("by load, hot keys alone", rebalance_policy.RebalanceLimits(), moves_keys=True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """The seeded draw that all methods see.

    Attributes
    ----------
    sampled
        Share of the requests that the deciding instance knows of.
    """

    seed: int
    servers: int
    partitions: int
    keys: int
    zipf_exponent: float
    rounds: int
    rounds_per_change: int
    sampled: float


@dataclasses.dataclass(frozen=True, slots=True)
class MethodResult:
    """What one method gave over all rounds.

    Attributes
    ----------
    key_churn
        Keys that changed owner, as a fraction of all keys in use.
    """

    method: str
    mean_imbalance: float
    p95_imbalance: float
    worst_imbalance: float
    partition_moves: int
    key_moves: int
    key_churn: float
    rounds_with_moves: int


@dataclasses.dataclass(frozen=True, slots=True)
class TrialResult:
    """One run of the trial."""

    draw: Draw
    results: tuple[MethodResult, ...]


@functools.singledispatch
def decide(
    method: Method,
    layout: rebalance_policy.OwnershipLayout,
    measured: heat.ServiceHeat,
    *,
    was_active: bool,
) -> rebalance_policy.RebalanceDecision:
    """Return a round's moves, by the kind of method."""
    raise NotImplementedError(type(method).__name__)


@decide.register
def _(
    method: ByCount,
    layout: rebalance_policy.OwnershipLayout,
    measured: heat.ServiceHeat,
    *,
    was_active: bool,
) -> rebalance_policy.RebalanceDecision:
    return rebalance_policy.RebalanceDecision((), is_active=False, max_to_mean_ratio=0.0)


@decide.register
def _(
    method: ByLoad,
    layout: rebalance_policy.OwnershipLayout,
    measured: heat.ServiceHeat,
    *,
    was_active: bool,
) -> rebalance_policy.RebalanceDecision:
    seen = measured if method.moves_keys else dataclasses.replace(measured, keys=())
    return rebalance_policy.decide_moves(
        layout, seen, len(layout.owners), method.limits, was_active=was_active
    )


class Trial:
    """One method's run over a draw."""

    def __init__(self, draw: Draw, method: Method) -> None:
        self._draw = draw
        self._method = method
        self._generator = random.Random(draw.seed)
        self._sampler = workload.KeySampler(draw.keys, draw.zipf_exponent)
        self._names = list(range(draw.keys))
        self._policy = _create_policy(draw)
        servers = tuple(server.name for server in self._policy.servers)
        owners = {number: servers[number % draw.servers] for number in range(draw.partitions)}
        self._layout = rebalance_policy.OwnershipLayout(owners, {}, servers)
        self._counter = heat_counter.HeatCounter()
        self._imbalances: list[float] = []
        self._shifts: list[rebalance_policy.ProposedMove] = []
        self._rounds_with_moves = 0

    def run(self) -> MethodResult:
        """Run all rounds and return what they gave."""
        was_active = False
        for number in range(self._draw.rounds):
            if number % self._draw.rounds_per_change == 0:
                self._generator.shuffle(self._names)
            self._imbalances.append(self._serve_round())
            was_active = self._move(was_active=was_active)
        return self._summarize()

    def _serve_round(self) -> float:
        served: collections.Counter[str] = collections.Counter()
        for _ in range(PERIODS_PER_ROUND):
            for _ in range(REQUESTS_PER_PERIOD):
                key = f"key-{self._names[self._sampler.draw(self._generator)]}"
                partition = _find_partition(key, self._draw.partitions)
                owner = self._layout.hot_keys.get(key, self._layout.owners[partition])
                served[owner] += 1
                if self._generator.random() < self._draw.sampled:
                    self._counter.count(self._policy, partition, key)
            self._counter.close_period()
        return max(served.values()) * self._draw.servers / sum(served.values())

    def _move(self, *, was_active: bool) -> bool:
        measured = self._counter.report.find_service(self._policy.name)
        if measured is None:
            return False
        decision = decide(self._method, self._layout, measured, was_active=was_active)
        self._shifts.extend(decision.moves)
        self._rounds_with_moves += bool(decision.moves)
        for shift in decision.moves:
            self._layout = apply_shift(shift, self._layout)
        return decision.is_active

    def _summarize(self) -> MethodResult:
        key_moves = sum(
            isinstance(shift, rebalance_policy.ProposedKeyMove) for shift in self._shifts
        )
        partition_moves = len(self._shifts) - key_moves
        keys_per_partition = self._draw.keys / self._draw.partitions
        moved_keys = partition_moves * keys_per_partition + key_moves
        ordered = sorted(self._imbalances)
        return MethodResult(
            method=self._method.name,
            mean_imbalance=round(statistics.fmean(ordered), 3),
            p95_imbalance=round(ordered[int(0.95 * len(ordered))], 3),
            worst_imbalance=round(ordered[-1], 3),
            partition_moves=partition_moves,
            key_moves=key_moves,
            key_churn=round(moved_keys / self._draw.keys, 3),
            rounds_with_moves=self._rounds_with_moves,
        )


@functools.singledispatch
def apply_shift(
    shift: rebalance_policy.ProposedMove, layout: rebalance_policy.OwnershipLayout
) -> rebalance_policy.OwnershipLayout:
    """Return the layout after a move, by the kind of move."""
    raise NotImplementedError(type(shift).__name__)


@apply_shift.register
def _(
    shift: rebalance_policy.ProposedPartitionMove, layout: rebalance_policy.OwnershipLayout
) -> rebalance_policy.OwnershipLayout:
    owners = {**layout.owners, shift.partition: shift.to_server}
    return dataclasses.replace(layout, owners=owners)


@apply_shift.register
def _(
    shift: rebalance_policy.ProposedKeyMove, layout: rebalance_policy.OwnershipLayout
) -> rebalance_policy.OwnershipLayout:
    return dataclasses.replace(layout, hot_keys={**layout.hot_keys, shift.key: shift.to_server})


_find_partition = functools.lru_cache(maxsize=200_000)(rendezvous.find_partition)


def _create_policy(draw: Draw) -> preset.ServicePolicy:
    address = identity.Address("127.0.0.1", 1)
    servers = tuple(
        preset.BackendServer(name=f"server-{number:02d}", address=address, failure_domain="one")
        for number in range(draw.servers)
    )
    return preset.ServicePolicy(
        name="trial", keyed=True, servers=servers, partitions=draw.partitions
    )


def run_trial(draw: Draw) -> TrialResult:
    """Run every method over the same draw."""
    return TrialResult(draw, tuple(Trial(draw, method).run() for method in METHODS))


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--servers", type=int, default=14, show_default=True)
@click.option("--partitions", type=int, default=256, show_default=True)
@click.option("--keys", type=int, default=20_000, show_default=True)
@click.option("--zipf", type=float, default=0.9, show_default=True)
@click.option("--rounds", type=int, default=40, show_default=True)
@click.option("--rounds-per-change", type=int, default=20, show_default=True)
@click.option("--sampled", type=float, default=0.33, show_default=True)
@click.option("--results", type=click.Path(path_type=pathlib.Path), default=RESULTS)
def main(
    *,
    seed: int,
    servers: int,
    partitions: int,
    keys: int,
    zipf: float,
    rounds: int,
    rounds_per_change: int,
    sampled: float,
    results: pathlib.Path,
) -> None:
    """Compare all methods over one draw and write the result as JSON."""
    draw = Draw(seed, servers, partitions, keys, zipf, rounds, rounds_per_change, sampled)
    result = run_trial(draw)
    results.mkdir(parents=True, exist_ok=True)
    path = results / f"placement-{servers}-{zipf}-{sampled}-{seed}.json"
    path.write_text(json.dumps(documents.to_json_value(result), indent=1) + "\n")
    for item in result.results:
        click.echo(str(documents.encode_document(item)))
    click.echo(str(path))


if __name__ == "__main__":
    main()
