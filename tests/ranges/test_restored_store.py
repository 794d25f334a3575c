"""Tests of the owners of ranges when the store comes back from a copy, with simulated servers."""

from __future__ import annotations

import pytest

from goldcresthall.core import key_ranges
from goldcresthall.kernel import tasks
from goldcresthall.ranges import lessor
from goldcresthall.ranges import membership
from goldcresthall.ranges import owners
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import takeover
from goldcresthall.store import positions
from tests.fakes import range_simulation

ALL_KEYS = len(range_simulation.SAMPLED_KEYS)
# Until no lease that an unknown lessor granted can last.
UNKNOWN_HOLD_S = lessor.PREDECESSOR_WAIT_S + lessor.LEASE_DURATION_S * 1.03 + 0.3


@pytest.fixture
def simulation() -> range_simulation.RangeSimulation:
    """Return a simulation whose first instance has granted all keys, with a copy of the store."""
    created = range_simulation.RangeSimulation()
    created.instances[0].take_over()
    created.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    created.store.copy()
    return created


def move_keys(simulation: range_simulation.RangeSimulation) -> None:
    """Move the keys of the first server to the others."""
    leaving = next(iter(simulation.servers))
    simulation.register_server(leaving, draining=True)
    simulation.advance(1.0)
    assert simulation.count_held() == ALL_KEYS


def find_holders(simulation: range_simulation.RangeSimulation) -> dict[int, str]:
    now_s = simulation.clock.read_s()
    return {
        key: server.incarnation.name
        for key in range_simulation.SAMPLED_KEYS
        for server in simulation.servers.values()
        if server.has(key, now_s)
    }


def read_table(simulation: range_simulation.RangeSimulation) -> key_ranges.StoredTable:
    stored = ownership_tables.read(simulation.instances[0].store)
    assert stored is not None
    return stored


# Guards against two holders of a key after a drill of the store (OWNER): the table went back to
# the earlier owners, and fencing tokens were given out again.
def test_keys_stay_with_their_holders_when_the_table_goes_back(
    simulation: range_simulation.RangeSimulation,
) -> None:
    move_keys(simulation)
    holders = find_holders(simulation)
    simulation.store.restore()
    simulation.advance(12.0)
    assert find_holders(simulation) == holders


def test_lessor_whose_takeover_was_lost_goes_on_with_its_own_table(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    assert first.own_term is not None
    assert first.own_term.hand_over()
    second.take_over()
    move_keys(simulation)
    holders = find_holders(simulation)
    simulation.store.restore()
    for _ in range(12):
        simulation.advance(1.0)
        assert find_holders(simulation) == holders
    assert read_table(simulation).table.lessor == second.own


# Guards against two holders long after the drill (OWNER): the lessor once went on by its memory and
# left the earlier table in the store for its successor.
def test_table_is_written_again_for_the_successor_of_a_lessor_killed_later(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    move_keys(simulation)
    simulation.store.restore()
    simulation.advance(10.0)
    holders = find_holders(simulation)
    assert not ownership_tables.is_from_copy(read_table(simulation))
    first.own_term = None
    second.take_over()
    simulation.advance(12.0)
    assert find_holders(simulation) == holders


def test_nothing_is_granted_by_a_copy_before_unknown_leases_have_run_out(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """The lessor that had moved keys is lost together with its records."""
    first, second = simulation.instances
    move_keys(simulation)
    simulation.store.restore()
    first.own_term = None
    second.take_over()
    before = [len(server.highest_fences) for server in simulation.servers.values()]
    highest = {max(server.highest_fences.values()) for server in simulation.servers.values()}
    simulation.advance(UNKNOWN_HOLD_S - 0.2)
    assert [len(server.highest_fences) for server in simulation.servers.values()] == before
    after = {max(server.highest_fences.values()) for server in simulation.servers.values()}
    assert after == highest
    simulation.advance(1.5)
    assert simulation.count_held() == ALL_KEYS


def test_successor_in_the_wait_for_unknown_leases_waits_as_well(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    move_keys(simulation)
    simulation.store.restore()
    first.own_term = None
    second.take_over()
    simulation.advance(3.0)
    second.own_term = None
    simulation.advance(lessor.LEASE_DURATION_S)
    assert simulation.count_held() == 0
    first.take_over()
    simulation.advance(UNKNOWN_HOLD_S - 0.2)
    assert simulation.count_held() == 0
    simulation.advance(1.5)
    assert simulation.count_held() == ALL_KEYS


def test_two_returns_in_a_row_keep_the_holders(
    simulation: range_simulation.RangeSimulation,
) -> None:
    move_keys(simulation)
    holders = find_holders(simulation)
    simulation.store.restore()
    simulation.advance(1.5)
    simulation.store.restore()
    simulation.advance(12.0)
    assert find_holders(simulation) == holders
    assert positions.find_era(read_table(simulation).table.term) == 2


def test_write_that_waits_for_its_response_over_the_return_does_not_count(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """It may be executed in the later era, where its condition holds by chance."""
    first = simulation.instances[0]
    first.store.delays_writes = True
    leaving = next(iter(simulation.servers))
    simulation.register_server(leaving, draining=True)
    simulation.advance(1.0)
    assert first.store.late_writes
    simulation.store.restore()
    first.store.deliver_writes()
    first.store.delays_writes = False
    simulation.advance(12.0)
    assert simulation.count_held() == ALL_KEYS
    assert not ownership_tables.is_from_copy(read_table(simulation))


def test_return_in_the_middle_of_a_takeover_leaves_one_lessor(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    second.store.delays_writes = True
    second.take_over()
    assert second.own_term is None
    simulation.store.restore()
    second.store.deliver_writes()
    second.store.delays_writes = False
    simulation.advance(12.0)
    second.take_over()
    simulation.advance(12.0)
    running = [
        instance.own
        for instance in (first, second)
        if instance.own_term is not None and not instance.own_term.is_over
    ]
    assert running == [second.own]
    assert simulation.count_held() == ALL_KEYS


def test_lessor_whose_authority_ended_does_not_use_its_table(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """Another lessor may have moved ranges since."""
    first, second = simulation.instances
    first.is_frozen = True
    second.take_over()
    simulation.advance(lessor.PREDECESSOR_WAIT_S + 0.5)
    move_keys(simulation)
    second.own_term = None
    simulation.store.restore()
    first.is_frozen = False
    simulation.advance(2.0)
    owners_known = {row.owner for row in read_table(simulation).table.assignments}
    assert owners_known == {key_ranges.UNKNOWN_SERVER}


def test_handover_after_the_return_leaves_the_owners_to_the_successor(
    simulation: range_simulation.RangeSimulation,
) -> None:
    first, second = simulation.instances
    move_keys(simulation)
    holders = find_holders(simulation)
    simulation.store.restore()
    assert first.own_term is not None
    first.store.read_newest(ownership_tables.TOPIC)
    assert first.own_term.hand_over()
    second.take_over()
    simulation.advance(lessor.LEASE_DURATION_S + 2.0)
    assert find_holders(simulation) == holders


def test_followers_leave_a_higher_offset_of_an_earlier_era(
    simulation: range_simulation.RangeSimulation,
) -> None:
    followed = owners.Owners(range_simulation.create_kernel(simulation.clock))
    followed.start()
    followed.apply(owners.OwnersView(positions.create(1, 900), 7))
    followed.apply(owners.OwnersView(positions.create(2, 4), 1))
    assert followed.view.term == positions.create(2, 4)


@pytest.mark.parametrize("first_start_era", [1, None])
def test_only_the_first_start_takes_an_empty_store_for_new(first_start_era: int | None) -> None:
    """After a return to a copy from before the first table, servers hold keys already."""
    simulation = range_simulation.RangeSimulation()
    simulation.store.restore()
    instance = simulation.instances[0]
    stored = ownership_tables.read(instance.store)
    assert stored is not None
    taken = takeover.take_over(
        instance.context,
        instance.own,
        stored,
        range_simulation.MAX_LEASE_S,
        tasks.StopSignal(),
        first_start_era=first_start_era,
    )
    assert taken.term is not None
    is_waiting = key_ranges.UNKNOWN_LESSOR in taken.term.predecessors
    assert is_waiting == (first_start_era is None)
