"""Tests of requests to step down during and after a takeover."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import estimates
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.load import work_model
from goldcresthall.observability import metrics
from goldcresthall.peers import peer_metrics
from goldcresthall.ranges import election
from goldcresthall.ranges import lessor
from goldcresthall.ranges import owners
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import peer_channel
from goldcresthall.ranges import report_encoding
from goldcresthall.ranges import reports
from tests.fakes import range_simulation
from tests.fakes import store

if TYPE_CHECKING:
    from goldcresthall.store import client


@pytest.fixture
def election_service(monkeypatch: pytest.MonkeyPatch) -> election.Election:
    """Return an election service whose tasks do not run."""
    simulation = range_simulation.RangeSimulation()
    monkeypatch.setattr(tasks.Task, "start", lambda self: None)
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, simulation.clock)
    service_kernel.register(names.STORE, store.FakeStore(simulation.store))
    service_kernel.register(names.DIRECTORY, simulation.directory)
    cold_servers = cold_starts.ColdStarts(
        service_kernel, "one", deployment_settings.ColdServerLimits()
    )
    cold_servers.start()
    service_kernel.register(names.COLD_STARTS, cold_servers)
    service_kernel.register(names.OWNERS, owners.Owners(service_kernel))
    server_estimates = estimates.Estimates(service_kernel)
    server_estimates.start()
    service_kernel.register(names.ESTIMATES, server_estimates)
    service_kernel.register(names.WORK_MODEL, work_model.WorkModel(service_kernel))
    service_kernel.register(names.RANGE_ADMISSIONS, range_admissions.RangeAdmissions())
    service_kernel.register(names.METRICS, metrics.Metrics())
    circuits = server_circuits.ServerCircuits.from_config(service_kernel)
    circuits.start()
    service_kernel.register(names.SERVER_CIRCUITS, circuits)
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


def take_over(election_service: election.Election) -> None:
    """Run one takeover without serving the term."""
    stopped = tasks.StopSignal()
    stored = ownership_tables.read(election_service._store)
    assert stored is not None
    election_service._serve = lambda own_term, stop_signal: None  # type: ignore[method-assign]
    election_service._take_over(stored, stopped)


def test_step_down_request_during_a_takeover_prevents_the_term(
    election_service: election.Election,
) -> None:
    assert election_service.handle_step_down(term=1)
    take_over(election_service)
    assert not election_service.is_lessor


def test_lessor_steps_down_only_for_a_later_term(election_service: election.Election) -> None:
    take_over(election_service)
    assert election_service.is_lessor
    assert not election_service.handle_step_down(term=0)
    assert election_service.handle_step_down(term=1)


def test_reporters_are_told_of_the_successor(election_service: election.Election) -> None:
    """After a change of lessor each of 195 instances once read the table to find the new one."""
    take_over(election_service)
    successor = key_ranges.LessorIdentity(
        identity.Incarnation("two", "life"), identity.Address("127.0.0.1", 7_002)
    )
    assert election_service.handle_step_down(term=1, successor=successor)
    reporter = key_ranges.LessorIdentity(
        identity.Incarnation("three", "life"), identity.Address("127.0.0.1", 7_003)
    )
    report = reports.Report(
        reporter=reporter, known_term=0, known_revision=0, counts=(), samples=(), configuration=1
    )
    reply = report_encoding.decode_reply(
        report_encoding.encode_reply(election_service.answer_report(report))
    )
    assert not reply.is_lessor
    assert reply.successor == successor


def test_reporter_follows_the_named_successor_without_reading_the_table(
    election_service: election.Election,
) -> None:
    lost = key_ranges.LessorIdentity(
        identity.Incarnation("two", "life"), identity.Address("127.0.0.1", 7_002)
    )
    named = key_ranges.LessorIdentity(
        identity.Incarnation("three", "life"), identity.Address("127.0.0.1", 7_003)
    )
    dialer = NamingDialer(named)
    election_service._dialer = dialer
    followed = election_service._follow(lost, tasks.StopSignal())
    assert followed.successor == named
    assert dialer.dialed == [lost.address]


def test_table_is_read_after_one_named_successor(
    election_service: election.Election, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two former lessors that name each other must not be asked in turn for ever."""
    reads: list[int] = []
    stopped = tasks.StopSignal()
    first, second = (
        key_ranges.LessorIdentity(
            identity.Incarnation(name, "life"), identity.Address("127.0.0.1", port)
        )
        for name, port in (("two", 7_002), ("three", 7_003))
    )

    def read(store: client.StoreClient) -> key_ranges.StoredTable:
        reads.append(len(dialer.dialed))
        if len(reads) == 3:
            stopped.set()
        return key_ranges.StoredTable(5, key_ranges.OwnershipTable(lessor=first))

    monkeypatch.setattr(ownership_tables, "read", read)
    dialer = NamingDialer(second)
    dialer.second_successor = first
    election_service._dialer = dialer
    election_service._run(stopped)
    assert reads == [0, 2, 4]


def test_instance_reports_to_the_lessor_it_knows_while_the_table_cannot_be_read(
    election_service: election.Election, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In an outage of the store each instance read the table seven times a second instead."""
    stopped = tasks.StopSignal()
    known = key_ranges.LessorIdentity(
        identity.Incarnation("two", "life"), identity.Address("127.0.0.1", 7_002)
    )
    outcomes = [key_ranges.StoredTable(5, key_ranges.OwnershipTable(lessor=known)), None, None]

    def read(store: client.StoreClient) -> key_ranges.StoredTable | None:
        if not outcomes:
            stopped.set()
            return None
        return outcomes.pop(0)

    monkeypatch.setattr(ownership_tables, "read", read)
    dialer = NamingDialer(known)
    election_service._dialer = dialer
    election_service._run(stopped)
    assert dialer.dialed == [known.address] * 3


class NamingDialer(reports.PeerDialer):
    """Reaches a former lessor that names its successor."""

    def __init__(self, successor: key_ranges.LessorIdentity) -> None:
        self._successor = successor
        self.second_successor = successor
        self.dialed: list[identity.Address] = []

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def dial(self, address: identity.Address, timeout_s: float) -> reports.PeerChannel:
        """Return a channel to the former lessor."""
        self.dialed.append(address)
        is_named = address == self._successor.address
        return NamingChannel(self.second_successor if is_named else self._successor)


class NamingChannel(reports.PeerChannel):
    """Replies to reports with the successor."""

    def __init__(self, successor: key_ranges.LessorIdentity) -> None:
        self._successor = successor

    def report(self, report: reports.Report) -> reports.Reply:
        """Return the successor."""
        return reports.Reply(
            is_lessor=False, has_store=True, configuration=0, successor=self._successor
        )

    def ask_presence(self) -> reports.Presence:
        """Return no recent contact."""
        return reports.Presence(identity.Incarnation("two", "life"), 9.0)

    def request_step_down(self, term: int, successor: key_ranges.LessorIdentity) -> bool:
        """Confirm."""
        return True

    def close(self) -> None:
        """Do nothing."""


def serve_until_the_store_returns(
    election_service: election.Election, shared: store.SharedRecords
) -> None:
    """Take over, and end the term by a return of the store from a copy."""
    stored = ownership_tables.read(election_service._store)
    assert stored is not None

    def run(own_term: lessor.LessorTerm, stop_signal: tasks.StopSignal) -> None:
        shared.restore()
        own_term._check_stored_table(0.0)
        election_service._end_term(own_term)

    election_service._serve = run  # type: ignore[method-assign]
    election_service._take_over(stored, tasks.StopSignal())


@pytest.fixture
def shared(election_service: election.Election) -> store.SharedRecords:
    assert isinstance(election_service._store, store.FakeStore)
    return election_service._store._shared


# Guards against two lessors that both move ranges after a drill of the store (OWNER): one that has
# said that it stopped must not go on with the table that it knew.
def test_table_is_not_used_after_the_return_of_the_store_once_another_lessor_was_told_so(
    election_service: election.Election, shared: store.SharedRecords
) -> None:
    serve_until_the_store_returns(election_service, shared)
    assert not election_service._memory.is_empty
    assert election_service.handle_step_down(term=0)
    assert election_service._memory.is_empty


def test_no_other_lessor_is_told_that_this_one_stopped_while_it_takes_over_again(
    election_service: election.Election, shared: store.SharedRecords
) -> None:
    serve_until_the_store_returns(election_service, shared)
    assert election_service._memory.begin_use() is not None
    assert not election_service.handle_step_down(term=0)
    election_service._memory.end_use()
    assert election_service.handle_step_down(term=0)


def test_table_of_a_term_that_was_given_up_is_not_kept(
    election_service: election.Election, shared: store.SharedRecords
) -> None:
    take_over(election_service)
    own_term = election_service._term
    assert own_term is not None
    election_service.handle_step_down(term=10)
    shared.restore()
    own_term._check_stored_table(0.0)
    election_service._end_term(own_term)
    assert election_service._memory.is_empty


def test_lessor_that_writes_its_table_again_is_awaited(
    election_service: election.Election, shared: store.SharedRecords
) -> None:
    """A takeover by the copy would leave all keys without a holder for seconds."""
    shared.append(ownership_tables.KEY, ownership_tables.encode(key_ranges.OwnershipTable()), 0)
    shared.copy()
    shared.restore()
    copied = ownership_tables.read(election_service._store)
    assert copied is not None

    class RestoringSignal(tasks.StopSignal):
        def wait(self, timeout_s: float | None = None) -> bool:
            assert timeout_s == election.RESTORE_WAIT_S
            table = key_ranges.OwnershipTable(term=shared.end)
            shared.append(ownership_tables.KEY, ownership_tables.encode(table), 1)
            return False

    assert election_service._await_restored_table(copied, RestoringSignal()) is not None


# Guards against calls to the store without a pause, for as long as it refuses the write.
def test_takeover_that_failed_is_tried_again_after_a_pause(
    election_service: election.Election,
) -> None:
    assert isinstance(election_service._store, store.FakeStore)
    stored = ownership_tables.read(election_service._store)
    assert stored is not None
    election_service._store.delays_writes = True
    waits_s: list[float | None] = []

    class RecordingSignal(tasks.StopSignal):
        def wait(self, timeout_s: float | None = None) -> bool:
            waits_s.append(timeout_s)
            return False

    election_service._take_over(stored, RecordingSignal())
    assert waits_s == [election.RETRY_INTERVAL_S]
