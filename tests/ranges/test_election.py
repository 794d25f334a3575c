"""Tests of the end of a tenure as a successor sees it."""

from __future__ import annotations

import pytest

from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.gateway import estimates
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.peers import peer_metrics
from goldcresthall.ranges import election
from goldcresthall.ranges import owners
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import peer_channel
from tests.fakes import range_simulation
from tests.fakes import store


@pytest.fixture
def built(monkeypatch: pytest.MonkeyPatch) -> election.Election:
    """Return an election whose tasks do not run."""
    simulation = range_simulation.RangeSimulation()
    monkeypatch.setattr(tasks.Task, "start", lambda self: None)
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, simulation.clock)
    service_kernel.register(names.STORE, store.FakeStore(simulation.store))
    service_kernel.register(names.DIRECTORY, simulation.directory)
    service_kernel.register(names.OWNERS, owners.Owners(service_kernel))
    service_kernel.register(names.ESTIMATES, estimates.Estimates(service_kernel))
    service_kernel.register(names.GRANTS, range_simulation.FakeGrantChannel(simulation))
    service_kernel.register(
        names.PEERS, peer_channel.ThriftPeerDialer(peer_metrics.PeerMetrics.create_unregistered())
    )
    address = identity.Address("127.0.0.1", 7_000)
    settings = deployment_settings.DeploymentSettings(
        name="one",
        failure_domain="near",
        listen=deployment_settings.DeploymentListen(
            callers=address, readiness=address, peers=address
        ),
        store=address,
        heartbeat_s=1.0,
        max_lease_s=10.0,
        drain_s=2.0,
        grace_s=6.0,
    )
    created = election.Election.from_config(
        service_kernel, identity.Incarnation("one", "life"), settings
    )
    created.start()
    return created


def take_over(taking: election.Election) -> None:
    """Run one take-over, whose tenure ends at once."""
    stopped = tasks.StopSignal()
    found = ownership_tables.read(taking._store)
    assert found is not None
    taking._serve = lambda current, stop_signal: None  # type: ignore[method-assign]
    taking._take_over(found, stopped)


def test_an_instance_that_stood_down_before_its_take_over_ends_grants_nothing(
    built: election.Election,
) -> None:
    assert built.handle_step_down(term=1)
    take_over(built)
    assert not built.is_lessor


def test_a_tenure_does_not_stand_down_for_an_earlier_term(built: election.Election) -> None:
    take_over(built)
    assert built.is_lessor
    assert not built.handle_step_down(term=0)
    assert built.handle_step_down(term=1)
