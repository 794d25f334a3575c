"""The candidate's role: watches one server and takes over from a lost lessor."""

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
IDLE_WAIT_S = 1.0
TAKEOVER_FRACTION = 0.2
MIN_PAUSE_S = 0.02
GRANTS_LATE_S = 0.5
SILENCE_S = 1.0
MAX_SILENCE_S = 60.0

NO_LESSOR = "server had no lessor"
LEASE_LAPSES = "lessor does not renew"
GRANTS_LATE = "lessor does not pass new grants on"
BOTH_SILENT = "neither the server nor its lessor answers"


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """A stretch of time in which a server did not answer this candidate.

    Attributes
    ----------
    next_offset
        How far this instance had replayed the log when it began; a lessor that
        follows the log has got there by the end of it.
    """

    lessor_epoch: int
    began_at_s: float
    next_offset: int


class CandidateRole:
    """Proposes this instance as lessor when the present lessor fails a server.

    A takeover is safe at any time, as the server or the wait for the earlier
    lessor's authority fences that lessor. When to take over is a matter of
    availability alone.
    """

    def __init__(self, shared: lease_context.LeaseContext) -> None:
        self._shared = shared
        self._timing = shared.timing
        self._silence: Silence | None = None
        self._silence_s = SILENCE_S
        self._tables = grant_table_cache.GrantTableCache(shared.server_name)
        self._behind_from_s: float | None = None

    def step(self, keyed: lookup.KeyedServer) -> None:
        """Look at the server and its lessor once, and act or wait."""
        base = timestamped_state.TimestampedState.read(self._shared.replica)
        known = base.state.servers.get(self._shared.server_name)
        live = self._shared.instance_list.listing.live
        rank = candidates.find_rank(keyed, base.state, live, self._shared.incarnation.name)
        if rank is None or not self._shared.is_log_reachable(base):
            self._shared.wakeup.wait(IDLE_WAIT_S)
            return
        outcome = self._look(keyed)
        reason, delay_s = self._judge(outcome, known, base)
        if not reason:
            self._shared.wakeup.wait(self._find_pause_s(outcome, rank))
            return
        if self._wait_rank(rank, delay_s, known, keyed, reason):
            self._appoint_self(outcome, known, reason)

    def _look(self, keyed: lookup.KeyedServer) -> leases.LeaseOutcome:
        return self._shared.client.report_lease(keyed.server, self._timing.request_timeout_s)

    def _find_pause_s(self, outcome: leases.LeaseOutcome, rank: int) -> float:
        # The lease cannot be about to lapse earlier; looking more often only costs.
        interval_s = self._timing.renew_interval_s
        if isinstance(outcome, leases.LeaseReport):
            left_ms = outcome.remaining_ms - TAKEOVER_FRACTION * self._timing.duration_ms
            interval_s = max(left_ms / MS_PER_S, MIN_PAUSE_S)
        return interval_s * (1 + rank)

    def _judge(
        self,
        outcome: leases.LeaseOutcome,
        known: replicated.ServerState | None,
        base: timestamped_state.TimestampedState,
    ) -> tuple[str, float]:
        if known is None:
            return NO_LESSOR, 0.0
        if isinstance(outcome, leases.LeaseUnanswered):
            return (BOTH_SILENT if self._are_both_silent(known, base) else ""), 0.0
        self._silence = None
        self._silence_s = SILENCE_S
        if not self._is_lapsing(outcome):
            return (GRANTS_LATE if self._are_grants_late(outcome, base) else ""), 0.0
        # A new server process, or a new lessor, is given time for a first renewal.
        is_new = outcome.stamp.incarnation != known.server_incarnation
        has_new_lessor = outcome.lessor_epoch != known.epoch
        return LEASE_LAPSES, self._timing.takeover_delay_s if is_new or has_new_lessor else 0.0

    def _is_lapsing(self, report: leases.LeaseReport) -> bool:
        return report.remaining_ms <= TAKEOVER_FRACTION * self._timing.duration_ms

    def _are_grants_late(
        self, report: leases.LeaseReport, base: timestamped_state.TimestampedState
    ) -> bool:
        now_s = self._shared.clock.read_s()
        due = self._tables.create(base.state, frozenset()).offset
        if report.grants_offset >= due:
            self._behind_from_s = None
            return False
        if self._behind_from_s is None:
            self._behind_from_s = now_s
        return now_s - self._behind_from_s > GRANTS_LATE_S

    def _are_both_silent(
        self, known: replicated.ServerState, base: timestamped_state.TimestampedState
    ) -> bool:
        if known.lost and not self._tables.create(base.state, frozenset()).grants:
            return False
        now_s = self._shared.clock.read_s()
        if self._silence is None or self._silence.lessor_epoch != known.epoch:
            self._silence = Silence(known.epoch, now_s, base.state.next_offset)
        if now_s - self._silence.began_at_s < self._silence_s:
            return False
        status = self._shared.probe.query_status(known.lessor.name)
        follows = (
            status is not None
            and status.incarnation == known.lessor.token
            and status.next_offset >= self._silence.next_offset
        )
        self._silence = None
        return not follows

    def _wait_rank(
        self,
        rank: int,
        delay_s: float,
        known: replicated.ServerState | None,
        keyed: lookup.KeyedServer,
        reason: str,
    ) -> bool:
        ends_at_s = self._shared.clock.read_s() + delay_s + rank * self._timing.takeover_delay_s
        waited = False
        while (left_s := ends_at_s - self._shared.clock.read_s()) > 0:
            waited = True
            self._shared.wakeup.wait(left_s)
            if self._shared.replica.state.servers.get(self._shared.server_name) != known:
                return False
        if not waited or known is None or reason == BOTH_SILENT:
            return True
        again, _ = self._judge(
            self._look(keyed), known, timestamped_state.TimestampedState.read(self._shared.replica)
        )
        return bool(again)

    def _appoint_self(
        self, outcome: leases.LeaseOutcome, known: replicated.ServerState | None, reason: str
    ) -> None:
        base = timestamped_state.TimestampedState.read(self._shared.replica)
        if base.state.servers.get(self._shared.server_name) != known:
            return
        met = outcome.stamp.incarnation if isinstance(outcome, leases.LeaseReport) else ""
        if reason == BOTH_SILENT:
            # If only this instance is cut off, others take over from it again; the
            # longer wait keeps it from doing so over and over.
            self._silence_s = min(2 * self._silence_s, MAX_SILENCE_S)
        wish = appointments.Appointment(
            server=self._shared.server_name,
            lessor=self._shared.incarnation,
            server_incarnation=met,
            author=self._shared.incarnation,
            reason=reason if known is None else f"{reason}: {known.lessor}",
        )
        outcome_of_wish = appointments.appoint(wish, base.state, self._shared.replica)
        if isinstance(outcome_of_wish, commits.CommitAccepted):
            self._shared.counters.takeovers.labels(reason).inc()
            logging.info("took over %s", self._shared.server_name)
