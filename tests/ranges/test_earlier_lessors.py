"""Tests of a lessor beside an earlier one that lost the store and goes on renewing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.ranges import lessor
from goldcresthall.ranges import membership
from goldcresthall.ranges import ownership_tables
from tests.fakes import range_simulation

if TYPE_CHECKING:
    from goldcresthall.core import deployment

RENEWAL_PHASES_S = tuple(tenth / 10 for tenth in range(10))


def create_succession(phase_s: float = 0.0) -> range_simulation.RangeSimulation:
    """Return a simulation whose first lessor lost the store and has a successor.

    Parameters
    ----------
    phase_s
        Time of the takeover within the interval between the first lessor's renewals.
    """
    created = range_simulation.RangeSimulation()
    first, second = created.instances
    first.take_over()
    created.advance(membership.STABILIZATION_WINDOW_S + 1.0 + phase_s)
    first.store.is_down = True
    first.sees_changes = False
    second.take_over()
    created.advance(0.3)
    return created


@pytest.fixture
def simulation() -> range_simulation.RangeSimulation:
    """Return a simulation whose first lessor lost the store and has a successor."""
    return create_succession()


def list_owners(
    simulation: range_simulation.RangeSimulation,
) -> frozenset[deployment.ServerIncarnation]:
    """Return the owners in the stored table."""
    table = ownership_tables.decode(simulation.store.records[-1]).table
    return frozenset(assignment.owner for assignment in table.assignments)


def find_first(simulation: range_simulation.RangeSimulation) -> deployment.ServerIncarnation:
    return next(iter(simulation.servers))


@pytest.mark.parametrize("phase_s", RENEWAL_PHASES_S)
def test_earlier_lessor_renews_at_no_restarted_server_that_released_its_keys(
    phase_s: float,
) -> None:
    """The next incarnation knows no fencing token and took an earlier lessor's renewal (OWNER)."""
    simulation = create_succession(phase_s)
    leaving = find_first(simulation)
    simulation.register_server(leaving, draining=True)
    simulation.advance(0.3)
    simulation.start_server(leaving.name, registers=False)
    simulation.advance(2.0)


@pytest.mark.parametrize("phase_s", RENEWAL_PHASES_S)
def test_earlier_lessor_renews_at_no_restarted_server_that_answered_a_release(
    phase_s: float,
) -> None:
    """A release that the next incarnation answers proves nothing of later renewals (OWNER)."""
    simulation = create_succession(phase_s)
    leaving = find_first(simulation)
    simulation.start_server(leaving.name, registers=False)
    simulation.register_server(leaving, draining=True)
    simulation.advance(2.0)


def test_draining_server_stays_ready_until_the_earlier_lessor_has_stopped(
    simulation: range_simulation.RangeSimulation,
) -> None:
    leaving = find_first(simulation)
    simulation.register_server(leaving, draining=True)
    simulation.advance(lessor.PREDECESSOR_WAIT_S - 1.0)
    assert leaving in list_owners(simulation)
    own_term = simulation.instances[1].own_term
    assert own_term is not None
    assert all(owner.ready for owner in own_term.leases.create_view().owners)
    simulation.advance(1.5)
    assert leaving not in list_owners(simulation)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_draining_server_releases_at_once_after_the_proof_that_the_earlier_lessor_has_stopped(
    simulation: range_simulation.RangeSimulation,
) -> None:
    leaving = find_first(simulation)
    simulation.register_server(leaving, draining=True)
    simulation.advance(0.5)
    first, second = simulation.instances
    assert first.own_term is not None
    assert second.own_term is not None
    first.own_term.step_down(0.0)
    second.own_term.end_predecessor_wait()
    simulation.advance(0.5)
    assert leaving not in list_owners(simulation)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_keys_of_a_replaced_server_stay_until_the_earlier_lessor_has_stopped(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """The server may get its address back, and knows no fencing token then (OWNER)."""
    replaced = find_first(simulation)
    simulation.replace_server(replaced)
    simulation.advance(2.0)
    assert replaced in list_owners(simulation)
    simulation.advance(lessor.PREDECESSOR_WAIT_S)
    assert replaced not in list_owners(simulation)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_busy_ranges_are_not_split_while_no_range_may_move(
    simulation: range_simulation.RangeSimulation,
) -> None:
    own_term = simulation.instances[1].own_term
    assert own_term is not None
    before = len(own_term.leases.snapshot().leases)
    for _ in range(8):
        simulation.count_requests(simulation.instances[1], tuple(range(100, 160)))
        simulation.advance(0.5)
    assert len(own_term.leases.snapshot().leases) == before
    for _ in range(16):
        simulation.count_requests(simulation.instances[1], tuple(range(100, 160)))
        simulation.advance(0.5)
    assert len(own_term.leases.snapshot().leases) > before
