"""Tests of joins: the ownership table stays bounded while the busy keys move."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import membership
from goldcresthall.ranges import range_joins
from goldcresthall.ranges import range_leases
from tests.fakes import range_simulation

CALM = load_statistics.KeyRates((), (0.0,), 0.0)
SERVERS = 4
# Moves split ranges between two plans; joins follow in the next ones.
SLACK = 16


def create_leases(*names: str) -> dict[int, range_leases.RangeLease]:
    """Return held leases on neighbouring ranges of ten keys each, by the names of their owners."""
    return {
        index: range_leases.RangeLease(
            service="ledger",
            keys=key_ranges.KeyRange(10 * index, 10 * index + 9),
            owner=deployment.ServerIncarnation(name, 1),
            phase=range_leases.LeasePhase.HELD,
            ready=True,
        )
        for index, name in enumerate(names)
    }


def test_neighbours_of_one_owner_are_joined_above_the_limit() -> None:
    leases = create_leases("a", "a", "b", "b")
    assert range_joins.find_joins(leases, CALM, limit=4) == ()
    joins = range_joins.find_joins(leases, CALM, limit=2)
    assert [(pair.first_id, pair.second_id) for pair in joins] == [(0, 1), (2, 3)]


def test_calmest_neighbours_are_joined_first() -> None:
    leases = create_leases("a", "a", "b", "b")
    rates = load_statistics.KeyRates((5,), (0.0, 9.0), 0.0)
    joins = range_joins.find_joins(leases, rates, limit=3)
    assert [(pair.first_id, pair.second_id) for pair in joins] == [(2, 3)]


def test_ranges_that_alternate_between_owners_are_brought_together() -> None:
    leases = create_leases("a", "b", "a", "b")
    assert range_joins.find_joins(leases, CALM, limit=1) == ()
    targets = frozenset(deployment.ServerIncarnation(name, 1) for name in ("a", "b"))
    assert range_joins.find_consolidations(leases, CALM, 4, targets) == ()
    assert range_joins.find_consolidations(leases, CALM, 2, targets)


def test_ranges_are_brought_together_only_at_servers_that_may_get_ranges() -> None:
    """A cold or evacuated neighbour's owner was chosen as a target."""
    leases = create_leases("a", "b", "a", "b")
    target = deployment.ServerIncarnation("b", 1)
    moves = range_joins.find_consolidations(leases, CALM, 2, frozenset({target}))
    assert {move.target for move in moves} == {target}
    assert range_joins.find_consolidations(leases, CALM, 2, frozenset()) == ()


def test_calm_ranges_are_joined_without_a_second_holder() -> None:
    simulation = range_simulation.RangeSimulation(SERVERS, instance_count=1)
    simulation.instances[0].take_over()
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    for first in range(0, 65_536, 1_024):
        own_term.leases.split("ledger", key_ranges.KeyRange(first, first + 1_023))
    before = len(own_term.leases.snapshot().leases)
    simulation.advance(8.0)
    after = len(own_term.leases.snapshot().leases)
    assert after <= range_joins.find_range_limit(SERVERS) < before
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


@hypothesis.settings(max_examples=8, deadline=None)
@hypothesis.given(
    hot_spots=strategies.lists(strategies.integers(0, 64_000), min_size=40, max_size=40)
)
def test_table_stays_bounded_while_the_busy_keys_move(hot_spots: list[int]) -> None:
    """The table once grew from 94 to 270 ranges in 44 s and never shrank."""
    simulation = range_simulation.RangeSimulation(SERVERS, instance_count=1)
    simulation.instances[0].take_over()
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    for first in hot_spots:
        for _ in range(4):
            simulation.count_requests(
                simulation.instances[0], tuple(range(first, first + 1_500, 25))
            )
            simulation.advance(0.5)
        ranges = len(own_term.leases.snapshot().leases)
        assert ranges <= range_joins.find_range_limit(SERVERS) + SLACK
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
