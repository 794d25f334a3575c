"""A directory, owners and estimates with a manual clock."""

from __future__ import annotations

import dataclasses
import math
import random

import pytest

from goldcresthall.admission import server_circuits
from goldcresthall.core import deployment
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.gateway import apertures
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import restrictions
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_finder
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import work_model
from goldcresthall.observability import metrics
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports
from tests.fakes import clock


class FixedInstances(reports.InstanceCounter):
    """Counter of a deployment with a number of live instances that the test sets."""

    def __init__(self) -> None:
        self.count = 4

    @property
    def live_instances(self) -> int:
        """Return the number that was set."""
        return self.count

    @property
    def rank(self) -> int:
        """Return the lowest rank."""
        return 0

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""


# Nothing renews the list here; tests of its age have bounds of their own.
ALWAYS_USABLE = dataclasses.replace(list_bounds.STRICTEST, use_s=math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayFixture:
    """The services that the gateway uses to find servers."""

    clock: clock.ManualClock
    directory: directory.Directory
    owners: owners.Owners
    estimates: estimates.Estimates
    model: work_model.WorkModel
    cold_starts: cold_starts.ColdStarts
    circuits: server_circuits.ServerCircuits
    finder: server_finder.ServerFinder
    instances: FixedInstances


def create_server(
    name: str,
    service: str = "agenda",
    *,
    draining: bool = False,
    started_ms: int = 1,
    failure_domain: str = "near",
    port: int = 9_000,
) -> deployment.RegisteredServer:
    """Return a registered server."""
    return deployment.RegisteredServer(
        incarnation=deployment.ServerIncarnation(name, started_ms),
        service=service,
        address=identity.Address("127.0.0.1", port),
        failure_domain=failure_domain,
        slots=4,
        draining=draining,
        slow_start_remaining_s=0.0,
    )


def create_route(
    name: str, prefix: str, *weighted_services: deployment.WeightedService
) -> deployment.HostRoute:
    """Return a route of one host."""
    return deployment.HostRoute(
        name=name,
        host="a.example",
        path_prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        target_latency_s=0.3,
        priority=1,
        max_attempts=2,
        weighted_services=weighted_services or (deployment.WeightedService("agenda", 1.0),),
    )


def create_configuration(version: int) -> deployment.Configuration:
    """Return a configuration with one keyed service and one that is not keyed."""
    services = tuple(
        deployment.ServiceSpec(
            name=name, health_path="/health", connection_limit=40, keyed=name == "ledger"
        )
        for name in ("ledger", "agenda")
    )
    return deployment.Configuration(
        version=version, routes=(create_route("agenda", "/agenda/"),), services=services
    )


@pytest.fixture
def gateway_fixture() -> GatewayFixture:
    """Return a directory, owners and estimates without servers."""
    return create_gateway_fixture()


def create_gateway_fixture(
    bounds: list_bounds.ListBounds = ALWAYS_USABLE,
) -> GatewayFixture:
    """Return a directory, owners and estimates without servers."""
    built = kernel.Kernel()
    manual = clock.ManualClock()
    built.register(names.CLOCK, manual)
    server_directory = directory.Directory(built, bounds)
    key_owners = owners.Owners(built)
    server_estimates = estimates.Estimates(built)
    built.register(names.DIRECTORY, server_directory)
    cold_servers = cold_starts.ColdStarts(
        built, "one", deployment_settings.ColdServerLimits(overshoot=1.5, slack=8.0)
    )
    model = work_model.WorkModel(built)
    built.register(names.METRICS, metrics.Metrics())
    circuits = server_circuits.ServerCircuits(built, random.Random(1))
    for created in (server_directory, key_owners, server_estimates, model, cold_servers, circuits):
        created.start()
    instances = FixedInstances()
    finder = server_finder.ServerFinder(
        server_directory=server_directory,
        key_owners=key_owners,
        server_estimates=server_estimates,
        model=model,
        selector=selection.Selector(server_estimates, model, lambda address: False, "near"),
        instance_apertures=apertures.Apertures("one", "near"),
        drain_s=2.0,
        instance_counter=instances,
        server_restrictions=restrictions.Restrictions(server_directory, cold_servers, 5.0),
        circuits=circuits,
    )
    return GatewayFixture(
        manual,
        server_directory,
        key_owners,
        server_estimates,
        model,
        cold_servers,
        circuits,
        finder,
        instances,
    )
