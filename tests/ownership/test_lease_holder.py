"""Tests of the server side of the lease protocol, and of the lessor's view of a lease."""

from __future__ import annotations

import pytest
from goldcresthall_stand_ins import lease_holder

from goldcresthall.core import leases
from goldcresthall.core import settings
from goldcresthall.ownership import lease_view
from tests.fakes import clock as clocks

GRANT = leases.Grant("archive", 0, 1)
OTHER_GRANT = leases.Grant("archive", 1, 1)
EPOCH = 3
DURATION_MS = 500
TIMING = lease_view.LeaseTiming.from_config(settings.LeaseSettings())


class Server:
    """A lease holder with a manual clock."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.holder = lease_holder.LeaseHolder(self.clock.read_s)

    def renew(
        self,
        *grants: leases.Grant,
        version: tuple[int, int] = (1, 0),
        epoch: int = EPOCH,
        stamp: leases.ServerStamp | None = None,
    ) -> leases.LeaseReport:
        table = leases.GrantTable(version[0], grants, version[1])
        used = stamp or self.holder.report().stamp
        return self.holder.renew(leases.Renewal(epoch, used, DURATION_MS, table))


@pytest.fixture
def server() -> Server:
    return Server()


def test_lease_starts_at_the_stamp_and_not_at_arrival(server: Server) -> None:
    stamp = server.holder.report().stamp
    server.clock.advance(0.4)
    server.renew(GRANT, stamp=stamp)
    assert server.holder.holds(GRANT)
    server.clock.advance(0.1)
    assert not server.holder.holds(GRANT)


def test_renewal_with_lower_epoch_is_fenced(server: Server) -> None:
    server.renew(GRANT)
    report = server.renew(GRANT, OTHER_GRANT, version=(9, 0), epoch=EPOCH - 1)
    assert report.status is leases.RenewalStatus.FENCED
    assert not server.holder.holds(OTHER_GRANT)


def test_older_grant_table_of_the_same_lessor_is_refused(server: Server) -> None:
    server.renew(OTHER_GRANT, version=(1, 1))
    report = server.renew(GRANT, OTHER_GRANT, version=(1, 0))
    assert report.status is leases.RenewalStatus.GRANTS_REFUSED
    assert not server.holder.holds(GRANT)


def test_stamp_of_an_earlier_incarnation_is_refused(server: Server) -> None:
    stamp = server.holder.report().stamp
    server.holder = lease_holder.LeaseHolder(server.clock.read_s)
    report = server.renew(GRANT, stamp=stamp)
    assert report.status is leases.RenewalStatus.STAMP_REFUSED
    assert not server.holder.holds(GRANT)


def test_withheld_grant_is_held_until_running_work_finishes(server: Server) -> None:
    server.renew(GRANT, OTHER_GRANT)
    assert server.holder.begin(GRANT)
    report = server.renew(OTHER_GRANT, version=(1, 1))
    assert report.finishing == 1
    assert server.holder.holds(GRANT)
    assert not server.holder.begin(GRANT)
    server.holder.end(GRANT)
    assert server.holder.report().finishing == 0


def test_withheld_grant_ends_with_the_lease_despite_running_work(server: Server) -> None:
    server.renew(GRANT, OTHER_GRANT)
    assert server.holder.begin(GRANT)
    server.renew(OTHER_GRANT, version=(1, 1))
    server.clock.advance(0.6)
    report = server.renew(OTHER_GRANT, version=(2, 1))
    assert report.status is leases.RenewalStatus.RENEWED
    assert server.holder.holds(OTHER_GRANT)
    assert not server.holder.holds(GRANT)


def test_acknowledged_epoch_does_not_prove_that_an_earlier_lease_expired() -> None:
    view = lease_view.LeaseView(lessor_epoch=EPOCH, appointed_at_s=0.0, has_predecessor=True)
    stamp = leases.ServerStamp("life", 0.0)
    report = leases.LeaseReport(leases.RenewalStatus.REPORTED, stamp, EPOCH - 1, 0.0, 1)
    view = lease_view.record_response(view, report, 0.0, TIMING)
    view = lease_view.record_renewal_sent(view, TIMING)
    # Between the two reports the previous lessor renewed with a stamp taken at 0.2 s.
    fenced = leases.LeaseReport(leases.RenewalStatus.RENEWED, stamp, EPOCH, 400.0, 1)
    view = lease_view.record_response(view, fenced, 0.3, TIMING)
    assert not lease_view.has_expired(view, 0.72, TIMING)
    assert lease_view.has_expired(view, 0.73, TIMING)


def test_wait_for_a_previous_lessor_includes_proportional_clock_drift() -> None:
    view = lease_view.LeaseView(lessor_epoch=EPOCH, appointed_at_s=0.0, has_predecessor=True)
    assert not lease_view.has_expired(view, 315.0, TIMING)
    assert lease_view.has_expired(view, 316.0, TIMING)


def test_renewal_without_response_counts_as_accepted() -> None:
    view = lease_view.LeaseView(lessor_epoch=EPOCH, appointed_at_s=0.0, has_predecessor=False)
    stamp = leases.ServerStamp("life", 0.0)
    renewed = leases.LeaseReport(leases.RenewalStatus.RENEWED, stamp, EPOCH, 350.0, 1)
    view = lease_view.record_response(view, renewed, 1.0, TIMING)
    view = lease_view.record_renewal_sent(view, TIMING)
    view = lease_view.record_response(view, leases.LeaseUnanswered("a", ""), 1.3, TIMING)
    assert not lease_view.has_expired(view, 1.52, TIMING)
    assert lease_view.has_expired(view, 1.53, TIMING)
