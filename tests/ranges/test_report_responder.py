"""Tests of the lessor's long polls for reports."""

from __future__ import annotations

import dataclasses
import threading

import pytest

from goldcresthall.admission import server_circuits
from goldcresthall.core import deployment
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import server_lists
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.observability import metrics
from goldcresthall.ranges import lessor
from goldcresthall.ranges import owners
from goldcresthall.ranges import report_responder
from goldcresthall.ranges import reports
from tests.fakes import range_simulation

WAIT_S = 30.0


class Lessor:
    """A lessor's term and its responder, with owners that are published by hand."""

    def __init__(self) -> None:
        self.simulation = range_simulation.RangeSimulation()
        first = self.simulation.instances[0]
        first.take_over()
        assert first.own_term is not None
        self.own_term: lessor.LessorTerm = first.own_term
        service_kernel = kernel.Kernel()
        service_kernel.register(names.CLOCK, self.simulation.clock)
        self.owners = owners.Owners(service_kernel)
        self.owners.start()
        service_kernel.register(names.METRICS, metrics.Metrics())
        self.circuits = server_circuits.ServerCircuits.from_config(service_kernel)
        self.circuits.start()
        self.responder = report_responder.ReportResponder(
            first.own, self.simulation.clock, self.simulation.directory, self.owners, self.circuits
        )

    def publish(self) -> None:
        """Publish the owners of the term, as the lessor's task does."""
        self.owners.apply(self.own_term.leases.create_view())
        self.responder.announce_changes(self.own_term)

    def create_report(self, name: str) -> reports.Report:
        """Return a report of an instance that knows the latest owners and servers."""
        view = self.owners.view
        reporter = key_ranges.LessorIdentity(
            identity.Incarnation(name, "life"), identity.Address("127.0.0.1", 7_001)
        )
        return reports.Report(
            reporter=reporter,
            known_term=view.term,
            known_revision=view.revision,
            counts=(),
            samples=(),
            configuration=1,
            known_servers=self.simulation.directory.relay().revision,
        )


@pytest.fixture
def waiting(monkeypatch: pytest.MonkeyPatch) -> Lessor:
    """Return a lessor whose long polls end on a change only."""
    monkeypatch.setattr(report_responder, "REPORT_WAIT_S", WAIT_S)
    created = Lessor()
    created.publish()
    return created


def start_report(waiting: Lessor) -> tuple[threading.Thread, list[reports.Reply]]:
    """Start a report and return once it waits, with the list that gets its reply."""
    replies: list[reports.Reply] = []
    report = waiting.create_report("one")
    thread = threading.Thread(
        target=lambda: replies.append(waiting.responder.answer(waiting.own_term, report))
    )
    thread.start()
    while not waiting.responder._announced._waiters:  # type: ignore[attr-defined]
        thread.join(0.001)
    return thread, replies


def test_changed_owners_end_a_long_poll(waiting: Lessor) -> None:
    thread, replies = start_report(waiting)
    waiting.simulation.advance(3.0)
    waiting.publish()
    thread.join(WAIT_S)
    assert replies[0].owners is not None


def test_changed_servers_end_a_long_poll(waiting: Lessor) -> None:
    thread, replies = start_report(waiting)
    waiting.simulation.start_server("server-9")
    waiting.publish()
    thread.join(WAIT_S)
    assert replies[0].servers is not None
    assert "server-9" in {server.name for server in replies[0].servers.added}


def test_announcement_without_a_change_wakes_no_long_poll(
    waiting: Lessor, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each waiting report once looked at the list of servers seven times a second."""
    thread, replies = start_report(waiting)
    looked_at: list[int] = []
    original = directory.Directory.relay

    def relay(self: directory.Directory) -> server_lists.RelayedServers:
        looked_at.append(threading.get_ident())
        return original(self)

    monkeypatch.setattr(directory.Directory, "relay", relay)
    for _ in range(20):
        waiting.publish()
    assert thread.ident not in looked_at
    assert not replies
    waiting.simulation.register_server(deployment.ServerIncarnation("server-9", 1))
    waiting.publish()
    thread.join(WAIT_S)
    assert thread.ident in looked_at


def test_unchanged_list_of_servers_is_not_built_again(waiting: Lessor) -> None:
    relayed = waiting.simulation.directory.relay()
    assert waiting.simulation.directory.relay() is relayed


def test_evacuation_ends_a_long_poll(waiting: Lessor) -> None:
    """All instances must know in time, also those that do not read the store."""
    thread, replies = start_report(waiting)
    evacuated = evacuations.EvacuatedDomains(3, frozenset({"near"}))
    waiting.simulation.directory.apply_evacuations(evacuated)
    waiting.publish()
    thread.join(WAIT_S)
    assert replies[0].evacuated == evacuated


def test_newer_configuration_ends_a_long_poll(waiting: Lessor) -> None:
    thread, replies = start_report(waiting)
    waiting.simulation.directory.configurations.observe_version(9)
    waiting.publish()
    thread.join(WAIT_S)
    assert replies[0].configuration == 9


def test_list_that_is_no_longer_fresh_does_not_end_long_polls(waiting: Lessor) -> None:
    """While the store was away, lessor and followers once exchanged reports without a pause."""
    thread, replies = start_report(waiting)
    waiting.simulation.clock.advance(list_bounds.MAX_RELAY_S + 0.1)
    waiting.publish()
    thread.join(0.3)
    assert not replies
    waiting.simulation.directory.configurations.observe_version(9)
    waiting.publish()
    thread.join(WAIT_S)
    assert replies[0].servers_known is None


def test_changed_work_table_does_not_end_a_long_poll(waiting: Lessor) -> None:
    """A table that changes each 0.4 s would make each instance report as often."""
    thread, replies = start_report(waiting)
    server = next(iter(waiting.simulation.servers))
    samples = (estimates.LatencySample(server, 50, 5.0),)
    waiting.responder.add_work(waiting.own_term, samples, ())
    assert waiting.responder.work.revision == 0
    waiting.publish()
    thread.join(0.05)
    assert not replies
    waiting.simulation.directory.configurations.observe_version(9)
    waiting.publish()
    thread.join(WAIT_S)
    assert replies[0].work == waiting.responder.work


def test_evacuation_that_a_reporter_read_first_is_applied_and_relayed() -> None:
    """The lessor learned of it only at the end of a long poll whose response was lost."""
    created = Lessor()
    created.publish()
    read = evacuations.EvacuatedDomains(7, frozenset({"odd"}))
    report = dataclasses.replace(created.create_report("one"), evacuated=read)
    assert created.responder.answer(created.own_term, report).evacuated == read
    earlier = evacuations.EvacuatedDomains(3, frozenset({"even"}))
    report = dataclasses.replace(report, evacuated=earlier)
    assert created.responder.answer(created.own_term, report).evacuated == read
