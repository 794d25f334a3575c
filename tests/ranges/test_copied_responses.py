"""Tests of a lessor whose servers send copies of earlier responses instead of the true ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.ranges import grants
from goldcresthall.ranges import membership
from tests.fakes import range_simulation

if TYPE_CHECKING:
    from goldcresthall.core import key_ranges

FAULTY = "server-0"
RENEWAL_PHASES_S = tuple(tenth / 10 for tenth in range(10))
REFUSALS = (
    grants.CommandRejected("status 503"),
    grants.CommandMisdirected("status 421"),
    grants.StaleFence("status 409"),
)


@pytest.fixture
def simulation() -> range_simulation.RangeSimulation:
    """Return a simulation in which no range has been granted yet."""
    created = range_simulation.RangeSimulation()
    created.instances[0].take_over()
    return created


def lose_faulty(simulation: range_simulation.RangeSimulation) -> None:
    """Cut the connection to the faulty server, which goes on holding what it was granted."""
    simulation.instances[0].channel.unreachable.add(FAULTY)
    simulation.advance(8.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


@pytest.mark.parametrize("refusal", REFUSALS)
def test_copied_refusal_of_a_first_grant_frees_no_range_that_was_taken(
    simulation: range_simulation.RangeSimulation, refusal: grants.CommandOutcome
) -> None:
    """Keys were given on up to 3 s before their holder's lease ended (OWNER)."""
    simulation.instances[0].channel.copied[FAULTY] = refusal
    simulation.advance(membership.STABILIZATION_WINDOW_S + 0.5)
    lose_faulty(simulation)


@pytest.mark.parametrize("refusal", REFUSALS)
def test_copied_refusal_of_a_renewal_does_not_shorten_the_lease(
    simulation: range_simulation.RangeSimulation, refusal: grants.CommandOutcome
) -> None:
    """Keys were given on up to 1 s before their holder's lease ended (OWNER)."""
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    simulation.instances[0].channel.copied[FAULTY] = refusal
    simulation.advance(1.1)
    lose_faulty(simulation)


def drain(simulation: range_simulation.RangeSimulation) -> None:
    """Let the faulty server drain and execute its late grants after its keys were given on."""
    faulty = next(iter(simulation.servers))
    simulation.register_server(faulty, draining=True)
    simulation.advance(1.0)
    simulation.deliver_delayed_grants()


@pytest.mark.parametrize("phase_s", RENEWAL_PHASES_S)
def test_grant_executed_after_its_copied_acknowledgement_makes_no_second_holder_on_a_drain(
    simulation: range_simulation.RangeSimulation, phase_s: float
) -> None:
    """The former holder took keys again by a renewal that it had seemed to acknowledge (OWNER)."""
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    simulation.instances[0].channel.acknowledges_early.add(FAULTY)
    simulation.advance(1.0 + phase_s)
    drain(simulation)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


@pytest.mark.parametrize("phase_s", RENEWAL_PHASES_S)
def test_grant_executed_after_its_copied_acknowledgement_makes_no_second_holder_on_a_move(
    simulation: range_simulation.RangeSimulation, phase_s: float
) -> None:
    """The former holder took keys again by a renewal that it had seemed to acknowledge (OWNER)."""
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    simulation.instances[0].channel.acknowledges_early.add(FAULTY)
    simulation.advance(1.0 + phase_s)
    faulty = next(iter(simulation.servers))
    for _ in range(4):
        simulation.count_requests(simulation.instances[0], range_simulation.SAMPLED_KEYS[:8] * 10)
        simulation.advance(0.3)
        simulation.deliver_delayed_grants()
    owners = {owner.owner for owner in list_owned(simulation) if owner.keys.first < 16_384}
    assert owners > {faulty}


def list_owned(
    simulation: range_simulation.RangeSimulation,
) -> tuple[key_ranges.RangeOwner, ...]:
    """Return the owners that instances see."""
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    return own_term.leases.create_view().owners


def test_keys_of_a_draining_server_move_within_three_steps(
    simulation: range_simulation.RangeSimulation,
) -> None:
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    faulty = next(iter(simulation.servers))
    simulation.register_server(faulty, draining=True)
    simulation.advance(0.3)
    assert not simulation.servers[faulty].leases
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def test_draining_server_that_rejects_new_connections_loses_its_keys_by_expiry(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """Its keys were unserved until it ended, since they could not be released with proof."""
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    simulation.instances[0].channel.rejects_connections.add(FAULTY)
    faulty = next(iter(simulation.servers))
    simulation.register_server(faulty, draining=True)
    simulation.advance(5.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    assert faulty not in {owner.owner for owner in list_owned(simulation)}


def test_busy_server_that_rejects_new_connections_keeps_its_keys_and_stays_ready(
    simulation: range_simulation.RangeSimulation,
) -> None:
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    channel = simulation.instances[0].channel
    channel.rejects_connections.add(FAULTY)
    faulty = next(iter(simulation.servers))
    held = set(simulation.servers[faulty].leases)
    written = len(simulation.store.records)
    for _ in range(50):
        simulation.count_requests(simulation.instances[0], range_simulation.SAMPLED_KEYS[:8] * 10)
        simulation.advance(0.1)
        assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
        assert all(owner.ready for owner in list_owned(simulation))
    assert set(simulation.servers[faulty].leases) == held
    assert len(simulation.store.records) - written <= 12
    channel.rejects_connections.clear()
    simulation.advance(1.3)
    assert set(simulation.servers[faulty].leases) < held


def test_range_that_waits_for_its_token_is_renewed_while_the_store_is_down(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """A range that must prove its token was not renewed before the token was recorded."""
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    simulation.instances[0].store.is_down = True
    simulation.register_server(next(iter(simulation.servers)), draining=True)
    simulation.advance(4.0)
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
    simulation.instances[0].store.is_down = False
    simulation.advance(1.0)
    assert not simulation.servers[next(iter(simulation.servers))].leases


def test_move_that_waits_is_cancelled_if_its_target_drains(
    simulation: range_simulation.RangeSimulation,
) -> None:
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    simulation.instances[0].channel.rejects_connections.add(FAULTY)
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    for _ in range(4):
        simulation.count_requests(simulation.instances[0], range_simulation.SAMPLED_KEYS[:8] * 10)
        simulation.advance(0.3)
    targets = {lease.target for lease in own_term.leases.snapshot().leases.values()} - {None}
    assert targets
    for incarnation in list(simulation.servers)[1:]:
        simulation.register_server(incarnation, draining=True)
    simulation.advance(0.5)
    remaining = {lease.target for lease in own_term.leases.snapshot().leases.values()}
    assert not remaining & targets


def test_copied_success_of_a_delayed_renewal_leaves_one_holder(
    simulation: range_simulation.RangeSimulation,
) -> None:
    """A renewal that seemed to be answered is executed after the release that followed (OWNER)."""
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    channel = simulation.instances[0].channel
    channel.copied[FAULTY] = grants.Granted()
    channel.delays_grants = True
    simulation.advance(0.6)
    channel.copied.clear()
    channel.delays_grants = False
    leaving = next(server for server in simulation.servers if server.name == FAULTY)
    simulation.register_server(leaving, draining=True)
    simulation.advance(0.6)
    simulation.deliver_delayed_grants()
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)
