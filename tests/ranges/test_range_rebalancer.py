"""Tests of what the lessor plans and computes in each step."""

from __future__ import annotations

import dataclasses

import pytest

from goldcresthall.core import key_ranges
from goldcresthall.ranges import lessor
from goldcresthall.ranges import membership
from goldcresthall.ranges import range_leases
from goldcresthall.ranges import transitions
from tests.fakes import range_simulation

HOT_KEY = 30_000
HOT_REQUESTS_PER_S = 60


@pytest.fixture
def simulation() -> range_simulation.RangeSimulation:
    """Return a simulation whose first instance has granted all keys."""
    created = range_simulation.RangeSimulation(instance_count=1)
    created.instances[0].take_over()
    created.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    return created


def find_term(simulation: range_simulation.RangeSimulation) -> lessor.LessorTerm:
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    return own_term


def load_hot_key(simulation: range_simulation.RangeSimulation, seconds: int) -> None:
    """Report more work for one key than its owner can process."""
    for _ in range(2 * seconds):
        keys = (HOT_KEY,) * (HOT_REQUESTS_PER_S // 2)
        simulation.count_requests(simulation.instances[0], keys)
        simulation.advance(0.5)


def test_admissions_follow_the_load_while_the_store_is_away(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """The shares stayed as they were at the start of the outage."""
    simulation.instances[0].store.is_down = True
    simulation.advance(lessor.STORE_LOST_AFTER_S + 1.0)
    load_hot_key(simulation, 2)
    rows = find_term(simulation).admissions
    assert [row.keys for row in rows] == [key_ranges.KeyRange(HOT_KEY, HOT_KEY)]
    simulation.advance(6.0)
    assert not find_term(simulation).admissions


def test_admissions_of_a_service_end_with_its_configuration(
    simulation: range_simulation.RangeSimulation,
) -> None:
    load_hot_key(simulation, 3)
    assert find_term(simulation).admissions
    without = dataclasses.replace(range_simulation.CONFIGURATION, version=2, services=())
    simulation.directory.configurations.apply(without)
    simulation.advance(1.0)
    assert not find_term(simulation).admissions


def test_free_range_is_not_written_for_a_target_that_drains(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """A target was chosen, the write failed, and the target drained before the next one."""
    first, *others = simulation.servers
    leases = find_term(simulation).leases
    lease_id = leases.add(
        range_leases.RangeLease(
            service="other", keys=key_ranges.KeyRange(1, 9), owner=None, target=first
        )
    )
    simulation.register_server(first, draining=True)
    simulation.advance(0.1)
    lease = leases.snapshot().leases[lease_id]
    assert (lease.owner, lease.target) == (None, None)
    leases.update(lease_id, lambda lease: transitions.set_target(others[0], lease))
    simulation.advance(0.1)
    assert leases.snapshot().leases[lease_id].owner == others[0]
