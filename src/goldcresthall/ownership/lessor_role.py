"""The lessor's role: renews one server's lease and moves its keys when it is lost."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import leases
from goldcresthall.core import records
from goldcresthall.ownership import appointments
from goldcresthall.ownership import grant_table_cache
from goldcresthall.ownership import lease_view
from goldcresthall.ownership import move_commits
from goldcresthall.ownership import placement
from goldcresthall.ownership import revocation
from goldcresthall.ownership import timestamped_state
from goldcresthall.replication import commits

if TYPE_CHECKING:
    from goldcresthall.kernel import kernel
    from goldcresthall.ownership import lease_context
    from goldcresthall.ownership import lookup
    from goldcresthall.replication import state as replicated

COMMIT_TIMEOUT_S = 2.0
FINISH_POLL_S = 0.03
LAPSE_SLACK_S = 0.005
STEADY_RENEWALS = 10
LOST_REASON = "lease ran out"


class LessorRole:
    """Renews one server's lease for as long as this instance is its lessor."""

    def __init__(self, service_kernel: kernel.Kernel, shared: lease_context.LeaseContext) -> None:
        self._shared = shared
        self._timing = shared.timing
        self._tables = grant_table_cache.GrantTableCache(shared.server_name)
        self._handoff = move_commits.MoveCommitter(service_kernel)
        self._revocation = revocation.Revocation(shared, self._handoff)
        self._view: lease_view.LeaseView | None = None

    @property
    def server_incarnation(self) -> str:
        """Life of the server process that answered last; empty if none did."""
        return "" if self._view is None else self._view.server_incarnation

    @property
    def is_move_pending(self) -> bool:
        """Whether a move handed to the log may yet be accepted."""
        return self._handoff.is_pending

    def leave(self) -> None:
        """Forget the lease, as this instance is not its lessor now."""
        self._handoff.settle()
        self._view = None
        self._revocation.forget()

    def step(self, keyed: lookup.KeyedServer) -> None:
        """Renew once, decide what the answer calls for, and wait for the next time."""
        self._handoff.settle()
        base = timestamped_state.TimestampedState.read(self._shared.replica)
        if self._handoff.is_loss_pending or not self._is_lessor(base.state):
            self._shared.wakeup.wait(self._timing.renew_interval_s)
            return
        view = self._meet(keyed, self._enter(base.state))
        if self._is_new_process(view, base.state):
            self._view = view
            self._appoint_again(view, base)
            self._shared.wakeup.wait(self._timing.renew_interval_s)
            return
        view = self._renew(keyed, view, base)
        self._view = view
        if lease_view.is_superseded(view):
            self._shared.wakeup.wait(self._timing.renew_interval_s)
            return
        if lease_view.has_expired(view, self._shared.clock.read_s(), self._timing):
            self._declare_lost(keyed, base)
            self._shared.wakeup.wait(self._timing.renew_interval_s)
            return
        self._note_return(view, base)
        if not self._advance_moves(keyed, view, base):
            self._wait(view)

    def _is_lessor(self, state: replicated.State) -> bool:
        known = state.servers.get(self._shared.server_name)
        return known is not None and known.lessor == self._shared.incarnation

    def _wait(self, view: lease_view.LeaseView) -> None:
        pause_s = self._timing.renew_interval_s
        if self._revocation.is_waiting:
            pause_s = FINISH_POLL_S
        elif view.consecutive_renewals == 0:
            pause_s = self._end_with_lease(view, pause_s)
        self._shared.wakeup.wait(pause_s)

    def _end_with_lease(self, view: lease_view.LeaseView, longest_s: float) -> float:
        # Whoever waits for a lost server's keys waits for the end of its lease alone.
        left_s = view.ends_at_s - self._shared.clock.read_s()
        return min(longest_s, left_s + LAPSE_SLACK_S) if left_s > 0 else longest_s

    def _enter(self, state: replicated.State) -> lease_view.LeaseView:
        known = state.servers[self._shared.server_name]
        view = self._view
        if view is not None and view.lessor_epoch == known.epoch:
            return view
        return lease_view.LeaseView(
            lessor_epoch=known.epoch,
            appointed_at_s=self._shared.clock.read_s(),
            has_predecessor=known.succeeded,
            ends_at_s=float("-inf") if view is None else view.ends_at_s,
        )

    def _renew(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        base: timestamped_state.TimestampedState,
    ) -> lease_view.LeaseView:
        if view.report is None:
            return view
        # The stamp was received before this check, so a renewal that a pause delays
        # after the check extends the lease no further than one sent at once.
        if self._shared.clock.read_s() - base.read_began_at_s >= self._timing.authority_s:
            self._shared.counters.renewals.labels("no_authority").inc()
            return view
        return self._send_renewal(keyed, view, view.report.stamp, base)

    def _meet(self, keyed: lookup.KeyedServer, view: lease_view.LeaseView) -> lease_view.LeaseView:
        if view.report is not None:
            return view
        outcome = self._shared.client.report_lease(keyed.server, self._timing.request_timeout_s)
        return lease_view.record_response(view, outcome, self._shared.clock.read_s(), self._timing)

    def _is_new_process(self, view: lease_view.LeaseView, state: replicated.State) -> bool:
        known = state.servers[self._shared.server_name]
        return view.report is not None and view.server_incarnation != known.server_incarnation

    def _send_renewal(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        stamp: leases.ServerStamp,
        base: timestamped_state.TimestampedState,
    ) -> lease_view.LeaseView:
        table = self._tables.create(base.state, self._revocation.withheld)
        is_known = view.report is not None and view.report.grant_version == table.version
        renewal = leases.Renewal(
            lessor_epoch=view.lessor_epoch,
            stamp=stamp,
            duration_ms=self._timing.duration_ms,
            table=None if is_known else table,
        )
        view = lease_view.record_renewal_sent(view, self._timing)
        timeout_s = self._end_with_lease(view, self._timing.request_timeout_s)
        outcome = self._shared.client.renew_lease(keyed.server, renewal, timeout_s)
        self._count_renewal(outcome)
        return lease_view.record_response(view, outcome, self._shared.clock.read_s(), self._timing)

    def _count_renewal(self, outcome: leases.LeaseOutcome) -> None:
        status = "unanswered"
        if isinstance(outcome, leases.LeaseReport):
            status = outcome.status.value
        self._shared.counters.renewals.labels(status).inc()

    def _appoint_again(
        self, view: lease_view.LeaseView, base: timestamped_state.TimestampedState
    ) -> None:
        if not self._shared.is_log_reachable(base):
            return
        wish = appointments.Appointment(
            server=self._shared.server_name,
            lessor=self._shared.incarnation,
            server_incarnation=view.server_incarnation,
            author=self._shared.incarnation,
            reason="server process was met for the first time",
        )
        appointments.appoint(wish, base.state, self._shared.replica)

    def _declare_lost(
        self, keyed: lookup.KeyedServer, base: timestamped_state.TimestampedState
    ) -> None:
        name = self._shared.server_name
        known = base.state.servers[name]
        moves = placement.plan_evacuation(name, keyed.policy, base.state)
        if not self._shared.is_log_reachable(base) or (known.lost and not moves):
            return
        self._revocation.forget()
        record = records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=base.state.next_offset,
            author=str(self._shared.incarnation),
            reason=f"lease of {name} ran out without an answer",
            decided_at=identity.format_utc_now(),
            moves=moves,
            lessor=self._shared.incarnation,
            lessor_epoch=known.epoch,
            lost_server=name,
        )
        logging.warning("server %s lost, %d partitions move", name, len(moves))
        self._handoff.hand_over(name, record, LOST_REASON, COMMIT_TIMEOUT_S)

    def _note_return(
        self, view: lease_view.LeaseView, base: timestamped_state.TimestampedState
    ) -> None:
        name = self._shared.server_name
        known = base.state.servers[name]
        if not known.lost or view.consecutive_renewals < STEADY_RENEWALS:
            return
        if not self._shared.is_log_reachable(base):
            return
        record = records.ServerReturned(
            record_id=identity.create_record_id(),
            base=base.state.next_offset,
            author=str(self._shared.incarnation),
            reason=f"{STEADY_RENEWALS} renewals in a row were answered",
            server=name,
            lessor=self._shared.incarnation,
            lessor_epoch=known.epoch,
        )
        self._view = dataclasses.replace(view, consecutive_renewals=0)
        outcome = self._shared.replica.commit(record, self._timing.renew_interval_s)
        logging.info("server %s returned: %s", name, outcome)
        if isinstance(outcome, commits.CommitAccepted):
            self._shared.counters.returned_servers.inc()

    def _advance_moves(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        base: timestamped_state.TimestampedState,
    ) -> bool:
        table = self._tables.create(base.state, self._revocation.withheld)
        return self._revocation.advance(keyed, view, table, base)
