"""The snapshots service: writes a snapshot periodically and before the last one expires."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import prometheus_client
from absl import logging

from goldcresthall.core import identity
from goldcresthall.core import snapshots
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.log_service import instance_list
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import commits
from goldcresthall.replication import log_replica
from goldcresthall.replication import replica_metrics
from goldcresthall.replication import state_encoding

if TYPE_CHECKING:
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel
    from goldcresthall.replication import state as replicated

MS_PER_S = 1_000
CHECK_INTERVAL_S = 1.0
SNAPSHOT_COMMIT_TIMEOUT_S = 10.0
LOG_OUTAGE_THRESHOLD_S = 5.0  # without a fresh read; a snapshot is due after an outage
EXPIRY_MARGIN_FRACTION = 0.25  # of the log; a snapshot in its oldest part is about to expire
RANKING_SUBJECT = "snapshot"


class SnapshotWriter(service.Service):
    """Writes a snapshot of the state to the log when one is due.

    Instances wait for a delay by their rank, so that usually only one writes.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        snapshot_settings: settings.SnapshotSettings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._settings = snapshot_settings
        self._seen_base = -1
        self._seen_at_s = 0.0
        self._is_after_outage = False
        self._task = tasks.LoopTask("snapshots", self._run)

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        instance_settings: settings.Settings,
    ) -> SnapshotWriter:
        """Return the snapshots service of an instance."""
        return cls(service_kernel, incarnation, instance_settings.snapshots)

    def start(self) -> None:
        """Look up the required services and start checking whether a snapshot is due."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, log_replica.LogReplica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._seen_at_s = self._clock.read_s()
        registry = replica_metrics.find_registry(self._kernel)
        self._written = prometheus_client.Counter(
            "goldcresthall_snapshots_written",
            "Snapshots that this instance wrote, by the outcome of their commit.",
            ["outcome"],
            registry=registry,
        )
        self._written_bytes = prometheus_client.Counter(
            "goldcresthall_snapshot_bytes",
            "Bytes of the pieces of all snapshots, whatever the outcome of their commit.",
            registry=registry,
        )
        self._task.start()

    def stop(self) -> None:
        """Stop writing snapshots."""
        self._task.stop()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.wait(CHECK_INTERVAL_S):
            if not self._find_reason():
                continue
            stop_signal.wait(self._find_delay_s())
            reason = self._find_reason()
            if reason and not stop_signal.is_set:
                self.write(reason)

    def write(self, reason: str) -> commits.CommitOutcome:
        """Write a snapshot of the current state."""
        encoded = state_encoding.encode_state(self._replica.state)
        chunks = create_chunks(encoded, str(self._incarnation), reason)
        outcome = self._replica.commit_all(chunks, SNAPSHOT_COMMIT_TIMEOUT_S)
        self._written.labels(type(outcome).__name__).inc()
        self._written_bytes.inc(sum(len(piece) for piece in encoded.pieces))
        if isinstance(outcome, commits.CommitAccepted):
            self._is_after_outage = False
        logging.info("snapshot at offset %d: %s; %s", encoded.next_offset, outcome, reason)
        return outcome

    def _find_delay_s(self) -> float:
        live = [entry.name for entry in self._list.listing.live]
        ranked = rendezvous.rank_names(RANKING_SUBJECT, live)
        own_name = self._incarnation.name
        rank = ranked.index(own_name) if own_name in ranked else len(ranked)
        return rank * self._settings.rank_delay_ms / MS_PER_S

    def _find_reason(self) -> str:
        now_s = self._clock.read_s()
        state = self._replica.state
        if not self._replica.condition.is_usable or not state.next_offset:
            return ""
        age_s = now_s - self._replica.freshness.read_began_at_s
        if age_s > LOG_OUTAGE_THRESHOLD_S:
            self._is_after_outage = True
            return ""
        if state.snapshots.whole_base != self._seen_base:
            self._seen_base = state.snapshots.whole_base
            self._seen_at_s = now_s
            self._is_after_outage = False
        if self._is_after_outage:
            return "the log could not be read for a while"
        seen_s = now_s - self._seen_at_s
        return find_due_reason(state, self._replica.begin_offset, seen_s, self._settings)


def find_due_reason(
    state: replicated.State,
    begin_offset: int,
    age_s: float,
    snapshot_settings: settings.SnapshotSettings,
) -> str:
    """Return the reason why a snapshot is due; empty if none is due.

    Parameters
    ----------
    begin_offset
        Offset of the oldest entry in the log.
    age_s
        Seconds since the newest complete snapshot was first seen, or since the start.
    """
    base = state.snapshots.whole_base
    if begin_offset > 0 and base - begin_offset < EXPIRY_MARGIN_FRACTION * (
        state.next_offset - begin_offset
    ):
        return f"the snapshot at offset {base} is about to expire"
    if state.next_offset - max(base, 0) >= snapshot_settings.snapshot_every_records:
        return f"{snapshot_settings.snapshot_every_records} records since offset {base}"
    if age_s >= snapshot_settings.snapshot_every_s:
        return f"{math.floor(age_s)} s since the last snapshot"
    return ""


def create_chunks(
    encoded: state_encoding.EncodedState, author: str, reason: str
) -> tuple[snapshots.SnapshotChunk, ...]:
    """Return the chunk records of a snapshot of an encoded state."""
    snapshot_id = identity.create_record_id()
    return tuple(
        snapshots.SnapshotChunk(
            record_id=identity.create_record_id(),
            base=encoded.next_offset,
            author=author,
            reason=reason,
            snapshot_id=snapshot_id,
            index=index,
            count=len(encoded.pieces),
            content=piece,
            content_digest=state_encoding.compute_digest(piece.encode()),
            state_digest=encoded.state_digest,
        )
        for index, piece in enumerate(encoded.pieces)
    )
