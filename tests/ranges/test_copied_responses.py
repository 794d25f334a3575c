"""Tests of a lessor whose servers send copies of earlier responses instead of the true ones."""

from __future__ import annotations

import pytest

from goldcresthall.ranges import grants
from goldcresthall.ranges import membership
from tests.fakes import range_simulation

FAULTY = "server-0"
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
