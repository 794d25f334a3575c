"""Publication of a lessor's owners to its own instance and to those that report to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import row_changes

if TYPE_CHECKING:
    from goldcresthall.gateway import directory
    from goldcresthall.kernel import tasks
    from goldcresthall.load import work_table
    from goldcresthall.ranges import lessor
    from goldcresthall.ranges import load_sources
    from goldcresthall.ranges import owners
    from goldcresthall.ranges import report_responder

OWN_REPORT_INTERVAL_S = 0.2
ANNOUNCEMENT_INTERVAL_S = 0.1
MIN_PUBLISH_PAUSE_S = 0.03
MAX_PUBLISH_PAUSE_S = 0.3
# Each publication makes every instance report again; the pause leaves the lessor half of its time.
PUBLISH_PAUSE_PER_INSTANCE_S = 0.0008


class ViewPublisher:
    """Publishes the owners of a term, and adds this instance's own statistics to the term's.

    Parameters
    ----------
    own_term
        The term whose owners are published.
    responder
        Replies to the instances that wait for changes.
    owners_service
        Owners by which this instance routes requests.
    sources
        What this instance measured; its work model receives the combined work table.
    server_directory
        Servers of which observations are kept.
    """

    def __init__(
        self,
        *,
        own_term: lessor.LessorTerm,
        responder: report_responder.ReportResponder,
        owners_service: owners.Owners,
        sources: load_sources.LoadSources,
        server_directory: directory.Directory,
    ) -> None:
        self._term = own_term
        self._responder = responder
        self._owners = owners_service
        self._sources = sources
        self._directory = server_directory
        self._applied_work: work_table.WorkTable | None = None

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """Publish until asked to stop; a pause batches changes for all instances."""
        reported_at_s = self._directory.read_s()
        while not stop_signal.is_set:
            self._publish()
            now_s = self._directory.read_s()
            if now_s - reported_at_s >= OWN_REPORT_INTERVAL_S:
                reported_at_s = now_s
                self._add_own_statistics(now_s)
            stop_signal.wait(find_publish_pause_s(self._responder.reporter_count))

    def _publish(self) -> None:
        leases = self._term.leases
        leases.wait_for_change(self._owners.view.revision, ANNOUNCEMENT_INTERVAL_S)
        view = leases.create_view()
        self._owners.apply(view)
        self._responder.announce_changes(self._term)
        leases.record_publication(view.revision)

    def _add_own_statistics(self, now_s: float) -> None:
        self._sources.admissions.replace(self._term.admissions, now_s)
        listed = self._responder.update_peers()
        if self._term.has_store and not self._term.is_over:
            names = tuple(peer.name for peer in listed.peers)
            self._sources.cold_starts.apply_instances(names, now_s)
        self._sources.retain(self._directory.servers.incarnations)
        model = self._sources.model
        counts = self._owners.take_counts(now_s)
        self._term.statistics.add(counts.keys, now_s, counts.work)
        self._responder.add_work(
            self._term, model.take_server_samples(), model.take_route_samples()
        )
        self._apply_work(self._responder.work)

    def _apply_work(self, table: work_table.WorkTable) -> None:
        if table.revision == row_changes.NO_REVISION:
            return
        if table is self._applied_work:
            self._sources.model.confirm_table()
            return
        self._applied_work = table
        self._sources.model.apply_table(table)


def find_publish_pause_s(reporters: int) -> float:
    """Return the seconds between two publications to a number of reporting instances."""
    wanted_s = PUBLISH_PAUSE_PER_INSTANCE_S * reporters
    return min(MAX_PUBLISH_PAUSE_S, max(MIN_PUBLISH_PAUSE_S, wanted_s))
