"""Tests of ranges that leave cold owners and owners in evacuated failure domains."""

from __future__ import annotations

import dataclasses

import pytest

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.gateway import evacuations
from goldcresthall.ranges import cold_owners
from goldcresthall.ranges import load_statistics
from goldcresthall.ranges import membership
from goldcresthall.ranges import range_leases
from tests.fakes import range_simulation

RATE_PER_S = 5.0
WARM_UP_S = 12.0
ALL_HELD = len(range_simulation.SAMPLED_KEYS)


@pytest.fixture
def simulation() -> range_simulation.RangeSimulation:
    """Return a simulation with a limit for cold servers, whose first instance granted all keys."""
    return create_simulation(cold=())


def create_simulation(cold: tuple[int, ...]) -> range_simulation.RangeSimulation:
    """Return a simulation in which the servers of the given numbers start cold."""
    created = range_simulation.RangeSimulation()
    for instance in created.instances:
        instance.directory.configurations.apply(range_simulation.limit_cold_servers(RATE_PER_S))
    for number in cold:
        turn_cold(created, find_server(created, number))
    created.instances[0].take_over()
    created.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    return created


def find_server(
    simulation: range_simulation.RangeSimulation, number: int
) -> deployment.ServerIncarnation:
    return next(known for known in simulation.servers if known.name == f"server-{number}")


def turn_cold(
    simulation: range_simulation.RangeSimulation, incarnation: deployment.ServerIncarnation
) -> None:
    simulation.register_server(incarnation, warm_up_s=WARM_UP_S)


def list_leases(
    simulation: range_simulation.RangeSimulation,
) -> list[range_leases.RangeLease]:
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    return list(own_term.leases.snapshot().leases.values())


def list_owners(simulation: range_simulation.RangeSimulation) -> set[str]:
    return {lease.owner.name for lease in list_leases(simulation) if lease.owner is not None}


def load(
    simulation: range_simulation.RangeSimulation, requests_per_s: int, seconds: int = 12
) -> None:
    """Report requests for evenly spread keys for some seconds."""
    step = key_ranges.KEY_COUNT // requests_per_s
    for _ in range(seconds):
        simulation.count_requests(
            simulation.instances[0], tuple(range(0, key_ranges.KEY_COUNT, step))
        )
        simulation.advance(1.0)


def test_owner_that_turned_cold_gives_up_its_ranges_by_release(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """It is several times slower for a while, and crashes under its usual load."""
    cold = find_server(simulation, 1)
    assert cold.name in list_owners(simulation)
    turn_cold(simulation, cold)
    simulation.advance(1.0)
    assert cold.name not in list_owners(simulation)
    assert simulation.count_held() == ALL_HELD


def test_owner_that_started_again_cold_gives_up_its_ranges(
    simulation: range_simulation.RangeSimulation,
) -> None:
    simulation.start_server("server-1", registers=False)
    restarted = max(known for known in simulation.servers if known.name == "server-1")
    turn_cold(simulation, restarted)
    simulation.advance(2.0)
    assert "server-1" not in list_owners(simulation)
    assert simulation.count_held() == ALL_HELD


def test_cold_server_gets_no_ranges_until_it_is_warm() -> None:
    simulation = create_simulation(cold=(2,))
    assert list_owners(simulation) == {"server-0", "server-1", "server-3"}
    load(simulation, 64)
    simulation.advance(5.0)
    assert "server-2" in list_owners(simulation)


def test_ranges_are_assigned_although_nearly_all_servers_are_cold() -> None:
    """All servers of a deployment start together."""
    simulation = create_simulation(cold=(0, 1, 2, 3))
    assert simulation.count_held() == ALL_HELD
    assert len(list_owners(simulation)) == 4


def test_cold_owner_keeps_what_it_bears_if_the_others_are_overloaded(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """Each server runs 4 requests of 0.2 s, that is 20 a second."""
    load(simulation, 64)
    cold = find_server(simulation, 1)
    turn_cold(simulation, cold)
    load(simulation, 64, seconds=4)
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    rates = own_term.statistics.estimate_rates(range_simulation.SERVICE, simulation.clock.read_s())
    kept = [lease for lease in list_leases(simulation) if lease.owner == cold]
    assert 0 < sum(rates.sum_range(lease.keys) for lease in kept) <= 1.1 * RATE_PER_S


def test_staggered_warm_ups_release_each_range_of_a_cold_owner_once() -> None:
    """Ranges were released each 0.2 s and placed on the same cold owners again."""
    simulation = range_simulation.RangeSimulation()
    simulation.directory.configurations.apply(range_simulation.limit_cold_servers(RATE_PER_S))
    for number, incarnation in enumerate(simulation.servers):
        simulation.register_server(incarnation, warm_up_s=14.0 if number else 8.0)
    simulation.instances[0].take_over()
    simulation.advance(6.0)
    before = list_leases(simulation)
    simulation.advance(2.9)
    assert list_leases(simulation) == [
        dataclasses.replace(
            lease, due_at_s=now.due_at_s, latest_arrival_at_s=now.latest_arrival_at_s
        )
        for lease, now in zip(before, list_leases(simulation), strict=True)
    ]
    writes = len(simulation.store.records)
    simulation.advance(7.0)
    assert len(simulation.store.records) - writes <= 2 * len(before)
    assert simulation.count_held() == ALL_HELD


def test_draining_owner_that_is_cold_leaves_once(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """It has no say in which servers are cold, and its ranges are released as a whole."""
    cold = find_server(simulation, 1)
    simulation.register_server(cold, draining=True, warm_up_s=WARM_UP_S)
    cold_servers = cold_owners.ColdServers(
        simulation.instances[0].context, load_statistics.LoadStatistics()
    )
    now_s = simulation.clock.read_s()
    assert not cold_servers.list_assignable(range_simulation.SERVICE, now_s).cold
    simulation.advance(1.0)
    assert cold.name not in list_owners(simulation)
    assert simulation.count_held() == ALL_HELD


def test_cold_owner_that_rejects_new_connections_keeps_its_ranges(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """Its lease ran out, and its keys had no owner meanwhile, although it went on serving them."""
    cold = find_server(simulation, 1)
    simulation.instances[0].channel.rejects_connections.add(cold.name)
    turn_cold(simulation, cold)
    for _ in range(30):
        simulation.advance(0.2)
        assert simulation.count_held() == ALL_HELD
    assert cold.name in list_owners(simulation)


def test_cold_owner_is_not_split_while_no_release_may_begin(
    simulation: range_simulation.RangeSimulation,
) -> None:
    load(simulation, 64)
    before = len(list_leases(simulation))
    simulation.instances[0].store.is_down = True
    simulation.advance(2.0)
    turn_cold(simulation, find_server(simulation, 1))
    load(simulation, 64, seconds=2)
    assert len(list_leases(simulation)) == before


ONE_RANGE = range_leases.RangeLease(
    service=range_simulation.SERVICE,
    keys=key_ranges.KeyRange(0, 999),
    owner=deployment.ServerIncarnation("cold", 1),
    phase=range_leases.LeasePhase.HELD,
)


@pytest.mark.parametrize(
    ("rate", "may_split", "leaving"),
    [(1.2, True, 0), (2.0, True, 500), (2.0, False, 1_000)],
)
def test_cold_owner_gives_up_parts_only_above_a_margin_and_if_splits_are_allowed(
    rate: float, *, may_split: bool, leaving: int
) -> None:
    """Noisy rates split ranges again and again, also when the table was nearly too large."""
    keys = tuple(range(0, 1_000, 10))
    sums = tuple(rate * count / len(keys) for count in range(len(keys) + 1))
    rates = load_statistics.KeyRates(keys, sums, 0.0)
    surplus = cold_owners.list_surplus((ONE_RANGE,), 1.0, rates, may_split=may_split)
    assert sum(part.keys.size for part in surplus) == pytest.approx(leaving, abs=10)


def test_without_a_limit_a_cold_owner_keeps_its_ranges() -> None:
    simulation = range_simulation.RangeSimulation()
    simulation.instances[0].take_over()
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    before = list_leases(simulation)
    turn_cold(simulation, find_server(simulation, 1))
    simulation.advance(2.0)
    assert [(lease.keys, lease.owner) for lease in list_leases(simulation)] == [
        (lease.keys, lease.owner) for lease in before
    ]


def evacuate(
    simulation: range_simulation.RangeSimulation, position: int, *failure_domains: str
) -> None:
    evacuated = evacuations.EvacuatedDomains(position, frozenset(failure_domains))
    for instance in simulation.instances:
        instance.directory.apply_evacuations(evacuated)


def test_ranges_leave_an_evacuated_domain_and_come_back_after_it(
    simulation: range_simulation.RangeSimulation,
) -> None:
    evacuate(simulation, 1, "odd")
    simulation.advance(1.0)
    assert list_owners(simulation) == {"server-0", "server-2"}
    assert simulation.count_held() == ALL_HELD
    evacuate(simulation, 2)
    load(simulation, 64)
    assert len(list_owners(simulation)) == 4


def test_ranges_of_an_evacuated_domain_wait_until_a_server_is_left_outside(
    simulation: range_simulation.RangeSimulation,
) -> None:
    evacuate(simulation, 1, "odd", "even")
    simulation.advance(2.0)
    assert simulation.count_held() == 0
    evacuate(simulation, 2, "odd")
    simulation.advance(1.0)
    assert simulation.count_held() == ALL_HELD
    assert list_owners(simulation) == {"server-0", "server-2"}


def test_evacuated_owner_that_started_again_leaves_as_well(
    simulation: range_simulation.RangeSimulation,
) -> None:
    evacuate(simulation, 1, "odd")
    simulation.start_server("server-1")
    simulation.advance(2.0)
    assert "server-1" not in list_owners(simulation)
    assert simulation.count_held() == ALL_HELD
