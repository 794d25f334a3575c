"""Tests of what an instance takes from the lessor's replies, and of what it is told."""

from __future__ import annotations

import dataclasses

import pytest

from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.core import row_changes
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.kernel import kernel
from goldcresthall.kernel import names
from goldcresthall.ranges import follower_state
from goldcresthall.ranges import owners
from goldcresthall.ranges import report_encoding
from goldcresthall.ranges import report_responder
from goldcresthall.ranges import reports
from tests.fakes import clock
from tests.fakes import range_simulation


@dataclasses.dataclass(frozen=True, slots=True)
class Side:
    """What an instance knows."""

    owners: owners.Owners
    directory: directory.Directory
    estimates: estimates.Estimates


def create_side(manual: clock.ManualClock) -> Side:
    service_kernel = kernel.Kernel()
    service_kernel.register(names.CLOCK, manual)
    created = Side(
        owners.Owners(service_kernel),
        directory.Directory(service_kernel),
        estimates.Estimates(service_kernel),
    )
    created.owners.start()
    created.directory.start()
    created.estimates.start()
    return created


class Exchange:
    """A lessor and a follower, with the replies that go between them."""

    def __init__(self) -> None:
        self.simulation = range_simulation.RangeSimulation(server_count=6)
        self.simulation.instances[0].take_over()
        self.follower = create_side(self.simulation.clock)
        self.shown = create_side(self.simulation.clock).owners
        own = self.simulation.instances[0].own
        self.answering = report_responder.ReportResponder(
            own, self.simulation.clock, self.simulation.directory, self.shown
        )
        reporter = key_ranges.LessorIdentity(
            identity.Incarnation("follower", "life"), identity.Address("127.0.0.1", 7_100)
        )
        self.following = follower_state.FollowerState(
            reporter, self.follower.owners, self.follower.directory, self.follower.estimates
        )

    def report(self) -> reports.Reply:
        """Report once, over the encoding, and adopt the reply."""
        current = self.simulation.instances[0].current
        assert current is not None
        self.shown.apply(current.leases.create_view())
        report = report_encoding.decode_report(
            report_encoding.encode_report(self.following.create_report())
        )
        reply = report_encoding.decode_reply(
            report_encoding.encode_reply(self.answering.answer(current, report))
        )
        self.following.apply_reply(reply)
        return reply


@pytest.fixture
def exchange(monkeypatch: pytest.MonkeyPatch) -> Exchange:
    """Return an exchange in which no reply is held back."""
    monkeypatch.setattr(report_responder, "REPORT_WAIT_S", 0.0)
    return Exchange()


def test_a_reply_without_news_names_no_server_owner_or_peer(exchange: Exchange) -> None:
    exchange.report()
    exchange.report()
    reply = exchange.report()
    assert reply.peers is None
    assert reply.owners is None
    assert reply.servers is None


def test_a_change_of_one_server_is_told_alone(exchange: Exchange) -> None:
    exchange.report()
    incarnation = next(iter(exchange.simulation.servers))
    exchange.simulation.register_server(incarnation, draining=True)
    reply = exchange.report()
    assert reply.servers is not None
    assert len(reply.servers.added) == 1
    assert exchange.follower.directory.servers.by_name[incarnation.name].server.draining
    assert len(exchange.follower.directory.servers.by_name) == 6


def test_the_follower_sees_all_owners_after_each_step(exchange: Exchange) -> None:
    exchange.report()
    for _ in range(40):
        exchange.simulation.advance(0.2)
        reply = exchange.report()
        assert set(exchange.follower.owners.view.owners) == set(exchange.shown.view.owners)
    assert exchange.follower.owners.view.owners
    assert reply.owners is None or not reply.owners.ranges.is_full


def test_owners_read_from_the_store_are_no_base_for_changes(exchange: Exchange) -> None:
    exchange.simulation.advance(1.0)
    view = exchange.simulation.instances[0].current
    assert view is not None
    shown = view.leases.create_view()
    exchange.follower.owners.apply(owners.OwnersView(shown.term, shown.revision, ()))
    reply = exchange.report()
    assert reply.owners is not None
    assert reply.owners.ranges.base == row_changes.NO_REVISION


def test_a_report_forgets_what_was_seen_of_servers_that_are_gone(exchange: Exchange) -> None:
    exchange.report()
    listed = next(iter(exchange.follower.directory.servers.by_name.values())).server
    exchange.follower.estimates.begin(listed)
    exchange.follower.estimates.cancel_attempt(listed)
    exchange.report()
    assert exchange.follower.estimates._known
    exchange.simulation.deregister_server(listed.incarnation)
    exchange.report()
    exchange.report()
    assert exchange.follower.estimates._known == {}
