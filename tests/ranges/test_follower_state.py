"""Tests of the replication of owners, servers and peers from the lessor to a follower."""

from __future__ import annotations

import dataclasses
import random

import pytest

from goldcresthall.admission import lost_server_relay
from goldcresthall.admission import range_admissions
from goldcresthall.admission import server_circuits
from goldcresthall.core import attempts
from goldcresthall.core import configuration_documents
from goldcresthall.core import deployment_settings
from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.core import row_changes
from goldcresthall.gateway import cold_starts
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import list_bounds
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.load import server_reports
from goldcresthall.load import work_combiner
from goldcresthall.load import work_model
from goldcresthall.load import work_table
from goldcresthall.observability import metrics
from goldcresthall.ranges import follower_state
from goldcresthall.ranges import load_sources
from goldcresthall.ranges import membership
from goldcresthall.ranges import owners
from goldcresthall.ranges import report_encoding
from goldcresthall.ranges import report_responder
from goldcresthall.ranges import reports
from tests.fakes import clock
from tests.fakes import range_simulation


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceState:
    """Services of one instance that hold replicated state."""

    owners: owners.Owners
    directory: directory.Directory
    sources: load_sources.LoadSources


def create_instance_state(manual: clock.ManualClock) -> InstanceState:
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, manual)
    service_kernel.register(names.METRICS, metrics.Metrics())
    created = InstanceState(
        owners.Owners(service_kernel),
        directory.Directory(service_kernel),
        load_sources.LoadSources(
            estimates.Estimates(service_kernel),
            work_model.WorkModel(service_kernel),
            range_admissions.RangeAdmissions(),
            cold_starts.ColdStarts(
                service_kernel, "follower", deployment_settings.ColdServerLimits()
            ),
            server_circuits.ServerCircuits(service_kernel, random.Random(1)),
        ),
    )
    created.owners.start()
    created.directory.start()
    created.sources.estimates.start()
    created.sources.model.start()
    created.sources.circuits.start()
    return created


class Exchange:
    """A lessor and a follower that exchange reports and replies."""

    def __init__(self) -> None:
        self.simulation = range_simulation.RangeSimulation(server_count=6)
        self.simulation.instances[0].take_over()
        self.follower = create_instance_state(self.simulation.clock)
        lessor_state = create_instance_state(self.simulation.clock)
        self.lessor_owners = lessor_state.owners
        self.lessor_circuits = lessor_state.sources.circuits
        own = self.simulation.instances[0].own
        self.responder = report_responder.ReportResponder(
            own,
            self.simulation.clock,
            self.simulation.directory,
            self.lessor_owners,
            self.lessor_circuits,
        )
        self.follow_again()

    def follow_again(self) -> None:
        """Start to follow, as after a change of the lessor."""
        reporter = key_ranges.LessorIdentity(
            identity.Incarnation("follower", "life"), identity.Address("127.0.0.1", 7_100)
        )
        self.state = follower_state.FollowerState(
            reporter, self.follower.owners, self.follower.directory, self.follower.sources
        )

    def report(self) -> reports.Reply:
        """Send one encoded report and apply the encoded reply."""
        own_term = self.simulation.instances[0].own_term
        assert own_term is not None
        self.lessor_owners.apply(own_term.leases.create_view())
        report = report_encoding.decode_report(
            report_encoding.encode_report(self.state.create_report())
        )
        reply = report_encoding.decode_reply(
            report_encoding.encode_reply(self.responder.answer(own_term, report))
        )
        self.state.apply_reply(reply, self.simulation.clock.read_s())
        return reply


@pytest.fixture
def exchange(monkeypatch: pytest.MonkeyPatch) -> Exchange:
    """Return an exchange in which the lessor replies without a long poll."""
    monkeypatch.setattr(report_responder, "REPORT_WAIT_S", 0.0)
    return Exchange()


def test_reply_without_changes_omits_peers_owners_and_servers(exchange: Exchange) -> None:
    exchange.report()
    exchange.report()
    reply = exchange.report()
    assert reply.peers is None
    assert reply.owners is None
    assert reply.servers is None


def test_change_of_one_server_is_sent_as_a_delta(exchange: Exchange) -> None:
    exchange.report()
    incarnation = next(iter(exchange.simulation.servers))
    exchange.simulation.register_server(incarnation, draining=True)
    reply = exchange.report()
    assert reply.servers is not None
    assert len(reply.servers.added) == 1
    assert exchange.follower.directory.servers.by_name[incarnation.name].server.draining
    assert len(exchange.follower.directory.servers.by_name) == 6


def apply_configuration(exchange: Exchange, version: int) -> None:
    """Put a version in force at the lessor, as its watchers do."""
    exchange.simulation.directory.configurations.apply(
        dataclasses.replace(range_simulation.CONFIGURATION, version=version),
        configuration_documents.ConfigurationDocument.compress(version, b"stored"),
    )


def test_configuration_is_relayed_once(exchange: Exchange) -> None:
    apply_configuration(exchange, 7)
    reply = exchange.report()
    assert reply.document is not None
    assert reply.document.decompress() == b"stored"
    assert exchange.follower.directory.configurations.received_document == reply.document
    assert exchange.follower.directory.configurations.is_behind
    assert exchange.report().document is None
    apply_configuration(exchange, 9)
    assert exchange.report().document is not None


def test_evacuations_are_relayed_and_never_go_back(exchange: Exchange) -> None:
    """A follower that reads the topic itself may know more than a lessor without the store."""
    assert exchange.report().evacuated is None
    later = evacuations.EvacuatedDomains(9, frozenset({"near"}))
    exchange.simulation.directory.apply_evacuations(later)
    exchange.report()
    assert exchange.follower.directory.evacuated == later
    ended = evacuations.EvacuatedDomains(12, frozenset())
    exchange.follower.directory.apply_evacuations(ended)
    exchange.report()
    assert not exchange.follower.directory.is_evacuated("near")


def test_server_that_turned_cold_again_is_cold_at_the_follower(exchange: Exchange) -> None:
    """Its second warm-up may be as long as the first one."""
    limited = range_simulation.limit_cold_servers(5.0)
    for known in (exchange.simulation.directory, exchange.follower.directory):
        known.configurations.apply(limited)
    incarnation = next(iter(exchange.simulation.servers))
    warm_ups = []
    for remaining_s in (12.0, 6.0, 12.0):
        exchange.simulation.register_server(incarnation, warm_up_s=remaining_s)
        exchange.report()
        entry = exchange.follower.directory.servers.by_name[incarnation.name]
        warm_ups.append(round(entry.warm_up.find_left_s(exchange.simulation.clock.read_s())))
        exchange.simulation.clock.advance(1.0)
    assert warm_ups == [13, 12, 13]


def test_lessor_without_fresh_servers_does_not_renew_the_relay(exchange: Exchange) -> None:
    exchange.report()
    assert exchange.follower.directory.is_relayed
    exchange.simulation.clock.advance(list_bounds.MAX_RELAY_S + 0.1)
    reply = exchange.report()
    assert reply.servers_known is None
    assert not exchange.follower.directory.is_relayed


# Guards against a list that is taken for current because the lessor, started again at the same
# address, counts as many changes of its own list: a server that left stays in use (DRAIN).
def test_revision_of_an_earlier_process_of_the_lessor_does_not_confirm_the_list(
    exchange: Exchange,
) -> None:
    exchange.report()
    known = exchange.simulation.directory.relay().revision
    restarted = Exchange()
    restarted.simulation.instances[1].take_over()
    restarted.simulation.instances[0].take_over()
    leaving = next(iter(restarted.simulation.servers))
    registered = restarted.simulation.last_registered
    present = [
        dataclasses.replace(server, draining=incarnation == leaving)
        for incarnation, server in registered.items()
    ]
    lessor_directory = create_instance_state(restarted.simulation.clock).directory
    for count in range(1, len(present) + 1):
        lessor_directory.apply_changes(tuple(present[:count]), frozenset())
    assert lessor_directory.relay().revision == known
    restarted.responder = report_responder.ReportResponder(
        restarted.simulation.instances[0].own,
        restarted.simulation.clock,
        lessor_directory,
        restarted.lessor_owners,
        restarted.lessor_circuits,
    )
    restarted.state = exchange.state
    restarted.report()
    assert exchange.follower.directory.servers.by_name[leaving.name].server.draining


def test_report_of_an_earlier_release_gets_no_configuration(exchange: Exchange) -> None:
    apply_configuration(exchange, 7)
    sent = report_encoding.encode_report(exchange.state.create_report())
    sent.configuration, sent.held_configuration = 7, None
    own_term = exchange.simulation.instances[0].own_term
    assert own_term is not None
    reply = exchange.responder.answer(own_term, report_encoding.decode_report(sent))
    assert reply.document is None


def test_follower_has_all_owners_after_each_reply(exchange: Exchange) -> None:
    exchange.report()
    for _ in range(40):
        exchange.simulation.advance(0.2)
        reply = exchange.report()
        assert set(exchange.follower.owners.view.owners) == set(exchange.lessor_owners.view.owners)
    assert exchange.follower.owners.view.owners
    assert reply.owners is None or not reply.owners.ranges.is_full


def test_owners_read_from_the_store_are_not_used_as_a_base_for_changes(exchange: Exchange) -> None:
    exchange.simulation.advance(1.0)
    own_term = exchange.simulation.instances[0].own_term
    assert own_term is not None
    lessor_view = own_term.leases.create_view()
    exchange.follower.owners.apply(owners.OwnersView(lessor_view.term, lessor_view.revision, ()))
    reply = exchange.report()
    assert reply.owners is not None
    assert reply.owners.ranges.base == row_changes.NO_REVISION


def test_report_discards_estimates_of_deregistered_servers(exchange: Exchange) -> None:
    exchange.report()
    server = next(iter(exchange.follower.directory.servers.by_name.values())).server
    exchange.follower.sources.estimates.start_attempt(server)
    exchange.follower.sources.estimates.cancel_attempt(server)
    exchange.report()
    assert exchange.follower.sources.estimates._estimates
    exchange.simulation.deregister_server(server.incarnation)
    exchange.report()
    exchange.report()
    assert exchange.follower.sources.estimates._estimates == {}


def test_age_of_a_relayed_list_counts_the_time_at_the_lessor_and_on_the_way(
    exchange: Exchange,
) -> None:
    listed_at_s = exchange.simulation.clock.read_s()
    exchange.simulation.clock.advance(0.4)
    own_term = exchange.simulation.instances[0].own_term
    assert own_term is not None
    asked_at_s = exchange.simulation.clock.read_s()
    reply = exchange.responder.answer(own_term, exchange.state.create_report())
    exchange.simulation.clock.advance(0.3)
    exchange.state.apply_reply(reply, asked_at_s)
    assert exchange.follower.directory.version.known_at_s == pytest.approx(listed_at_s)


def test_relay_without_its_age_is_not_trusted(exchange: Exchange) -> None:
    """A lessor of an earlier release does not send the age."""
    own_term = exchange.simulation.instances[0].own_term
    assert own_term is not None
    encoded = report_encoding.encode_reply(
        exchange.responder.answer(own_term, exchange.state.create_report())
    )
    encoded.servers_age_ms = encoded.servers_position = None
    exchange.state.apply_reply(
        report_encoding.decode_reply(encoded), exchange.simulation.clock.read_s()
    )
    assert not exchange.follower.directory.is_relayed


def test_server_that_told_one_instance_that_it_is_draining_gives_up_its_keys(
    exchange: Exchange,
) -> None:
    simulation = exchange.simulation
    simulation.advance(membership.STABILIZATION_WINDOW_S + 1.0)
    leaving = next(iter(simulation.servers))
    simulation.register_server(leaving)
    exchange.report()
    exchange.follower.directory.record_draining(leaving)
    exchange.report()
    assert simulation.directory.servers.by_name[leaving.name].server.draining
    simulation.advance(1.0)
    assert not simulation.servers[leaving].leases
    assert simulation.count_held() == len(range_simulation.SAMPLED_KEYS)


def record_work(exchange: Exchange, work_s: float) -> None:
    """Let the follower measure some requests at one server."""
    server = next(iter(exchange.follower.directory.servers.by_name.values())).server
    answered = attempts.AttemptAnswered(
        outcomes.Answer(200, (), b""), attempts.ServerSignals(load=1.0, queued=0)
    )
    for _ in range(20):
        exchange.follower.sources.model.record("reads", server, answered, work_s)
    exchange.simulation.clock.advance(2.0 * work_combiner.MIN_TABLE_INTERVAL_S)
    return server


def test_measured_work_comes_back_in_the_lessors_table_once(exchange: Exchange) -> None:
    exchange.report()
    record_work(exchange, 0.5)
    reply = exchange.report()
    assert reply.work is not None
    assert reply.work.routes[0].mean_s == pytest.approx(0.5)
    assert exchange.follower.sources.model.table == reply.work
    assert exchange.report().work is None


def test_lessor_that_confirms_the_table_keeps_it_trusted(exchange: Exchange) -> None:
    exchange.report()
    record_work(exchange, 0.5)
    table = exchange.report().work
    for _ in range(20):
        exchange.simulation.clock.advance(work_model.TABLE_TRUST_S)
        exchange.report()
    assert exchange.follower.sources.model.table == table


def test_new_lessor_that_has_no_table_yet_does_not_confirm_the_earlier_one(
    exchange: Exchange,
) -> None:
    exchange.report()
    record_work(exchange, 0.5)
    exchange.report()
    exchange.responder.begin_term(work_table.WorkTable())
    exchange.follow_again()
    for _ in range(20):
        exchange.simulation.clock.advance(work_model.TABLE_TRUST_S)
        exchange.report()
    assert exchange.follower.sources.model.table == work_table.WorkTable()


def test_servers_lost_at_two_other_instances_are_avoided_by_a_follower(
    exchange: Exchange,
) -> None:
    """Each instance had to lose its own requests to a full server before."""
    server = next(iter(exchange.simulation.servers))
    now_s = exchange.simulation.clock.read_s()
    lost = attempts.AttemptUnknown(
        outcomes.UnknownReason.ANSWER_TIMEOUT, outcomes.Step.RECEIVE, "timed out"
    )
    exchange.lessor_circuits.record_attempt(server, lost, now_s - 1.0, 0.1)
    reply = exchange.report()
    assert [row.server for row in reply.full_servers] == [server]
    assert exchange.follower.sources.circuits.find_open(server) is None
    own_term = exchange.simulation.instances[0].own_term
    assert own_term is not None
    other = dataclasses.replace(
        exchange.state.create_report(),
        reporter=key_ranges.LessorIdentity(
            identity.Incarnation("other", "life"), identity.Address("127.0.0.1", 7_101)
        ),
        full_servers=(server_reports.LostServer(server, 0.1),),
    )
    exchange.simulation.clock.advance(lost_server_relay.UPDATE_INTERVAL_S)
    exchange.responder.answer(own_term, other)
    exchange.report()
    assert exchange.follower.sources.circuits.find_open(server) is not None


def test_lessor_avoids_a_server_that_two_followers_report(exchange: Exchange) -> None:
    """The lessor sends requests too, but no report."""
    server = next(iter(exchange.simulation.servers))
    own_term = exchange.simulation.instances[0].own_term
    assert own_term is not None
    for number, name in enumerate(("one", "two")):
        assert exchange.lessor_circuits.find_open(server) is None
        report = dataclasses.replace(
            exchange.state.create_report(),
            reporter=key_ranges.LessorIdentity(
                identity.Incarnation(name, "life"), identity.Address("127.0.0.1", 7_200 + number)
            ),
            full_servers=(server_reports.LostServer(server, 0.1),),
        )
        exchange.simulation.clock.advance(lost_server_relay.UPDATE_INTERVAL_S)
        exchange.responder.answer(own_term, report)
    assert exchange.lessor_circuits.find_open(server) is not None
