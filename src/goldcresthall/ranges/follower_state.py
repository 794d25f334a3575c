"""What an instance has from the lessor that it reports to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import row_changes
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import key_ranges
    from goldcresthall.gateway import directory
    from goldcresthall.gateway import estimates


class FollowerState:
    """The lists of one lessor as its replies made them, and the reports to it."""

    def __init__(
        self,
        reporter: key_ranges.LessorIdentity,
        owned: owners.Owners,
        known: directory.Directory,
        seen: estimates.Estimates,
    ) -> None:
        self._reporter = reporter
        self._owners = owned
        self._directory = known
        self._estimates = seen
        self._view = owners.OwnersView()
        self._servers: tuple[deployment.RegisteredServer, ...] = ()
        self._servers_revision = row_changes.NO_REVISION
        self._peers = reports.PeerList()

    @property
    def peers(self) -> tuple[reports.Peer, ...]:
        """The instances that report to the lessor; none if it did not tell yet."""
        return self._peers.peers

    def create_report(self) -> reports.Report:
        """Return a report with what was counted since the last one."""
        self._estimates.retain(self._directory.servers.incarnations)
        return reports.Report(
            reporter=self._reporter,
            known_term=self._view.term,
            known_revision=self._view.revision,
            counts=self._owners.take_counts(),
            samples=self._estimates.take_latency_samples(),
            configuration=self._directory.latest_version,
            known_servers=self._servers_revision,
            known_peers=self._peers.revision,
        )

    def apply_reply(self, reply: reports.Reply) -> None:
        """Adopt what a reply tells."""
        if reply.peers is not None:
            self._peers = reply.peers
        self._directory.observe_version(reply.configuration)
        if reply.owners is not None:
            self._adopt_owners(reply.owners)
        if reply.has_fresh_servers:
            self._adopt_servers(reply.servers)
        else:
            self._directory.end_relay()

    def _adopt_owners(self, changes: reports.OwnerChanges) -> None:
        rows = row_changes.apply_changes(
            self._view.owners, changes.ranges, lambda owned: owned.start
        )
        self._view = owners.OwnersView(changes.term, changes.ranges.revision, rows)
        self._owners.apply(self._view)

    def _adopt_servers(self, changes: reports.ServerChanges | None) -> None:
        if changes is None:
            self._directory.apply_relayed(None)
            return
        self._servers = row_changes.apply_changes(
            self._servers, changes, lambda server: server.name
        )
        self._servers_revision = changes.revision
        self._directory.apply_relayed(self._servers)
