"""The election service: reports to the lessor and takes over when the lessor is lost."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import key_ranges
from goldcresthall.gateway import directory
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.ranges import failure_detection
from goldcresthall.ranges import follower_state
from goldcresthall.ranges import following
from goldcresthall.ranges import grants
from goldcresthall.ranges import lessor_contact
from goldcresthall.ranges import lessor_context
from goldcresthall.ranges import load_sources
from goldcresthall.ranges import owners
from goldcresthall.ranges import ownership_tables
from goldcresthall.ranges import publication
from goldcresthall.ranges import report_responder
from goldcresthall.ranges import reports
from goldcresthall.ranges import retained_tables
from goldcresthall.ranges import takeover
from goldcresthall.ranges import takeover_delays
from goldcresthall.store import client
from goldcresthall.store import positions

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings
    from goldcresthall.kernel import kernel
    from goldcresthall.ranges import lessor

REREAD_TABLE_AFTER_S = 1.0
RETRY_INTERVAL_S = 0.15
PREDECESSOR_QUERY_INTERVAL_S = 0.3
STEP_DOWN_TIMEOUT_S = 0.15
STOP_TIMEOUT_S = 2.0
RETRY_HANDOVER_INTERVAL_S = 0.3
ASSUMED_INSTANCE_COUNT = 8
# A lessor that goes on sees within this time that the store came back from a copy, and writes its
# table again. Any other instance would have to wait for the end of all leases.
RESTORE_WAIT_S = 2.0


class Election(reports.InstanceCounter):
    """Reports to the lessor and takes over when there is none."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        settings: deployment_settings.DeploymentSettings,
    ) -> None:
        self._kernel = service_kernel
        self._own = key_ranges.LessorIdentity(incarnation, settings.listen.peers)
        self._max_lease_s = settings.max_lease_s
        self._max_record_bytes = settings.max_record_bytes
        self._generator = random.Random()  # noqa: S311
        self._delays = takeover_delays.TakeoverDelays.from_config(settings, self._generator)
        self._lock = threading.Lock()
        self._term: lessor.LessorTerm | None = None
        self._peers: tuple[reports.Peer, ...] = ()
        self._is_first_start = settings.is_first_start
        self._first_era: int | None = None
        self._memory = retained_tables.TableMemory()
        self._has_yielded = False
        self._min_term = -1
        self._has_resigned = False
        self._successor: key_ranges.LessorIdentity | None = None
        self._named_successor: key_ranges.LessorIdentity | None = None
        self._followed: key_ranges.LessorIdentity | None = None
        self._task = tasks.LoopTask("election", self._run)
        self._predecessor_task = tasks.LoopTask("predecessor-query", self._query_predecessors)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        settings: deployment_settings.DeploymentSettings,
    ) -> Election:
        """Create the election service of an instance."""
        return cls(service_kernel, incarnation, settings)

    @property
    def live_instances(self) -> int:
        """Number of instances, including this one; assumed before the first list of peers."""
        if self._term is not None:
            return 1 + self._responder.reporter_count
        return max(1, len(self._peers)) if self._peers else ASSUMED_INSTANCE_COUNT

    @property
    def rank(self) -> int:
        """Position in the lessor's list of instances; 0 for the lessor or if it is not listed."""
        if self._term is not None:
            return 0
        names_in_order = [peer.name for peer in self._peers]
        own_name = self._own.incarnation.name
        return names_in_order.index(own_name) if own_name in names_in_order else 0

    @property
    def is_lessor(self) -> bool:
        """Whether this instance is the lessor."""
        return self._term is not None

    def start(self) -> None:
        """Look up the services it depends on and start its tasks."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._store = self._kernel.find(names.STORE, client.StoreClient)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)
        self._owners = self._kernel.find(names.OWNERS, owners.Owners)
        self._sources = load_sources.LoadSources.find(self._kernel)
        self._dialer = self._kernel.find(names.PEERS, reports.PeerDialer)
        self._context = lessor_context.LessorContext(
            self._store,
            self._kernel.find(names.GRANTS, grants.GrantChannel),
            self._directory,
            self._clock,
            max_record_bytes=self._max_record_bytes,
        )
        self._contact = lessor_contact.LessorContact(
            self._own.address, self._clock, self._dialer, self._generator
        )
        self._responder = report_responder.ReportResponder(
            self._own, self._clock, self._directory, self._owners, self._sources.circuits
        )
        self._task.start()
        self._predecessor_task.start()

    def stop(self) -> None:
        """Request both tasks to stop."""
        self._task.request_stop()
        self._predecessor_task.request_stop()

    def resign(self, stop_signal: tasks.StopSignal) -> None:
        """Hand over its term, if any, and do not become lessor again before the process ends.

        While the store is unreachable the term goes on, and the handover is tried again.
        """
        self._has_resigned = True
        own_term = self._term
        while own_term is not None and not own_term.is_over and not own_term.hand_over():
            logging.info("term %d not handed over: store unreachable, step resign", own_term.term)
            stop_signal.wait(RETRY_HANDOVER_INTERVAL_S)

    def answer_report(self, report: reports.Report) -> reports.Reply:
        """Reply to a report; as the lessor, on a change or at the end of the long poll."""
        own_term = self._term
        if own_term is None or own_term.is_over:
            return reports.Reply(
                is_lessor=False, has_store=True, configuration=0, successor=self._successor
            )
        return self._responder.answer(own_term, report)

    def describe_presence(self) -> reports.Presence:
        """Return this instance's incarnation and how long ago the lessor last replied to it."""
        if self._term is not None:
            return reports.Presence(self._own.incarnation, 0.0)
        return reports.Presence(self._own.incarnation, self._contact.reply_age_s)

    def handle_step_down(
        self, term: int, successor: key_ranges.LessorIdentity | None = None
    ) -> bool:
        """Step down if `term` is later; return whether this instance sends no further grants.

        The instances that report to this one are told of the successor, if it is known.
        """
        with self._lock:
            own_term = self._term
            if own_term is None:
                # Aborts a concurrent takeover whose term precedes `term`.
                self._min_term = max(self._min_term, term)
                self._successor = successor or self._successor
                return self._memory.drop()
            if own_term.term >= term:
                return False
            self._has_yielded = True
        logging.info(
            "term %s steps down for term %s",
            positions.describe(own_term.term),
            positions.describe(term),
        )
        self._successor = successor
        return own_term.step_down(STEP_DOWN_TIMEOUT_S)

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        stop_signal.wait(self._delays.first_read_s)
        known: key_ranges.StoredTable | None = None
        while not stop_signal.is_set:
            stored = known or ownership_tables.read(self._store)
            known = None
            if stored is None:
                known = self._create_last_known()
                stop_signal.wait(RETRY_INTERVAL_S)
                continue
            self._owners.apply(owners.OwnersView.from_table(stored.table))
            self._record_era(stored)
            lessor = stored.table.lessor
            if ownership_tables.is_from_copy(stored) and not self._memory.is_empty:
                known = self._take_over(stored, stop_signal)
                continue
            if lessor is None or lessor.address == self._own.address:
                if lessor is None:
                    stop_signal.wait(self._delays.draw_s())
                known = self._take_over(stored, stop_signal)
                continue
            followed = self._follow(lessor, stop_signal)
            if followed.takes_over:
                known = self._take_over(stored, stop_signal)
            elif followed.successor is not None and stored.is_read:
                # Two instances could name each other, so the table is read after one name.
                known = ownership_tables.create_unread(followed.successor)

    def _record_era(self, stored: key_ranges.StoredTable) -> None:
        """Record the era of the first table that is read."""
        if self._first_era is None and stored.is_read:
            self._first_era = positions.find_era(stored.offset + 1)

    def _create_last_known(self) -> key_ranges.StoredTable | None:
        """Return the lessor to report to while the table cannot be read.

        That is the one that took over from this instance, or the one that it followed last. A
        lessor that lost the store as well goes on renewing, and regains it first.
        """
        last_known = self._successor or self._followed
        return None if last_known is None else ownership_tables.create_unread(last_known)

    def _follow(
        self, lessor: key_ranges.LessorIdentity, stop_signal: tasks.StopSignal
    ) -> following.Followed:
        """Report to a lessor until it is lost or replaced."""
        self._followed = lessor
        self._contact.begin()
        follower = follower_state.FollowerState(
            self._own, self._owners, self._directory, self._sources
        )
        connection = following.LessorConnection(self._dialer, lessor)
        try:
            while not stop_signal.is_set:
                step = self._report(connection, follower)
                if step is following.FollowStep.TAKE_OVER:
                    step = self._await_takeover(connection, follower, stop_signal)
                    if step is not following.FollowStep.FOLLOW_SUCCESSOR:
                        return following.Followed(takes_over=not self._has_lessor_changed(lessor))
                if step is following.FollowStep.FOLLOW_SUCCESSOR:
                    return following.Followed(successor=self._named_successor)
                if step is not following.FollowStep.CONTINUE:
                    stop_signal.wait(RETRY_INTERVAL_S)
                if step is following.FollowStep.REREAD_TABLE:
                    return following.Followed()
        finally:
            connection.close()
        return following.Followed()

    def _await_takeover(
        self,
        connection: following.LessorConnection,
        follower: follower_state.FollowerState,
        stop_signal: tasks.StopSignal,
    ) -> following.FollowStep:
        """Wait for the takeover delay; a lessor that only lost the store may name its successor."""
        stop_signal.wait(self._delays.draw_s())
        if not self._contact.is_without_store:
            return following.FollowStep.TAKE_OVER
        return self._report(connection, follower)

    def _report(
        self, connection: following.LessorConnection, follower: follower_state.FollowerState
    ) -> following.FollowStep:
        asked_at_s = self._clock.read_s()
        try:
            reply = connection.report(follower.create_report())
        except reports.UnreachableError as error:
            return self._on_fail(connection.lessor, error)
        follow_step = self._on_reply(connection.lessor, reply)
        if reply.is_lessor:
            follower.apply_reply(reply, asked_at_s)
            self._peers = follower.peers or self._peers
            # A lessor without the store may have been replaced, and its list with it.
            if reply.has_store:
                self._sources.cold_starts.apply_instances(
                    tuple(peer.name for peer in follower.peers), asked_at_s
                )
        return follow_step

    def _on_fail(
        self, lessor: key_ranges.LessorIdentity, error: reports.UnreachableError
    ) -> following.FollowStep:
        if self._contact.check_loss(lessor, self._peers, error):
            return following.FollowStep.TAKE_OVER
        if self._contact.silence_s > REREAD_TABLE_AFTER_S and self._has_lessor_changed(lessor):
            return following.FollowStep.REREAD_TABLE
        return following.FollowStep.RETRY

    def _on_reply(
        self, lessor: key_ranges.LessorIdentity, reply: reports.Reply
    ) -> following.FollowStep:
        if not reply.is_lessor:
            self._named_successor = reply.successor
            if reply.successor in (None, lessor):
                return following.FollowStep.REREAD_TABLE
            return following.FollowStep.FOLLOW_SUCCESSOR
        has_lost_store = self._contact.record_reply(has_store=reply.has_store)
        return following.FollowStep.TAKE_OVER if has_lost_store else following.FollowStep.CONTINUE

    def _has_lessor_changed(self, lessor: key_ranges.LessorIdentity) -> bool:
        stored = ownership_tables.read(self._store)
        if stored is None:
            return True
        self._owners.apply(owners.OwnersView.from_table(stored.table))
        return stored.table.lessor != lessor

    def _take_over(
        self, stored: key_ranges.StoredTable, stop_signal: tasks.StopSignal
    ) -> key_ranges.StoredTable | None:
        """Take over and run the term, unless another instance takes over first.

        Returns that instance's table, so that it need not be read again.
        """
        if self._has_resigned:
            stop_signal.wait(RETRY_INTERVAL_S)
            return None
        restored = self._await_restored_table(stored, stop_signal)
        if restored is not None:
            return restored
        retained = self._memory.begin_use()
        try:
            result = takeover.take_over(
                self._context,
                self._own,
                stored,
                self._max_lease_s,
                stop_signal,
                retained=retained,
                first_start_era=self._first_era if self._is_first_start else None,
            )
        finally:
            self._memory.end_use()
        return self._begin_term(result, stop_signal)

    def _await_restored_table(
        self, stored: key_ranges.StoredTable, stop_signal: tasks.StopSignal
    ) -> key_ranges.StoredTable | None:
        """Wait for a lessor that writes its table again in place of a copy; return its table."""
        is_first = self._is_first_start and ownership_tables.is_first(stored)
        if is_first or not ownership_tables.is_from_copy(stored) or not self._memory.is_empty:
            return None
        stop_signal.wait(RESTORE_WAIT_S)
        latest = ownership_tables.read(self._store)
        is_restored = latest is not None and not ownership_tables.is_from_copy(latest)
        return latest if is_restored else None

    def _begin_term(
        self, result: takeover.TakeoverResult, stop_signal: tasks.StopSignal
    ) -> key_ranges.StoredTable | None:
        own_term = result.term
        if own_term is None:
            if result.other_table is None:
                stop_signal.wait(RETRY_INTERVAL_S)
            return result.other_table
        with self._lock:
            if own_term.term < self._min_term:
                return None
            self._term = own_term
            self._has_yielded = False
            self._memory.keep(None)
            self._successor = None
            self._followed = None
        self._serve(own_term, stop_signal)
        return None

    def _serve(self, own_term: lessor.LessorTerm, stop_signal: tasks.StopSignal) -> None:
        self._responder.begin_term(self._sources.model.table)
        publisher = publication.ViewPublisher(
            own_term=own_term,
            responder=self._responder,
            owners_service=self._owners,
            sources=self._sources,
            server_directory=self._directory,
        )
        publishing = tasks.LoopTask("lessor-view", publisher.run)
        publishing.start()
        try:
            own_term.run(stop_signal)
        finally:
            publishing.stop()
            if not stop_signal.is_set:
                own_term.step_down(STOP_TIMEOUT_S)
                self._end_term(own_term)

    def _end_term(self, own_term: lessor.LessorTerm) -> None:
        """Keep the table of a term that the store's return has ended, unless it was given up."""
        with self._lock:
            if not self._has_yielded:
                self._memory.keep(own_term.retained)
            self._term = None

    def _query_predecessors(self, stop_signal: tasks.StopSignal) -> None:
        """Query earlier lessors, so that the term need not wait for their grants to end."""
        while not stop_signal.wait(PREDECESSOR_QUERY_INTERVAL_S):
            own_term = self._term
            if own_term is not None and not own_term.is_over:
                failure_detection.query_predecessors(self._dialer, own_term, self._own)
