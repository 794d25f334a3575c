"""Candidate role: monitors one server's lease and takes over from a failed lessor."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import leases
from goldcresthall.ownership import appointments
from goldcresthall.ownership import candidates
from goldcresthall.ownership import grant_table_cache
from goldcresthall.ownership import timestamped_state
from goldcresthall.replication import commits

if TYPE_CHECKING:
    from goldcresthall.ownership import lease_context
    from goldcresthall.ownership import lookup
    from goldcresthall.replication import state as replicated

MS_PER_S = 1_000
IDLE_POLL_INTERVAL_S = 1.0
TAKEOVER_REMAINING_FRACTION = 0.2
MIN_POLL_INTERVAL_S = 0.02
STALE_GRANTS_TIMEOUT_S = 0.5
INITIAL_UNANSWERED_LIMIT_S = 1.0
MAX_UNANSWERED_LIMIT_S = 60.0

REASON_NO_LESSOR = "server had no lessor"
REASON_LEASE_EXPIRING = "lessor does not renew"
REASON_GRANTS_STALE = "lessor does not pass new grants on"
REASON_BOTH_UNREACHABLE = "neither the server nor its lessor answers"


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredPeriod:
    """A period in which a server did not answer this candidate.

    Attributes
    ----------
    next_offset
        Replay position of this instance at the start of the period. A lessor that
        follows the log has reached this position by the end of the period.
    """

    lessor_epoch: int
    began_at_s: float
    next_offset: int


class CandidateRole:
    """Proposes this instance as lessor when the current lessor fails to serve a server.

    A takeover is safe at any time: either the server fences the previous lessor, or the
    new lessor waits until every lease that the previous lessor may have renewed has
    expired. The conditions for a takeover therefore affect availability only.
    """

    def __init__(self, context: lease_context.LeaseContext) -> None:
        self._context = context
        self._timing = context.timing
        self._unanswered_period: UnansweredPeriod | None = None
        self._unanswered_limit_s = INITIAL_UNANSWERED_LIMIT_S
        self._grant_tables = grant_table_cache.GrantTableCache(context.server_name)
        self._grants_stale_since_s: float | None = None

    def step(self, keyed: lookup.KeyedServer) -> None:
        """Check the server and its lessor once, then take over or wait."""
        observed = timestamped_state.TimestampedState.read(self._context.replica)
        server_state = observed.state.servers.get(self._context.server_name)
        live = self._context.instance_list.listing.live
        rank = candidates.find_rank(keyed, observed.state, live, self._context.incarnation.name)
        if rank is None or not self._context.is_log_reachable(observed):
            self._context.wakeup.wait(IDLE_POLL_INTERVAL_S)
            return
        outcome = self._query_lease(keyed)
        reason, delay_s = self._find_takeover_reason(outcome, server_state, observed)
        if not reason:
            self._context.wakeup.wait(self._get_poll_interval_s(outcome, rank))
            return
        if self._wait_for_turn(rank, delay_s, server_state, keyed, reason):
            self._appoint_self(outcome, server_state, reason)

    def _query_lease(self, keyed: lookup.KeyedServer) -> leases.LeaseOutcome:
        return self._context.client.report_lease(keyed.server, self._timing.request_timeout_s)

    def _get_poll_interval_s(self, outcome: leases.LeaseOutcome, rank: int) -> float:
        # A reported lease cannot be close to expiry before this time, so earlier polls are useless.
        interval_s = self._timing.renew_interval_s
        if isinstance(outcome, leases.LeaseReport):
            time_left_ms = (
                outcome.remaining_ms - TAKEOVER_REMAINING_FRACTION * self._timing.duration_ms
            )
            interval_s = max(time_left_ms / MS_PER_S, MIN_POLL_INTERVAL_S)
        return interval_s * (1 + rank)

    def _find_takeover_reason(
        self,
        outcome: leases.LeaseOutcome,
        server_state: replicated.ServerState | None,
        observed: timestamped_state.TimestampedState,
    ) -> tuple[str, float]:
        if server_state is None:
            return REASON_NO_LESSOR, 0.0
        if isinstance(outcome, leases.LeaseUnanswered):
            return (
                REASON_BOTH_UNREACHABLE
                if self._are_both_unreachable(server_state, observed)
                else ""
            ), 0.0
        self._unanswered_period = None
        self._unanswered_limit_s = INITIAL_UNANSWERED_LIMIT_S
        if not self._is_expiring(outcome):
            return (REASON_GRANTS_STALE if self._are_grants_stale(outcome, observed) else ""), 0.0
        # A new server process or a new lessor needs time for the first renewal.
        is_new_process = outcome.stamp.incarnation != server_state.server_incarnation
        has_new_lessor = outcome.lessor_epoch != server_state.epoch
        return REASON_LEASE_EXPIRING, (
            self._timing.takeover_delay_s if is_new_process or has_new_lessor else 0.0
        )

    def _is_expiring(self, report: leases.LeaseReport) -> bool:
        return report.remaining_ms <= TAKEOVER_REMAINING_FRACTION * self._timing.duration_ms

    def _are_grants_stale(
        self, report: leases.LeaseReport, observed: timestamped_state.TimestampedState
    ) -> bool:
        now_s = self._context.clock.read_s()
        required_offset = self._grant_tables.get(observed.state, frozenset()).offset
        if report.grants_offset >= required_offset:
            self._grants_stale_since_s = None
            return False
        if self._grants_stale_since_s is None:
            self._grants_stale_since_s = now_s
        return now_s - self._grants_stale_since_s > STALE_GRANTS_TIMEOUT_S

    def _are_both_unreachable(
        self, server_state: replicated.ServerState, observed: timestamped_state.TimestampedState
    ) -> bool:
        if server_state.lost and not self._grant_tables.get(observed.state, frozenset()).grants:
            return False
        now_s = self._context.clock.read_s()
        if (
            self._unanswered_period is None
            or self._unanswered_period.lessor_epoch != server_state.epoch
        ):
            self._unanswered_period = UnansweredPeriod(
                server_state.epoch, now_s, observed.state.next_offset
            )
        if now_s - self._unanswered_period.began_at_s < self._unanswered_limit_s:
            return False
        status = self._context.probe.query_status(server_state.lessor.name)
        is_following_log = (
            status is not None
            and status.incarnation == server_state.lessor.token
            and status.next_offset >= self._unanswered_period.next_offset
        )
        self._unanswered_period = None
        return not is_following_log

    def _wait_for_turn(
        self,
        rank: int,
        delay_s: float,
        server_state: replicated.ServerState | None,
        keyed: lookup.KeyedServer,
        reason: str,
    ) -> bool:
        ends_at_s = self._context.clock.read_s() + delay_s + rank * self._timing.takeover_delay_s
        waited = False
        while (remaining_s := ends_at_s - self._context.clock.read_s()) > 0:
            waited = True
            self._context.wakeup.wait(remaining_s)
            if self._context.replica.state.servers.get(self._context.server_name) != server_state:
                return False
        if not waited or server_state is None or reason == REASON_BOTH_UNREACHABLE:
            return True
        confirmed_reason, _ = self._find_takeover_reason(
            self._query_lease(keyed),
            server_state,
            timestamped_state.TimestampedState.read(self._context.replica),
        )
        return bool(confirmed_reason)

    def _appoint_self(
        self, outcome: leases.LeaseOutcome, server_state: replicated.ServerState | None, reason: str
    ) -> None:
        observed = timestamped_state.TimestampedState.read(self._context.replica)
        if observed.state.servers.get(self._context.server_name) != server_state:
            return
        server_incarnation = (
            outcome.stamp.incarnation if isinstance(outcome, leases.LeaseReport) else ""
        )
        if reason == REASON_BOTH_UNREACHABLE:
            # If only this instance is partitioned from the server, another candidate takes
            # over again. The exponential backoff limits how often this happens.
            self._unanswered_limit_s = min(2 * self._unanswered_limit_s, MAX_UNANSWERED_LIMIT_S)
        appointment = appointments.Appointment(
            server=self._context.server_name,
            lessor=self._context.incarnation,
            server_incarnation=server_incarnation,
            author=self._context.incarnation,
            reason=reason if server_state is None else f"{reason}: {server_state.lessor}",
        )
        commit_outcome = appointments.appoint(appointment, observed.state, self._context.replica)
        if isinstance(commit_outcome, commits.CommitAccepted):
            self._context.counters.takeovers.labels(reason).inc()
            logging.info("took over as lessor of server %s", self._context.server_name)
