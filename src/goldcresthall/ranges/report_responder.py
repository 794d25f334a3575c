"""The lessor's handling of reports: records what followers send and builds the replies."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING

from goldcresthall.admission import lost_server_relay
from goldcresthall.core import configuration_documents
from goldcresthall.core import row_changes
from goldcresthall.gateway import directory
from goldcresthall.gateway import server_lists
from goldcresthall.load import work_combiner
from goldcresthall.load import work_table
from goldcresthall.ranges import reports
from goldcresthall.ranges import revision_history

if TYPE_CHECKING:
    from goldcresthall.admission import server_circuits
    from goldcresthall.core import deployment
    from goldcresthall.core import key_ranges
    from goldcresthall.gateway import estimates
    from goldcresthall.kernel import clock
    from goldcresthall.ranges import lessor
    from goldcresthall.ranges import owners

REPORT_WAIT_S = 0.5
REPORTER_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Reporter:
    peer: reports.Peer
    reported_at_s: float


class ReportResponder:
    """Replies to reports and tracks the instances that reported recently.

    A change of the owners, the servers or the configuration ends the long polls;
    `announce_changes` wakes them, so that a waiting report costs nothing.

    Parameters
    ----------
    own
        Identity and address of this instance.
    monotonic_clock
        Clock that times reporters and long polls.
    server_directory
        Directory whose servers and configuration version go into the replies.
    owners_service
        Latest owners.
    circuits
        Servers at which this instance lost requests; it gets the reports of the others.
    """

    def __init__(
        self,
        own: key_ranges.LessorIdentity,
        monotonic_clock: clock.Clock,
        server_directory: directory.Directory,
        owners_service: owners.Owners,
        circuits: server_circuits.ServerCircuits,
    ) -> None:
        self._own = own
        self._clock = monotonic_clock
        self._directory = server_directory
        self._owners = owners_service
        self._circuits = circuits
        self._lost_servers = lost_server_relay.LostServerRelay()
        self._lock = threading.Lock()
        self._announced = threading.Condition(self._lock)
        self._latest: tuple[object, ...] = ()
        self._reporters: dict[str, _Reporter] = {}
        self._peers = reports.PeerList()
        self._owner_history = revision_history.RevisionHistory(_find_start)
        self._server_history = revision_history.RevisionHistory(_find_name)
        self._work = work_combiner.WorkCombiner(self._find_service)

    def answer(self, own_term: lessor.LessorTerm, report: reports.Report) -> reports.Reply:
        """Process a report and reply on a change, at the latest after `REPORT_WAIT_S`."""
        arrived_at_s = self._clock.read_s()
        self._process(own_term, report)
        self._wait_for_changes(own_term, report)
        report = _forget_other_terms(report, own_term.term)
        # Read before the list, which may then be later than its version says, but not earlier.
        version = self._directory.version
        relayed = self._read_relayed_servers(own_term)
        peers = self.update_peers()
        return reports.Reply(
            is_lessor=not own_term.is_over,
            has_store=own_term.has_store,
            configuration=self._directory.configurations.latest_version,
            peers=peers if peers.revision != report.known_peers else None,
            owners=self._find_owner_changes(own_term, report),
            servers_known=_describe_version(relayed, version, arrived_at_s),
            servers=self._find_server_changes(relayed, report),
            document=self._find_newer_document(report),
            work=self._find_newer_work(report),
            evacuated=self._directory.known_evacuations,
            admissions=own_term.admissions,
            full_servers=self._lost_servers.find_for(
                report.reporter.incarnation.name, self._clock.read_s()
            ),
        )

    @property
    def reporter_count(self) -> int:
        """Number of other instances that reported within `REPORTER_TIMEOUT_S`."""
        return max(0, len(self._peers.peers) - 1)

    @property
    def work(self) -> work_table.WorkTable:
        """Work measured by all instances in this term."""
        return self._work.update_table(self._clock.read_s())

    def add_work(
        self,
        own_term: lessor.LessorTerm,
        samples: tuple[estimates.LatencySample, ...],
        route_samples: tuple[work_table.RouteSample, ...],
    ) -> None:
        """Add the work that an instance measured."""
        now_s = self._clock.read_s()
        own_term.statistics.add_times(samples, now_s)
        self._work.add(samples, route_samples, now_s)

    def begin_term(self, inherited: work_table.WorkTable) -> None:
        """Begin a term: drop the reporters, owner revisions and samples of earlier terms.

        Parameters
        ----------
        inherited
            Work table of the previous lessor.
        """
        self._work.begin_term(inherited, self._clock.read_s())
        with self._lock:
            self._reporters.clear()
            self._owner_history = revision_history.RevisionHistory(_find_start)

    def _process(self, own_term: lessor.LessorTerm, report: reports.Report) -> None:
        now_s = self._clock.read_s()
        self._directory.configurations.observe_version(report.configuration)
        for incarnation in report.draining_servers:
            self._directory.record_draining(incarnation)
        if report.evacuated is not None:
            self._directory.apply_evacuations(report.evacuated)
        own_term.statistics.add(report.counts, now_s, report.key_work)
        self.add_work(own_term, report.samples, report.route_samples)
        self._exchange_lost_servers(report, now_s)
        peer = reports.Peer(report.reporter.incarnation.name, report.reporter.address)
        with self._lock:
            self._reporters[peer.name] = _Reporter(peer, now_s)

    def _exchange_lost_servers(self, report: reports.Report, now_s: float) -> None:
        """Keep the reports of an instance and of this one, and apply those of the others here."""
        own_name = self._own.incarnation.name
        self._lost_servers.add(report.reporter.incarnation.name, report.full_servers, now_s)
        self._lost_servers.add(own_name, self._circuits.list_observed(), now_s)
        self._circuits.apply_reports(self._lost_servers.find_for(own_name, now_s))

    def update_peers(self) -> reports.PeerList:
        """Drop expired reporters and return the peer list; a change increments its revision."""
        own = reports.Peer(self._own.incarnation.name, self._own.address)
        oldest_s = self._clock.read_s() - REPORTER_TIMEOUT_S
        with self._lock:
            present = sorted(
                (
                    reporter.peer
                    for reporter in self._reporters.values()
                    if reporter.reported_at_s >= oldest_s
                ),
                key=_find_peer_name,
            )
            peers = (own, *present)
            if peers != self._peers.peers:
                self._peers = reports.PeerList(self._peers.revision + 1, peers)
            return self._peers

    def _find_owner_changes(
        self, own_term: lessor.LessorTerm, report: reports.Report
    ) -> reports.OwnerChanges | None:
        view = self._owners.view
        if view.term != own_term.term or _is_up_to_date(report, view):
            return None
        base = row_changes.NO_REVISION
        if report.known_term == view.term:
            base = report.known_revision
        changes = self._owner_history.find_changes(view.revision, view.owners, base)
        return reports.OwnerChanges(view.term, changes)

    def _find_server_changes(
        self, relayed: server_lists.RelayedServers, report: reports.Report
    ) -> reports.ServerChanges | None:
        if relayed.revision in {row_changes.NO_REVISION, report.known_servers}:
            return None
        return self._server_history.find_changes(
            relayed.revision, relayed.servers, report.known_servers
        )

    def _find_newer_document(
        self, report: reports.Report
    ) -> configuration_documents.ConfigurationDocument | None:
        document = self._directory.configurations.document
        if document is None or document.version <= report.held_configuration:
            return None
        return document

    def _find_newer_work(self, report: reports.Report) -> work_table.WorkTable | None:
        table = self.work
        is_known = table.revision in {row_changes.NO_REVISION, report.known_work}
        return None if is_known else table

    def _find_service(self, incarnation: deployment.ServerIncarnation) -> str | None:
        entry = self._directory.servers.find(incarnation)
        return None if entry is None else entry.server.service

    def _read_relayed_servers(self, own_term: lessor.LessorTerm) -> server_lists.RelayedServers:
        return self._directory.relay() if own_term.has_store else server_lists.STALE_SERVERS

    def announce_changes(self, own_term: lessor.LessorTerm) -> None:
        """End the long polls if anything changed that the replies contain."""
        latest = (
            self._owners.serial,
            self._read_relayed_servers(own_term).revision,
            self._directory.configurations.latest_version,
            self._directory.configurations.held_version,
            self._directory.evacuated.failure_domains,
        )
        with self._announced:
            if latest != self._latest:
                self._latest = latest
                self._announced.notify_all()

    def _wait_for_changes(self, own_term: lessor.LessorTerm, report: reports.Report) -> None:
        known = self._directory.evacuated.failure_domains
        with self._announced:
            self._announced.wait_for(
                lambda: self._directory.evacuated.failure_domains != known
                or self._has_changes(own_term, report),
                REPORT_WAIT_S,
            )

    def _has_changes(self, own_term: lessor.LessorTerm, report: reports.Report) -> bool:
        view = self._owners.view
        if view.term == own_term.term and not _is_up_to_date(report, view):
            return True
        if self._directory.configurations.latest_version > report.configuration:
            return True
        if self._find_newer_document(report) is not None:
            return True
        # A list that is not fresh changes nothing for the reporter.
        revision = self._read_relayed_servers(own_term).revision
        return revision not in {row_changes.NO_REVISION, report.known_servers}


def _describe_version(
    relayed: server_lists.RelayedServers, version: server_lists.ListVersion, arrived_at_s: float
) -> reports.KnownServers | None:
    if relayed.revision == row_changes.NO_REVISION:
        return None
    return reports.KnownServers(version.position, arrived_at_s - version.known_at_s)


def _forget_other_terms(report: reports.Report, term: int) -> reports.Report:
    """Return a report without the revisions that the reporter has from other terms.

    An earlier process at this address may have counted as many changes of lists of its own.
    """
    if report.known_term == term:
        return report
    return dataclasses.replace(
        report,
        known_servers=row_changes.NO_REVISION,
        known_peers=row_changes.NO_REVISION,
        known_work=row_changes.NO_REVISION,
    )


def _is_up_to_date(report: reports.Report, view: owners.OwnersView) -> bool:
    return (report.known_term, report.known_revision) == (view.term, view.revision)


def _find_start(range_owner: key_ranges.RangeOwner) -> key_ranges.RangeStart:
    return range_owner.start


def _find_name(server: deployment.RegisteredServer) -> str:
    return server.name


def _find_peer_name(peer: reports.Peer) -> str:
    return peer.name
