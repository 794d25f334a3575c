"""State that a follower replicates from the lessor it reports to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import row_changes
from goldcresthall.gateway import directory
from goldcresthall.gateway import server_lists
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import key_ranges
    from goldcresthall.load import work_table
    from goldcresthall.ranges import load_sources


class FollowerState:
    """Replicates one lessor's owners, servers and peers, and creates the reports to it.

    The lists start empty for each lessor: changes apply only to revisions from that lessor.

    Parameters
    ----------
    reporter
        Identity and address of this instance.
    owners_service
        Service that receives the replicated owners and counts requests per key.
    server_directory
        Directory that receives the relayed servers.
    sources
        What this instance measured; its work model receives the relayed work table.
    """

    def __init__(
        self,
        reporter: key_ranges.LessorIdentity,
        owners_service: owners.Owners,
        server_directory: directory.Directory,
        sources: load_sources.LoadSources,
    ) -> None:
        self._reporter = reporter
        self._owners = owners_service
        self._directory = server_directory
        self._sources = sources
        self._work_revision = row_changes.NO_REVISION
        self._view = owners.OwnersView()
        self._servers: tuple[deployment.RegisteredServer, ...] = ()
        self._servers_revision = row_changes.NO_REVISION
        self._peers = reports.PeerList()

    @property
    def peers(self) -> tuple[reports.Peer, ...]:
        """The instances that report to the lessor; empty before its first peer list."""
        return self._peers.peers

    def create_report(self) -> reports.Report:
        """Return a report with the counts and samples collected since the last one."""
        self._sources.retain(self._directory.servers.incarnations)
        counts = self._owners.take_counts(self._directory.read_s())
        return reports.Report(
            reporter=self._reporter,
            known_term=self._view.term,
            known_revision=self._view.revision,
            counts=counts.keys,
            key_work=counts.work,
            samples=self._sources.model.take_server_samples(),
            configuration=self._directory.configurations.latest_version,
            known_servers=self._servers_revision,
            known_peers=self._peers.revision,
            held_configuration=self._directory.configurations.held_version,
            draining_servers=self._directory.reported_draining,
            full_servers=self._sources.circuits.list_observed(),
            route_samples=self._sources.model.take_route_samples(),
            known_work=self._work_revision,
            evacuated=self._directory.known_evacuations,
        )

    def apply_reply(self, reply: reports.Reply, asked_at_s: float) -> None:
        """Apply the changes of a reply.

        Parameters
        ----------
        asked_at_s
            Clock reading in seconds before the report was sent.
        """
        self._sources.admissions.replace(reply.admissions, self._directory.read_s())
        if reply.peers is not None:
            self._peers = reply.peers
        if reply.document is not None:
            self._directory.configurations.receive_document(reply.document)
        self._directory.configurations.observe_version(reply.configuration)
        self._directory.apply_relayed_evacuations(reply.evacuated)
        self._sources.circuits.apply_reports(reply.full_servers)
        if reply.owners is not None:
            self._apply_owners(reply.owners)
        self._apply_work(reply.work)
        if reply.servers is not None:
            self._servers = row_changes.apply_changes(
                self._servers, reply.servers, lambda server: server.name
            )
            self._servers_revision = reply.servers.revision
            logging.info(
                "server list of the lessor, step report, revision %d after %d, servers %d",
                reply.servers.revision,
                reply.servers.base,
                len(self._servers),
            )
        # Without fresh servers the relay ends by itself, unless a successor relays before that.
        if reply.servers_known is not None:
            version = server_lists.ListVersion(
                reply.servers_known.position, asked_at_s - reply.servers_known.age_s
            )
            self._directory.apply_relayed(self._servers, version)

    def _apply_work(self, table: work_table.WorkTable | None) -> None:
        """Apply a new work table; without one the lessor still has the table sent before."""
        if table is not None:
            self._sources.model.apply_table(table)
            self._work_revision = table.revision
        elif self._work_revision != row_changes.NO_REVISION:
            self._sources.model.confirm_table()

    def _apply_owners(self, changes: reports.OwnerChanges) -> None:
        rows = row_changes.apply_changes(
            self._view.owners, changes.ranges, lambda range_owner: range_owner.start
        )
        self._view = owners.OwnersView(changes.term, changes.ranges.revision, rows)
        self._owners.apply(self._view)
