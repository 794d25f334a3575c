"""Tests of how a lessor publishes changes and treats its own instance."""

from __future__ import annotations

import random

import pytest

from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.core import deployment_settings
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import estimates
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import work_model
from goldcresthall.observability import metrics
from goldcresthall.ranges import load_sources
from goldcresthall.ranges import overload
from goldcresthall.ranges import owners
from goldcresthall.ranges import publication
from goldcresthall.ranges import report_responder
from tests.fakes import range_simulation


@pytest.mark.parametrize(
    ("reporters", "pause_s"), [(0, 0.03), (11, 0.03), (70, 0.056), (194, 0.1552), (919, 0.3)]
)
def test_pause_between_publications_grows_with_the_instances(
    reporters: int, pause_s: float
) -> None:
    """Thirty publications a second each made 194 instances take a reply and report again."""
    assert publication.find_publish_pause_s(reporters) == pytest.approx(pause_s)


def test_work_and_shares_of_the_lessors_own_instance_count_as_well() -> None:
    simulation = range_simulation.RangeSimulation()
    first = simulation.instances[0]
    first.take_over()
    assert first.own_term is not None
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, simulation.clock)
    own_owners = owners.Owners(service_kernel)
    admissions = range_admissions.RangeAdmissions()
    service_kernel.register(names.METRICS, metrics.Metrics())
    service_kernel.register(names.DIRECTORY, simulation.directory)
    sources = load_sources.LoadSources(
        estimates.Estimates(service_kernel),
        work_model.WorkModel(service_kernel),
        admissions,
        cold_starts.ColdStarts(service_kernel, "one", deployment_settings.ColdServerLimits()),
        server_circuits.ServerCircuits(service_kernel, random.Random(1)),
    )
    for started in (sources.estimates, sources.model, sources.cold_starts, sources.circuits):
        started.start()
    publisher = publication.ViewPublisher(
        own_term=first.own_term,
        responder=report_responder.ReportResponder(
            first.own, simulation.clock, simulation.directory, own_owners, sources.circuits
        ),
        owners_service=own_owners,
        sources=sources,
        server_directory=simulation.directory,
    )
    for _ in range(8):
        for _ in range(100):
            own_owners.count(range_simulation.SERVICE, 500, 0.3)
        publisher._add_own_statistics(simulation.clock.read_s())
        simulation.advance(0.5)
    publisher._add_own_statistics(simulation.clock.read_s())
    now_s = simulation.clock.read_s()
    # One of the servers, with 4 slots, owns the key, for which 60 s of work a second are asked.
    fits = overload.SERVED_LOAD * 4.0 / 60.0
    share = admissions.find_share(range_simulation.SERVICE, 500, now_s)
    assert 0.5 * fits < share < 1.5 * fits
