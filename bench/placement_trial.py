"""Compares imbalance and churn of placement by count, by load and without hysteresis.

Simulates only the decisions, for one seeded sequence of requests: keys follow Zipf's law,
the hottest keys change every few rounds, and the deciding instance sees a sample.
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

RESULTS_FOLDER = pathlib.Path(__file__).parent / "results"
REQUESTS_PER_PERIOD = 4_000
PERIODS_PER_ROUND = 5
NO_HYSTERESIS = rebalance_policy.RebalanceLimits(
    start_ratio=1.0, stop_ratio=1.0, min_gain_fraction=0.0, max_moves_per_round=1_000
)


@dataclasses.dataclass(frozen=True, slots=True)
class StaticPlacement:
    """Assigns partitions to servers round-robin by number and never moves them."""

    name: str = "by count"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBasedPlacement:
    """Moves partitions, and hot keys if enabled, by load within limits."""

    name: str
    limits: rebalance_policy.RebalanceLimits
    moves_keys: bool


PlacementMethod = StaticPlacement | LoadBasedPlacement

METHODS: tuple[PlacementMethod, ...] = (
    StaticPlacement(),
    LoadBasedPlacement("by load, no hysteresis, no budget", NO_HYSTERESIS, moves_keys=False),
    LoadBasedPlacement("by load", rebalance_policy.RebalanceLimits(), moves_keys=False),
    LoadBasedPlacement(
        "by load, hot keys alone", rebalance_policy.RebalanceLimits(), moves_keys=True
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class TrialParameters:
    """Parameters of the seeded request sequence, the same for all methods.

    Attributes
    ----------
    rounds_per_change
        Number of rounds after which the popularity ranks of the keys are shuffled.
    sampled
        Fraction of the requests that the deciding instance observes.
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
    """Results of one method over all rounds.

    Attributes
    ----------
    key_churn
        Estimated number of key moves divided by the number of keys; a moved partition counts
        with the mean number of keys per partition.
    p95_imbalance
        95th percentile over the rounds of the ratio of the largest to the mean server load.
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
    """Results of all methods in one trial."""

    draw: TrialParameters
    results: tuple[MethodResult, ...]


@functools.singledispatch
def decide_moves(
    method: PlacementMethod,
    layout: rebalance_policy.OwnershipLayout,
    measured: heat.ServiceHeat,
    *,
    was_active: bool,
) -> rebalance_policy.RebalanceDecision:
    """Return the moves that a method makes in one round."""
    raise NotImplementedError(type(method).__name__)


@decide_moves.register
def _(
    method: StaticPlacement,
    layout: rebalance_policy.OwnershipLayout,
    measured: heat.ServiceHeat,
    *,
    was_active: bool,
) -> rebalance_policy.RebalanceDecision:
    return rebalance_policy.RebalanceDecision((), is_active=False, max_to_mean_ratio=0.0)


@decide_moves.register
def _(
    method: LoadBasedPlacement,
    layout: rebalance_policy.OwnershipLayout,
    measured: heat.ServiceHeat,
    *,
    was_active: bool,
) -> rebalance_policy.RebalanceDecision:
    observed = measured if method.moves_keys else dataclasses.replace(measured, keys=())
    return rebalance_policy.decide_moves(
        layout, observed, len(layout.owners), method.limits, was_active=was_active
    )


class PlacementSimulation:
    """Simulates the rounds of a trial with one placement method."""

    def __init__(self, parameters: TrialParameters, method: PlacementMethod) -> None:
        self._parameters = parameters
        self._method = method
        self._generator = random.Random(parameters.seed)
        self._sampler = workload.KeySampler(parameters.keys, parameters.zipf_exponent)
        self._key_by_rank = list(range(parameters.keys))
        self._policy = _create_policy(parameters)
        servers = tuple(server.name for server in self._policy.servers)
        owners = {
            number: servers[number % parameters.servers] for number in range(parameters.partitions)
        }
        self._layout = rebalance_policy.OwnershipLayout(owners, {}, servers)
        self._counter = heat_counter.HeatCounter()
        self._imbalances: list[float] = []
        self._moves: list[rebalance_policy.ProposedMove] = []
        self._rounds_with_moves = 0

    def run(self) -> MethodResult:
        """Run all rounds and return the results."""
        was_active = False
        for number in range(self._parameters.rounds):
            if number % self._parameters.rounds_per_change == 0:
                self._generator.shuffle(self._key_by_rank)
            self._imbalances.append(self._serve_round())
            was_active = self._rebalance(was_active=was_active)
        return self._summarize()

    def _serve_round(self) -> float:
        served: collections.Counter[str] = collections.Counter()
        for _ in range(PERIODS_PER_ROUND):
            for _ in range(REQUESTS_PER_PERIOD):
                key = f"key-{self._key_by_rank[self._sampler.draw(self._generator)]}"
                partition = _find_partition(key, self._parameters.partitions)
                owner = self._layout.hot_keys.get(key, self._layout.owners[partition])
                served[owner] += 1
                if self._generator.random() < self._parameters.sampled:
                    self._counter.count(self._policy, partition, key)
            self._counter.close_period()
        return max(served.values()) * self._parameters.servers / sum(served.values())

    def _rebalance(self, *, was_active: bool) -> bool:
        measured = self._counter.report.find_service(self._policy.name)
        if measured is None:
            return False
        decision = decide_moves(self._method, self._layout, measured, was_active=was_active)
        self._moves.extend(decision.moves)
        self._rounds_with_moves += bool(decision.moves)
        for move in decision.moves:
            self._layout = apply_move(move, self._layout)
        return decision.is_active

    def _summarize(self) -> MethodResult:
        key_moves = sum(isinstance(move, rebalance_policy.ProposedKeyMove) for move in self._moves)
        partition_moves = len(self._moves) - key_moves
        keys_per_partition = self._parameters.keys / self._parameters.partitions
        moved_keys = partition_moves * keys_per_partition + key_moves
        ordered = sorted(self._imbalances)
        return MethodResult(
            method=self._method.name,
            mean_imbalance=round(statistics.fmean(ordered), 3),
            p95_imbalance=round(ordered[int(0.95 * len(ordered))], 3),
            worst_imbalance=round(ordered[-1], 3),
            partition_moves=partition_moves,
            key_moves=key_moves,
            key_churn=round(moved_keys / self._parameters.keys, 3),
            rounds_with_moves=self._rounds_with_moves,
        )


@functools.singledispatch
def apply_move(
    move: rebalance_policy.ProposedMove, layout: rebalance_policy.OwnershipLayout
) -> rebalance_policy.OwnershipLayout:
    """Return the layout after a move."""
    raise NotImplementedError(type(move).__name__)


@apply_move.register
def _(
    move: rebalance_policy.ProposedPartitionMove, layout: rebalance_policy.OwnershipLayout
) -> rebalance_policy.OwnershipLayout:
    owners = {**layout.owners, move.partition: move.to_server}
    return dataclasses.replace(layout, owners=owners)


@apply_move.register
def _(
    move: rebalance_policy.ProposedKeyMove, layout: rebalance_policy.OwnershipLayout
) -> rebalance_policy.OwnershipLayout:
    return dataclasses.replace(layout, hot_keys={**layout.hot_keys, move.key: move.to_server})


_find_partition = functools.lru_cache(maxsize=200_000)(rendezvous.find_partition)


def _create_policy(parameters: TrialParameters) -> preset.ServicePolicy:
    address = identity.Address("127.0.0.1", 1)
    servers = tuple(
        preset.BackendServer(name=f"server-{number:02d}", address=address, failure_domain="one")
        for number in range(parameters.servers)
    )
    return preset.ServicePolicy(
        name="trial", keyed=True, servers=servers, partitions=parameters.partitions
    )


def run_trial(parameters: TrialParameters) -> TrialResult:
    """Run all methods with the same parameters."""
    return TrialResult(
        parameters, tuple(PlacementSimulation(parameters, method).run() for method in METHODS)
    )


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--servers", type=int, default=14, show_default=True)
@click.option("--partitions", type=int, default=256, show_default=True)
@click.option("--keys", type=int, default=20_000, show_default=True)
@click.option("--zipf", type=float, default=0.9, show_default=True)
@click.option("--rounds", type=int, default=40, show_default=True)
@click.option("--rounds-per-change", type=int, default=20, show_default=True)
@click.option("--sampled", type=float, default=0.33, show_default=True)
@click.option("--results", type=click.Path(path_type=pathlib.Path), default=RESULTS_FOLDER)
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
    """Compare all methods with the same parameters and write the results as JSON."""
    parameters = TrialParameters(
        seed, servers, partitions, keys, zipf, rounds, rounds_per_change, sampled
    )
    result = run_trial(parameters)
    results.mkdir(parents=True, exist_ok=True)
    path = results / f"placement-{servers}-{zipf}-{sampled}-{seed}.json"
    path.write_text(json.dumps(documents.to_json_value(result), indent=1) + "\n")
    for item in result.results:
        click.echo(str(documents.encode_document(item)))
    click.echo(str(path))


if __name__ == "__main__":
    main()
