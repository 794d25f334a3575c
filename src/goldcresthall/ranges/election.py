"""The election service: follows the lessor, or takes over when it is lost."""

from __future__ import annotations

import enum
import random
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.ranges import failure_detection
from goldcresthall.ranges import follower_state
from goldcresthall.ranges import grants
from goldcresthall.ranges import lessor
from goldcresthall.ranges import lessor_context
from goldcresthall.ranges import owners
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import report_responder
from goldcresthall.ranges import reports
from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings
    from goldcresthall.kernel import kernel

REPORT_TIMEOUT_S = 0.9
OWN_REPORT_S = 0.2
PUBLISH_PAUSE_S = 0.03
SILENT_AFTER_S = 0.8
ALONE_AFTER_S = 4.0
REREAD_AFTER_S = 1.0
STORELESS_AFTER_S = 0.5
RETRY_S = 0.15
JITTER_S = 0.3
WEAK_DELAY_S = 0.6
SETTLE_INTERVAL_S = 0.3
STAND_DOWN_S = 0.15
GRANTS_END_S = 2.0
UNKNOWN_INSTANCES = 8


class _Step(enum.Enum):
    """What a follower does next."""

    REPORT_ON = "report on"
    REPORT_LATER = "report later"
    LOOK_AGAIN = "look again"
    TAKE_OVER = "take over"


class Election(reports.InstanceCounter):
    """Follows the lessor by reports and takes over when there is none.

    An instance that cannot reach the lessor first asks its peers: if one of them
    was answered lately, or none can be reached at all, the fault is its own.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: deployment_settings.DeploymentSettings,
    ) -> None:
        self._kernel = service_kernel
        self._own = key_ranges.LessorIdentity(incarnation, instance_settings.listen.peers)
        self._max_lease_s = instance_settings.max_lease_s
        self._delay_s = 0.0 if instance_settings.machine.meets_lessor_requirements else WEAK_DELAY_S
        self._generator = random.Random()  # noqa: S311
        self._lock = threading.Lock()
        self._lessor: lessor.LessorTerm | None = None
        self._peers: tuple[reports.Peer, ...] = ()
        self._stood_down_below = -1
        self._heard_at_s = -ALONE_AFTER_S
        self._followed_since_s = 0.0
        self._is_leaving = False
        self._storeless_since_s: float | None = None
        self._task = tasks.Task("election", self._run)
        self._own_task = tasks.Task("lessor-settling", self._settle_repeatedly)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: deployment_settings.DeploymentSettings,
    ) -> Election:
        """Return the election of an instance."""
        return cls(service_kernel, incarnation, instance_settings)

    @property
    def live_instances(self) -> int:
        """Number of instances that report to the lessor, this one included."""
        if self._lessor is not None:
            return 1 + self._responder.reporter_count
        return max(1, len(self._peers)) if self._peers else UNKNOWN_INSTANCES

    @property
    def is_lessor(self) -> bool:
        """Whether this instance is the lessor."""
        return self._lessor is not None

    def start(self) -> None:
        """Begin to follow."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._store = self._kernel.find(names.STORE, client.StoreClient)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        self._owners = self._kernel.find(names.OWNERS, owners.Owners)
        self._estimates = self._kernel.find(names.ESTIMATES, estimates.Estimates)
        self._channel = self._kernel.find(names.GRANTS, grants.GrantChannel)
        self._dialer = self._kernel.find(names.PEERS, reports.PeerDialer)
        self._responder = report_responder.ReportResponder(
            self._own, self._clock, self._directory, self._owners
        )
        self._task.start()
        self._own_task.start()

    def stop(self) -> None:
        """Stop following."""
        self._task.request_stop()
        self._own_task.request_stop()

    def resign(self) -> None:
        """Hand the tenure over, if there is one, and follow others until the end."""
        self._is_leaving = True
        current = self._lessor
        if current is not None:
            current.hand_over()

    def answer_report(self, report: reports.Report) -> reports.Reply:
        """Answer an instance's report, once there is news or after a while."""
        current = self._lessor
        if current is None or current.is_over:
            return reports.Reply(is_lessor=False, has_store=True, configuration=0)
        return self._responder.answer(current, report)

    def describe_presence(self) -> reports.Presence:
        """Return what this instance says of itself to a peer."""
        if self._lessor is not None:
            return reports.Presence(self._own.incarnation, 0.0)
        return reports.Presence(self._own.incarnation, self._clock.read_s() - self._heard_at_s)

    def handle_step_down(self, term: int) -> bool:
        """End a tenure that is older than a term; return whether it grants no more."""
        with self._lock:
            current = self._lessor
            if current is None:
                # A take-over of an earlier term that is under way must come to nothing.
                self._stood_down_below = max(self._stood_down_below, term)
                return True
        if current.term >= term:
            return False
        logging.info("term %d stands down for term %d", current.term, term)
        return current.step_down(STAND_DOWN_S)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            if self._directory.configuration is None or not self._directory.servers.by_name:
                stop_signal.wait(RETRY_S)
                continue
            stored = ownership_tables.read(self._store)
            if stored is None:
                stop_signal.wait(RETRY_S)
                continue
            self._adopt_stored(stored)
            found = stored.table.lessor
            if found is None or found.address == self._own.address:
                if found is None:
                    stop_signal.wait(self._draw_delay_s())
                self._take_over(stored, stop_signal)
            elif self._follow(found, stop_signal):
                self._take_over(stored, stop_signal)

    def _adopt_stored(self, stored: key_ranges.StoredTable) -> None:
        """Adopt the owners of a stored table if this is later than what is known."""
        owned = tuple(
            key_ranges.RangeOwner(item.service, item.keys, item.owner, ready=True)
            for item in stored.table.assignments
        )
        self._owners.apply(owners.OwnersView(stored.table.term, stored.table.revision, owned))

    def _follow(self, found: key_ranges.LessorIdentity, stop_signal: tasks.StopSignal) -> bool:
        """Report to a lessor until it is lost; return whether to take over."""
        self._followed_since_s = self._clock.read_s()
        self._storeless_since_s = None
        followed = follower_state.FollowerState(
            self._own, self._owners, self._directory, self._estimates
        )
        channel: reports.PeerChannel | None = None
        try:
            while not stop_signal.is_set:
                try:
                    channel = channel or self._dialer.dial(found.address, REPORT_TIMEOUT_S)
                    reply = channel.report(followed.create_report())
                except reports.UnreachableError as error:
                    channel = None
                    step = self._find_step(found, error)
                else:
                    step = self._note_reply(followed, reply)
                if step is _Step.TAKE_OVER:
                    stop_signal.wait(self._draw_delay_s())
                    return not self._has_changed(found)
                if step is not _Step.REPORT_ON:
                    stop_signal.wait(RETRY_S)
                if step is _Step.LOOK_AGAIN:
                    return False
        finally:
            if channel is not None:
                channel.close()
        return False

    def _draw_delay_s(self) -> float:
        """Return how long to leave a take-over to others; machines with much room go first."""
        return self._delay_s + self._generator.uniform(0, JITTER_S)

    def _find_step(
        self, found: key_ranges.LessorIdentity, error: reports.UnreachableError
    ) -> _Step:
        """Return what follows from a report that had no answer."""
        if self._is_lost(found, error):
            self._log_loss(found, error)
            return _Step.TAKE_OVER
        if self._find_silence_s() > REREAD_AFTER_S and self._has_changed(found):
            return _Step.LOOK_AGAIN
        return _Step.REPORT_LATER

    def _find_silence_s(self) -> float:
        return self._clock.read_s() - max(self._heard_at_s, self._followed_since_s)

    def _note_reply(self, followed: follower_state.FollowerState, reply: reports.Reply) -> _Step:
        """Adopt a reply and return what follows from it."""
        if not reply.is_lessor:
            return _Step.LOOK_AGAIN
        self._heard_at_s = self._clock.read_s()
        followed.apply_reply(reply)
        self._peers = followed.peers or self._peers
        return _Step.TAKE_OVER if self._is_storeless(reply) else _Step.REPORT_ON

    def _is_storeless(self, reply: reports.Reply) -> bool:
        """Return whether the lessor has lost the store for long while others may have it."""
        if reply.has_store:
            self._storeless_since_s = None
            return False
        now_s = self._clock.read_s()
        if self._storeless_since_s is None:
            self._storeless_since_s = now_s
        return now_s - self._storeless_since_s >= STORELESS_AFTER_S

    def _is_lost(self, found: key_ranges.LessorIdentity, error: reports.UnreachableError) -> bool:
        if error.is_refused:
            return True
        silent_s = self._find_silence_s()
        if silent_s < SILENT_AFTER_S:
            return False
        if silent_s >= ALONE_AFTER_S:
            return True
        others = [
            peer for peer in self._peers if peer.address not in {self._own.address, found.address}
        ]
        return failure_detection.peers_confirm_loss(self._dialer, others, self._generator)

    def _has_changed(self, found: key_ranges.LessorIdentity) -> bool:
        stored = ownership_tables.read(self._store)
        if stored is None:
            return True
        self._adopt_stored(stored)
        return stored.table.lessor != found

    def _log_loss(self, found: key_ranges.LessorIdentity, error: reports.UnreachableError) -> None:
        logging.warning(
            "lessor %s lost, step report, heard %.2f s ago: %s",
            found.incarnation,
            self._clock.read_s() - self._heard_at_s,
            error,
        )

    def _take_over(self, stored: key_ranges.StoredTable, stop_signal: tasks.StopSignal) -> None:
        """Become the lessor, unless another instance is faster, and serve as such."""
        if self._is_leaving:
            stop_signal.wait(RETRY_S)
            return
        latest = ownership_tables.read(self._store)
        if latest is None or latest.table.lessor != stored.table.lessor or stop_signal.is_set:
            return
        expected = latest.offset + 1
        table = ownership_tables.take_over(latest.table, self._own, expected)
        outcome = self._store.write(
            ownership_tables.TOPIC, ownership_tables.KEY, ownership_tables.encode(table), expected
        )
        if not isinstance(outcome, client.Written):
            logging.info("no take-over, step write: %s", outcome)
            return
        taken = key_ranges.StoredTable(outcome.offset, table)
        context = lessor_context.LessorContext(
            self._store, self._channel, self._directory, self._clock
        )
        current = lessor.LessorTerm(context, self._own, taken, self._max_lease_s)
        logging.info(
            "lessor from term %d, ranges %d, predecessors %d",
            outcome.offset,
            len(table.assignments),
            len(table.predecessors),
        )
        with self._lock:
            if current.term < self._stood_down_below:
                return
            self._lessor = current
        self._serve(current, stop_signal)

    def _serve(self, current: lessor.LessorTerm, stop_signal: tasks.StopSignal) -> None:
        self._responder.begin_term()
        publishing = tasks.Task("lessor-view", lambda stop: self._publish(current, stop))
        publishing.start()
        try:
            current.run(stop_signal)
        finally:
            publishing.stop()
            if not stop_signal.is_set:
                current.step_down(GRANTS_END_S)
                self._lessor = None

    def _publish(self, current: lessor.LessorTerm, stop_signal: tasks.StopSignal) -> None:
        """Keep this instance's own view and its own counts up to date.

        The pause gathers changes, each of which goes to all instances.
        """
        reported_at_s = self._clock.read_s()
        while not stop_signal.is_set:
            current.leases.wait_for_change(self._owners.view.revision, OWN_REPORT_S)
            self._owners.apply(current.leases.create_view())
            now_s = self._clock.read_s()
            if now_s - reported_at_s >= OWN_REPORT_S:
                reported_at_s = now_s
                self._responder.update_peers()
                self._estimates.retain(self._directory.servers.incarnations)
                current.statistics.add(self._owners.take_counts(), now_s)
                current.statistics.service_times.add(self._estimates.take_latency_samples(), now_s)
            stop_signal.wait(PUBLISH_PAUSE_S)

    def _settle_repeatedly(self, stop_signal: tasks.StopSignal) -> None:
        """Find out whether earlier lessors have ended, so that nobody waits for them."""
        while not stop_signal.wait(SETTLE_INTERVAL_S):
            current = self._lessor
            if current is None or current.is_over or not current.awaits_predecessors:
                continue
            if all(
                failure_detection.has_stopped_granting(self._dialer, item, current.term)
                for item in current.predecessors
            ):
                logging.info("term %d: all earlier lessors have ended", current.term)
                current.end_predecessor_wait()
