"""Lessor role: renews one server's lease and moves its partitions if it is lost."""

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

LOSS_COMMIT_TIMEOUT_S = 2.0
FINISH_POLL_INTERVAL_S = 0.03
EXPIRY_CHECK_SLACK_S = 0.005
RETURN_RENEWAL_COUNT = 10
LOSS_METRIC_REASON = "lease ran out"


class LessorRole:
    """Renews one server's lease while this instance is the server's lessor."""

    def __init__(self, service_kernel: kernel.Kernel, context: lease_context.LeaseContext) -> None:
        self._context = context
        self._timing = context.timing
        self._grant_tables = grant_table_cache.GrantTableCache(context.server_name)
        self._move_committer = move_commits.MoveCommitter(service_kernel)
        self._revocation = revocation.Revocation(context, self._move_committer)
        self._view: lease_view.LeaseView | None = None

    @property
    def server_incarnation(self) -> str:
        """Incarnation of the server process that answered last; empty if none did."""
        return "" if self._view is None else self._view.server_incarnation

    @property
    def is_move_pending(self) -> bool:
        """Whether a move submitted to the log has an unresolved outcome."""
        return self._move_committer.is_pending

    def reset(self) -> None:
        """Discard the lease state because this instance is not the lessor now."""
        self._move_committer.resolve()
        self._view = None
        self._revocation.abandon()

    def step(self, keyed: lookup.KeyedServer) -> None:
        """Renew the lease once, act on the response, and wait for the next renewal."""
        self._move_committer.resolve()
        observed = timestamped_state.TimestampedState.read(self._context.replica)
        if self._move_committer.is_loss_pending or not self._is_lessor(observed.state):
            self._context.wakeup.wait(self._timing.renew_interval_s)
            return
        view = self._query_first_report(keyed, self._get_view(observed.state))
        if self._is_new_process(view, observed.state):
            self._view = view
            self._reappoint_self(view, observed)
            self._context.wakeup.wait(self._timing.renew_interval_s)
            return
        view = self._renew(keyed, view, observed)
        self._view = view
        if lease_view.is_superseded(view):
            self._context.wakeup.wait(self._timing.renew_interval_s)
            return
        if lease_view.has_expired(view, self._context.clock.read_s(), self._timing):
            self._declare_lost(keyed, observed)
            self._context.wakeup.wait(self._timing.renew_interval_s)
            return
        self._record_return(view, observed)
        if not self._advance_moves(keyed, view, observed):
            self._wait(view)

    def _is_lessor(self, state: replicated.State) -> bool:
        server_state = state.servers.get(self._context.server_name)
        return server_state is not None and server_state.lessor == self._context.incarnation

    def _wait(self, view: lease_view.LeaseView) -> None:
        wait_s = self._timing.renew_interval_s
        if self._revocation.is_waiting:
            wait_s = FINISH_POLL_INTERVAL_S
        elif view.consecutive_renewals == 0:
            wait_s = self._limit_to_lease_end(view, wait_s)
        self._context.wakeup.wait(wait_s)

    def _limit_to_lease_end(self, view: lease_view.LeaseView, limit_s: float) -> float:
        # The partitions of a lost server can move as soon as its lease has expired, so the
        # wait must not extend past that time.
        remaining_s = view.ends_at_s - self._context.clock.read_s()
        return min(limit_s, remaining_s + EXPIRY_CHECK_SLACK_S) if remaining_s > 0 else limit_s

    def _get_view(self, state: replicated.State) -> lease_view.LeaseView:
        server_state = state.servers[self._context.server_name]
        view = self._view
        if view is not None and view.lessor_epoch == server_state.epoch:
            return view
        return lease_view.LeaseView(
            lessor_epoch=server_state.epoch,
            appointed_at_s=self._context.clock.read_s(),
            has_predecessor=server_state.succeeded,
            ends_at_s=float("-inf") if view is None else view.ends_at_s,
        )

    def _renew(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        observed: timestamped_state.TimestampedState,
    ) -> lease_view.LeaseView:
        if view.report is None:
            return view
        # The lease runs from the stamp, which was received before this check. A renewal that
        # is delayed by a pause after the check thus extends the lease no further than one
        # that is sent immediately.
        if self._context.clock.read_s() - observed.read_began_at_s >= self._timing.authority_s:
            self._context.counters.renewals.labels("no_authority").inc()
            return view
        return self._send_renewal(keyed, view, view.report.stamp, observed)

    def _query_first_report(
        self, keyed: lookup.KeyedServer, view: lease_view.LeaseView
    ) -> lease_view.LeaseView:
        if view.report is not None:
            return view
        outcome = self._context.client.report_lease(keyed.server, self._timing.request_timeout_s)
        return lease_view.record_response(view, outcome, self._context.clock.read_s(), self._timing)

    def _is_new_process(self, view: lease_view.LeaseView, state: replicated.State) -> bool:
        server_state = state.servers[self._context.server_name]
        return (
            view.report is not None and view.server_incarnation != server_state.server_incarnation
        )

    def _send_renewal(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        stamp: leases.ServerStamp,
        observed: timestamped_state.TimestampedState,
    ) -> lease_view.LeaseView:
        table = self._grant_tables.get(observed.state, self._revocation.withheld)
        is_table_current = view.report is not None and view.report.grant_version == table.version
        renewal = leases.Renewal(
            lessor_epoch=view.lessor_epoch,
            stamp=stamp,
            duration_ms=self._timing.duration_ms,
            table=None if is_table_current else table,
        )
        view = lease_view.record_renewal_sent(view, self._timing)
        timeout_s = self._limit_to_lease_end(view, self._timing.request_timeout_s)
        outcome = self._context.client.renew_lease(keyed.server, renewal, timeout_s)
        self._count_renewal(outcome)
        return lease_view.record_response(view, outcome, self._context.clock.read_s(), self._timing)

    def _count_renewal(self, outcome: leases.LeaseOutcome) -> None:
        status = "unanswered"
        if isinstance(outcome, leases.LeaseReport):
            status = outcome.status.value
        self._context.counters.renewals.labels(status).inc()

    def _reappoint_self(
        self, view: lease_view.LeaseView, observed: timestamped_state.TimestampedState
    ) -> None:
        if not self._context.is_log_reachable(observed):
            return
        appointment = appointments.Appointment(
            server=self._context.server_name,
            lessor=self._context.incarnation,
            server_incarnation=view.server_incarnation,
            author=self._context.incarnation,
            reason="server process was met for the first time",
        )
        appointments.appoint(appointment, observed.state, self._context.replica)

    def _declare_lost(
        self, keyed: lookup.KeyedServer, observed: timestamped_state.TimestampedState
    ) -> None:
        name = self._context.server_name
        server_state = observed.state.servers[name]
        moves = placement.plan_evacuation(name, keyed.policy, observed.state)
        if not self._context.is_log_reachable(observed) or (server_state.lost and not moves):
            return
        self._revocation.abandon()
        record = records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=observed.state.next_offset,
            author=str(self._context.incarnation),
            reason=f"lease of {name} ran out without an answer",
            decided_at=identity.format_utc_now(),
            moves=moves,
            lessor=self._context.incarnation,
            lessor_epoch=server_state.epoch,
            lost_server=name,
        )
        logging.warning("server %s declared lost; moving %d partitions", name, len(moves))
        self._move_committer.submit(name, record, LOSS_METRIC_REASON, LOSS_COMMIT_TIMEOUT_S)

    def _record_return(
        self, view: lease_view.LeaseView, observed: timestamped_state.TimestampedState
    ) -> None:
        name = self._context.server_name
        server_state = observed.state.servers[name]
        if not server_state.lost or view.consecutive_renewals < RETURN_RENEWAL_COUNT:
            return
        if not self._context.is_log_reachable(observed):
            return
        record = records.ServerReturned(
            record_id=identity.create_record_id(),
            base=observed.state.next_offset,
            author=str(self._context.incarnation),
            reason=f"{RETURN_RENEWAL_COUNT} renewals in a row were answered",
            server=name,
            lessor=self._context.incarnation,
            lessor_epoch=server_state.epoch,
        )
        self._view = dataclasses.replace(view, consecutive_renewals=0)
        outcome = self._context.replica.commit(record, self._timing.renew_interval_s)
        logging.info("record that server %s is available again: %s", name, outcome)
        if isinstance(outcome, commits.CommitAccepted):
            self._context.counters.returned_servers.inc()

    def _advance_moves(
        self,
        keyed: lookup.KeyedServer,
        view: lease_view.LeaseView,
        observed: timestamped_state.TimestampedState,
    ) -> bool:
        table = self._grant_tables.get(observed.state, self._revocation.withheld)
        return self._revocation.advance(keyed, view, table, observed)
