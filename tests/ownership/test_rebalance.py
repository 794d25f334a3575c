"""Tests of rebalancing decisions: thresholds, hysteresis, hot keys and target choice."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcresthall.core import heat
from goldcresthall.ownership import rebalance_policy

LIMITS = rebalance_policy.RebalanceLimits()
SERVERS = ("archive-1", "archive-2", "archive-3")


def decide(
    rates: list[float],
    owners: dict[int, str],
    keys: tuple[heat.KeyHeat, ...] = (),
    *,
    was_active: bool = False,
) -> rebalance_policy.RebalanceDecision:
    measured = heat.ServiceHeat(
        service="archive",
        rate_per_s=sum(rates),
        partitions=tuple(heat.PartitionHeat(*item) for item in enumerate(rates)),
        keys=keys,
    )
    layout = rebalance_policy.OwnershipLayout(owners, {}, SERVERS)
    return rebalance_policy.decide_moves(
        layout, measured, len(rates), LIMITS, was_active=was_active
    )


def assign_round_robin(count: int) -> dict[int, str]:
    return {number: SERVERS[number % len(SERVERS)] for number in range(count)}


def test_moves_are_chosen_by_load_and_not_by_partition_count() -> None:
    decision = decide([20.0, 10.0, 10.0, 20.0, 10.0, 10.0, 10.0, 0.0, 0.0], assign_round_robin(9))
    assert decision.moves[0].from_server == "archive-1"
    assert decision.moves[0].to_server in ("archive-2", "archive-3")


def test_imbalance_below_the_start_ratio_causes_no_move() -> None:
    idle = decide([4.0, 2.9, 2.9, 4.0, 2.9, 2.9, 2.9, 2.9, 2.9], assign_round_robin(9))
    assert 1.1 < idle.max_to_mean_ratio < 1.25
    assert idle.moves == ()


def test_active_rebalancing_continues_down_to_the_stop_ratio() -> None:
    rates = [1.0] * 30
    owners = assign_round_robin(30) | {1: SERVERS[0], 4: SERVERS[0]}
    assert decide(rates, owners).moves == ()
    assert decide(rates, owners, was_active=True).moves != ()


def test_hot_key_moves_without_its_partition_if_the_partition_has_other_load() -> None:
    keys = (heat.KeyHeat("molde", 0, 20.0),)
    decision = decide([60.0, 20.0, 40.0], assign_round_robin(3), keys)
    alone = rebalance_policy.ProposedKeyMove("molde", 0, "archive-1", "archive-2", 20.0)
    assert decision.moves == (alone,)


def test_key_that_causes_all_load_is_not_moved() -> None:
    keys = (heat.KeyHeat("molde", 0, 90.0),)
    assert decide([90.0, 1.0, 1.0], assign_round_robin(3), keys).moves == ()


@hypothesis.given(
    rates=strategies.lists(strategies.floats(0.0, 100.0), min_size=3, max_size=24),
    was_active=strategies.booleans(),
)
def test_moves_never_increase_the_maximum_server_load(rates: list[float], was_active: bool) -> None:
    owners = assign_round_robin(len(rates))
    decision = decide(rates, owners, was_active=was_active)
    before = dict.fromkeys(SERVERS, 0.0)
    for number, owner in owners.items():
        before[owner] += rates[number]
    after = dict(before)
    for move in decision.moves:
        after[move.from_server] -= move.load_per_s
        after[move.to_server] += move.load_per_s
    assert len(decision.moves) <= LIMITS.max_moves_per_round
    assert max(after.values()) <= max(before.values()) + 1e-6
    assert len({move.from_server for move in decision.moves}) <= 1
