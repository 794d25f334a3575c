"""Tests of a lessor's tenure over a fake store and fake servers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import pytest

from goldcresthall.ranges import lessor
from goldcresthall.ranges import membership
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import range_rebalancer
from goldcresthall.ranges import transitions
from tests.fakes import range_simulation

if TYPE_CHECKING:
    from goldcresthall.core import key_ranges


@pytest.fixture
def simulation() -> range_simulation.RangeSimulation:
    """Return a world whose first instance has granted all keys."""
    created = range_simulation.RangeSimulation()
    created.instances[0].take_over()
    created.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    return created


def read_table(simulation: range_simulation.RangeSimulation) -> key_ranges.OwnershipTable:
    return ownership_tables.decode(simulation.store.records[-1]).table


def test_all_keys_are_granted_once_and_evenly(simulation: range_simulation.RangeSimulation) -> None:
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    owners = {item.owner for item in read_table(simulation).assignments}
    assert len(owners) == len(simulation.servers)
    assert len(simulation.store.records) == 2


def test_keys_of_a_crashed_server_move_after_its_grant_ran_out(
    simulation: range_simulation.RangeSimulation,
) -> None:
    crashed = next(iter(simulation.servers.values()))
    crashed.is_up = False
    simulation.advance(2.0)
    assert simulation.count_held() < len(range_simulation.SAMPLED_KEYS)
    simulation.advance(3.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_keys_of_a_draining_server_move_with_their_handover(
    simulation: range_simulation.RangeSimulation,
) -> None:
    leaving = next(iter(simulation.servers))
    simulation.register_server(leaving, draining=True)
    simulation.advance(0.5)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    assert leaving not in {item.owner for item in read_table(simulation).assignments}


def test_a_successor_goes_on_renewing_at_once(simulation: range_simulation.RangeSimulation) -> None:
    before = {item.keys: item.owner for item in read_table(simulation).assignments}
    simulation.instances[0].is_frozen = True
    simulation.instances[1].take_over()
    simulation.advance(8.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    assert {item.keys: item.owner for item in read_table(simulation).assignments} == before


def test_a_lessor_without_the_store_stops_renewing_before_a_successor_moves(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    first.store.is_down = True
    second.channel.unreachable.add("server-0")
    second.take_over()
    simulation.advance(lessor.AUTHORITY_S + 6.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    assert "server-0" not in {item.owner.name for item in read_table(simulation).assignments}


def test_a_range_whose_grant_had_no_answer_gets_a_higher_fence(
    simulation: range_simulation.RangeSimulation,
) -> None:
    before = {item.keys: item.fence for item in read_table(simulation).assignments}
    simulation.instances[0].channel.delays_grants = True
    simulation.advance(0.5)
    simulation.instances[0].channel.delays_grants = False
    simulation.advance(1.0)
    after = {item.keys: item.fence for item in read_table(simulation).assignments}
    assert all(after[keys] > fence for keys, fence in before.items())


def drain_after_a_late_grant(simulation: range_simulation.RangeSimulation) -> None:
    """Have the first server's renewal carried out after its keys were taken back."""
    leaving = next(iter(simulation.servers))
    simulation.instances[0].channel.delays_grants = True
    simulation.advance(0.6)
    simulation.instances[0].channel.delays_grants = False
    simulation.register_server(leaving, draining=True)
    simulation.advance(0.6)
    simulation.deliver_delayed_grants()


def test_a_late_grant_makes_no_second_holder(simulation: range_simulation.RangeSimulation) -> None:
    drain_after_a_late_grant(simulation)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_without_higher_fences_a_late_grant_makes_a_second_holder(
    simulation: range_simulation.RangeSimulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = range_rebalancer.RangeRebalancer._release

    def release(self: Any, holding_id: int, item: range_leases.RangeLease, target: Any) -> None:
        original(self, holding_id, dataclasses.replace(item, unanswered=False), target)

    movable = property(
        lambda self: self.phase is range_leases.LeasePhase.HELD and not self.in_flight
    )
    monkeypatch.setattr(range_leases.RangeLease, "is_movable", movable)
    monkeypatch.setattr(transitions, "demand_fence", lambda present: None)
    monkeypatch.setattr(range_rebalancer.RangeRebalancer, "_release", release)
    with pytest.raises(AssertionError, match="is held by"):
        drain_after_a_late_grant(simulation)


def test_hot_keys_are_spread(simulation: range_simulation.RangeSimulation) -> None:
    keys = tuple(range(100, 160))
    for _ in range(30):
        simulation.count_requests(simulation.instances[0], keys)
        simulation.advance(0.5)
    owners = {
        item.owner
        for item in read_table(simulation).assignments
        if item.keys.first <= 159 and item.keys.last >= 100
    }
    assert len(owners) > 1


def test_a_hot_spot_goes_to_several_servers_at_once() -> None:
    simulation = range_simulation.RangeSimulation(server_count=24, instance_count=1)
    simulation.instances[0].take_over()
    simulation.advance(3.0)
    keys = tuple(range(100, 400))
    for _ in range(4):
        simulation.count_requests(simulation.instances[0], keys)
        simulation.advance(0.5)
    owners = {
        item.owner
        for item in read_table(simulation).assignments
        if item.keys.first <= keys[-1] and item.keys.last >= keys[0]
    }
    assert len(owners) > 6


def test_servers_that_come_one_after_the_other_all_get_keys_at_first() -> None:
    simulation = range_simulation.RangeSimulation(server_count=2, instance_count=1)
    simulation.instances[0].take_over()
    for number in range(2, 10):
        simulation.advance(0.3)
        simulation.start_server(f"server-{number}")
    simulation.advance(2.0)
    assert len({item.owner.name for item in read_table(simulation).assignments}) == 10
    assert {item.fence for item in read_table(simulation).assignments} == {1}


def test_the_first_division_waits_no_longer_than_its_bound() -> None:
    simulation = range_simulation.RangeSimulation(server_count=2, instance_count=1)
    simulation.instances[0].take_over()
    for number in range(2, 30):
        simulation.advance(0.2)
        simulation.start_server(f"server-{number}")
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_a_release_that_was_not_sent_leaves_the_range_with_its_owner(
    simulation: range_simulation.RangeSimulation,
) -> None:
    owner = read_table(simulation).assignments[0].owner
    simulation.instances[0].channel.refuses_releases = True
    keys = read_table(simulation).assignments[0].keys
    for _ in range(6):
        simulation.count_requests(
            simulation.instances[0], tuple(range(keys.first, keys.first + 40))
        )
        simulation.advance(0.4)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    assert simulation.servers[owner].has(keys.first, simulation.clock.read_s())
    current = simulation.instances[0].current
    assert current is not None
    assert all(item.ready for item in current.leases.create_view().owners)


def test_a_write_whose_answer_was_lost_is_found(
    simulation: range_simulation.RangeSimulation,
) -> None:
    leaving = next(iter(simulation.servers))
    simulation.instances[0].store.drops_responses = True
    simulation.register_server(leaving, draining=True)
    simulation.advance(1.5)
    simulation.instances[0].store.drops_responses = False
    simulation.advance(1.5)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    assert not any(
        simulation.servers[leaving].has(key, simulation.clock.read_s()) for key in range(65_536)
    )


def test_a_lessor_that_was_succeeded_grants_no_more(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    second.take_over()
    simulation.advance(2.0)
    assert first.current is not None
    assert first.current.is_over


def test_after_a_hand_over_nobody_is_waited_for(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    assert first.current is not None
    first.current.hand_over()
    second.take_over()
    assert read_table(simulation).predecessors == ()
    simulation.advance(1.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
