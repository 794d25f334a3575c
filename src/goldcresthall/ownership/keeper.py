"""One server's keeper: renews its lease, moves its keys when it is lost."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.backend import client
from goldcresthall.core import identity
from goldcresthall.core import leases
from goldcresthall.core import records
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.ownership import lookup
from goldcresthall.ownership import placement
from goldcresthall.ownership import rendezvous
from goldcresthall.platform import instance_list
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.kernel import tasks
    from goldcresthall.replication import state as replicated

MS_PER_S = 1_000
COMMIT_TIMEOUT_S = 2.0
IDLE_WAIT_S = 1.0
CANDIDATE_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseView:
    """What a lessor knows of the lease it renews.

    Attributes
    ----------
    lessor_epoch
        Epoch of the appointment this view belongs to.
    appointed_at_s
        Clock reading when this instance learned of its appointment.
    had_predecessor
        Whether another lessor may have renewed before.
    stamp
        The server's last time stamp; none before its first answer.
    stamp_received_at_s
        Clock reading when `stamp` arrived.
    ends_at_s
        Clock reading after which no renewal sent under this epoch holds any more.
    is_fenced
        Whether the server has acknowledged this epoch, so that it refuses lower ones.
    grants_offset
        Offset of the grant table that the server holds.
    """

    lessor_epoch: int
    appointed_at_s: float
    had_predecessor: bool
    stamp: leases.ServerStamp | None = None
    stamp_received_at_s: float = 0.0
    ends_at_s: float = 0.0
    is_fenced: bool = False
    grants_offset: int = -1


class ServerKeeper:
    """Keeps one server: as its lessor, as a candidate to become it, or idle."""

    def __init__(
        self,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        failure_domain: str,
        lease_settings: settings.LeaseSettings,
        server_name: str,
    ) -> None:
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._settings = lease_settings
        self._server_name = server_name
        self._clock = owner.find(names.CLOCK, clock.Clock)
        self._replica = owner.find(names.REPLICA, replica.Replica)
        self._client = owner.find(names.BACKENDS, client.BackendClient)
        self._list = owner.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._view: LeaseView | None = None
        self._pending_record_id = ""

    @classmethod
    def from_config(
        cls,
        owner: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
        server_name: str,
    ) -> ServerKeeper:
        """Return the keeper of one server."""
        return cls(
            owner,
            incarnation,
            instance_settings.failure_domain,
            instance_settings.leases,
            server_name,
        )

    def run(self, stop_signal: tasks.StopSignal) -> None:
        """Keep the server until asked to stop."""
        while not stop_signal.is_set:
            state = self._replica.state
            keyed = self._find_keyed(state)
            if keyed is None or state.halted:
                self._replica.wait_beyond(state.next_offset, IDLE_WAIT_S)
            elif self._is_lessor(state):
                self._act_as_lessor(keyed, state, stop_signal)
            else:
                self._view = None
                self._act_as_candidate(keyed, state, stop_signal)

    def _find_keyed(self, state: replicated.State) -> lookup.KeyedServer | None:
        for keyed in lookup.iterate_keyed_servers(state):
            if keyed.server.name == self._server_name:
                return keyed
        return None

    def _is_lessor(self, state: replicated.State) -> bool:
        known = state.servers.get(self._server_name)
        return known is not None and known.lessor == self._incarnation

    def _act_as_lessor(
        self, keyed: lookup.KeyedServer, state: replicated.State, stop_signal: tasks.StopSignal
    ) -> None:
        if self._is_move_pending():
            stop_signal.wait(self._settings.renew_interval_ms / MS_PER_S)
            return
        view = self._enter_view(state)
        if self._has_authority():
            self._view = view = self._renew(keyed, view, state)
        if self._is_lost(view, state):
            self._declare_lost(keyed, state)
            return
        self._replica.wait_beyond(state.next_offset, self._settings.renew_interval_ms / MS_PER_S)

    def _is_move_pending(self) -> bool:
        if not self._pending_record_id:
            return False
        if self._replica.find_outcome(self._pending_record_id) is None:
            return True
        self._pending_record_id = ""
        return False

    def _enter_view(self, state: replicated.State) -> LeaseView:
        known = state.servers[self._server_name]
        if self._view is None or self._view.lessor_epoch != known.epoch:
            self._view = LeaseView(
                lessor_epoch=known.epoch,
                appointed_at_s=self._clock.read_s(),
                had_predecessor=bool(placement.list_owned(self._server_name, state)),
            )
        return self._view

    def _has_authority(self) -> bool:
        age_s = self._clock.read_s() - self._replica.freshness.read_began_at_s
        return age_s < self._settings.authority_s

    def _renew(
        self, keyed: lookup.KeyedServer, view: LeaseView, state: replicated.State
    ) -> LeaseView:
        timeout_s = self._settings.request_timeout_ms / MS_PER_S
        if view.stamp is None:
            outcome = self._client.report_lease(keyed.server, timeout_s)
            view = self._note_outcome(view, outcome)
            if view.stamp is None:
                return view
        renewal = self._create_renewal(view, view.stamp, state)
        lease_s = (self._settings.duration_ms + self._settings.drift_margin_ms) / MS_PER_S
        view = dataclasses.replace(
            view, ends_at_s=max(view.ends_at_s, view.stamp_received_at_s + lease_s)
        )
        return self._note_outcome(view, self._client.renew_lease(keyed.server, renewal, timeout_s))

    def _create_renewal(
        self, view: LeaseView, stamp: leases.ServerStamp, state: replicated.State
    ) -> leases.Renewal:
        table = self._create_table(state)
        return leases.Renewal(
            lessor_epoch=view.lessor_epoch,
            stamp=stamp,
            duration_ms=self._settings.duration_ms,
            table=None if view.grants_offset == table.offset else table,
        )

    def _create_table(self, state: replicated.State) -> leases.GrantTable:
        grants = tuple(
            leases.Grant(partition.service, partition.number, state.partitions[partition].epoch)
            for partition in placement.list_owned(self._server_name, state)
        )
        newest_epoch = max((grant.epoch for grant in grants), default=0)
        changed_at = state.servers[self._server_name].changed_at
        return leases.GrantTable(max(newest_epoch, changed_at), grants)

    def _note_outcome(self, view: LeaseView, outcome: leases.LeaseOutcome) -> LeaseView:
        if isinstance(outcome, leases.LeaseUnanswered):
            return view
        return dataclasses.replace(
            view,
            stamp=outcome.stamp,
            stamp_received_at_s=self._clock.read_s(),
            is_fenced=view.is_fenced or outcome.lessor_epoch == view.lessor_epoch,
            grants_offset=outcome.grants_offset,
        )

    def _is_lost(self, view: LeaseView, state: replicated.State) -> bool:
        if state.servers[self._server_name].lost:
            return False
        now_s = self._clock.read_s()
        lease_s = (self._settings.duration_ms + self._settings.drift_margin_ms) / MS_PER_S
        if view.is_fenced:
            return now_s > view.ends_at_s
        if not view.had_predecessor:
            return now_s > view.appointed_at_s + lease_s
        return now_s > view.appointed_at_s + self._settings.authority_s + lease_s

    def _declare_lost(self, keyed: lookup.KeyedServer, state: replicated.State) -> None:
        record = records.PartitionsMoved(
            record_id=identity.create_record_id(),
            base=state.next_offset,
            author=str(self._incarnation),
            reason=f"lease of {self._server_name} ran out without an answer",
            moves=placement.plan_loss(self._server_name, keyed.policy, state),
            lessor=self._incarnation,
            lessor_epoch=state.servers[self._server_name].epoch,
            lost_server=self._server_name,
        )
        self._pending_record_id = record.record_id
        outcome = self._replica.commit(record, COMMIT_TIMEOUT_S)
        if isinstance(outcome, replica.CommitFailed):
            self._pending_record_id = ""
        logging.warning("server %s lost: %s", self._server_name, outcome)

    def _act_as_candidate(
        self, keyed: lookup.KeyedServer, state: replicated.State, stop_signal: tasks.StopSignal
    ) -> None:
        rank = self._find_rank(keyed)
        if rank is None:
            self._replica.wait_beyond(state.next_offset, IDLE_WAIT_S)
            return
        known = state.servers.get(self._server_name)
        if known is not None and not self._has_lapsed(keyed):
            stop_signal.wait(self._settings.renew_interval_ms / MS_PER_S)
            return
        if stop_signal.wait(rank * self._settings.takeover_delay_ms / MS_PER_S):
            return
        if self._replica.state.servers.get(self._server_name) == known:
            self._appoint_self(known)

    def _find_rank(self, keyed: lookup.KeyedServer) -> int | None:
        live = self._list.listing.live
        others = [
            entry.name for entry in live if entry.failure_domain != keyed.server.failure_domain
        ]
        if not others:
            others = [entry.name for entry in live]
        ranked = rendezvous.rank_names(self._server_name, others)[:CANDIDATE_COUNT]
        own_name = self._incarnation.name
        return ranked.index(own_name) if own_name in ranked else None

    def _has_lapsed(self, keyed: lookup.KeyedServer) -> bool:
        timeout_s = self._settings.request_timeout_ms / MS_PER_S
        outcome = self._client.report_lease(keyed.server, timeout_s)
        if isinstance(outcome, leases.LeaseUnanswered):
            return False
        return outcome.remaining_ms <= 0

    def _appoint_self(self, known: replicated.ServerState | None) -> None:
        state = self._replica.state
        reason = "server had no lessor" if known is None else f"lessor {known.lessor} lapsed"
        record = records.LessorsAppointed(
            record_id=identity.create_record_id(),
            base=state.next_offset,
            author=str(self._incarnation),
            reason=reason,
            choices=(records.LessorChoice(self._server_name, self._incarnation),),
        )
        outcome = self._replica.commit(record, COMMIT_TIMEOUT_S)
        logging.info("lessor of %s: %s", self._server_name, outcome)
