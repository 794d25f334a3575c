"""Tests of the tasks that renew leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.ranges import lease_renewal
from goldcresthall.ranges import membership
from tests.fakes import range_simulation

if TYPE_CHECKING:
    import pytest


def test_grant_for_a_server_without_an_address_does_not_stay_in_flight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such a range was never renewed, freed or expired again, and no handover was recorded."""
    simulation = range_simulation.RangeSimulation()
    simulation.instances[0].take_over()
    simulation.advance(membership.STABILIZATION_WINDOW_S + 0.5)
    own_term = simulation.instances[0].own_term
    assert own_term is not None
    renewers = own_term._renewers
    owner = next(iter(simulation.servers))
    assert renewers.find_server(owner) is not None
    renewers._servers.pop(owner)
    simulation.clock.advance(1.2)

    class OneTurn:
        """Lets the task take one command."""

        def __init__(self) -> None:
            self._turns = 0

        @property
        def is_set(self) -> bool:
            self._turns += 1
            return self._turns > 1

    monkeypatch.setattr(lease_renewal, "MAX_GRANT_WAIT_S", 0.0)
    renewers._run(owner, OneTurn())  # type: ignore[arg-type]
    leases = own_term.leases.snapshot().leases.values()
    assert not any(lease.in_flight for lease in leases)
