"""The replica that follows the platform's log by long polling."""

from __future__ import annotations

import dataclasses
import functools
import math
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import snapshots
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import tasks
from goldcresthall.log_service import log_client
from goldcresthall.replication import bounded_history
from goldcresthall.replication import commits
from goldcresthall.replication import conditions
from goldcresthall.replication import replay
from goldcresthall.replication import replica
from goldcresthall.replication import replica_metrics
from goldcresthall.replication import snapshot_reader
from goldcresthall.replication import state as replicated
from goldcresthall.replication import state_encoding
from goldcresthall.replication import writer

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import records
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000
MAX_COMMIT_OUTCOMES = 8_192
READ_RETRY_DELAY_S = 0.2
LOG_MESSAGE_INTERVAL_S = 10
SNAPSHOT_RETRY_DELAY_S = 1.0
HALTED_POLL_INTERVAL_S = 1.0
STALL_LIMIT_READS = 2  # longest reads; a longer iteration means a suspended process
RECOVERY_TIMEOUT_S = 3.0  # then serve again although neither log nor peers respond
SNAPSHOT_SOURCE = "snapshot"


class LogReplica(replica.Replica):
    """Reads the log by long polling in one task and replays it to the replicated state."""

    def __init__(self, service_kernel: kernel.Kernel, platform: settings.PlatformSettings) -> None:
        self._kernel = service_kernel
        self._platform = platform
        read_s = (platform.request_timeout_ms + platform.long_poll_ms) / MS_PER_S
        self._stall_limit_s = STALL_LIMIT_READS * read_s
        self._state = replicated.State.create_empty()
        self._freshness = commits.Freshness(-math.inf)
        self._changed = threading.Condition()
        self._outcomes: bounded_history.BoundedMap[commits.CommitOutcome] = (
            bounded_history.BoundedMap(MAX_COMMIT_OUTCOMES)
        )
        self._entries = bounded_history.RecentEntries()
        self._states = bounded_history.RecentStates()
        self._is_caught_up = False
        self._expiry_reason = ""
        self._divergence_reason = ""
        self._loop_started_at_s = math.inf
        self._stalled_at_s = -math.inf
        self._begin_offset = 0
        self._task = tasks.LoopTask("replica", self._run)

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, platform: settings.PlatformSettings
    ) -> LogReplica:
        """Return a replica of the configured log."""
        return cls(service_kernel, platform)

    @property
    def state(self) -> replicated.State:
        """The state replayed so far."""
        return self._state

    @property
    def freshness(self) -> commits.Freshness:
        """Freshness of the state."""
        return self._freshness

    @property
    def condition(self) -> conditions.Condition:
        """Whether decisions and routing may use the state, and why not."""
        if self._divergence_reason:
            return conditions.Condition(conditions.ConditionKind.DIVERGED, self._divergence_reason)
        if self._state.halted:
            return conditions.Condition(conditions.ConditionKind.HALTED, self._state.halted)
        if self._expiry_reason:
            return conditions.Condition(conditions.ConditionKind.STATE_MISSING, self._expiry_reason)
        if not self._is_caught_up:
            return conditions.Condition(conditions.ConditionKind.STARTING, "catching up")
        if self._is_stalled(self._clock.read_s()):
            return conditions.Condition(
                conditions.ConditionKind.STARTING, "catching up after the process was suspended"
            )
        return conditions.FOLLOWING

    @property
    def begin_offset(self) -> int:
        """Offset of the oldest entry in the log as of the last read."""
        return self._begin_offset

    def start(self) -> None:
        """Look up the required services and start following the log."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._client = self._kernel.find(names.LOG_CLIENT, log_client.LogClient)
        self._writer = self._kernel.find(names.LOG_WRITER, writer.LogWriter)
        self._metrics = replica_metrics.ReplayMetrics(replica_metrics.find_registry(self._kernel))
        self._task.start()

    def stop(self) -> None:
        """Stop following the log."""
        self._task.request_stop()
        with self._changed:
            self._changed.notify_all()
        self._task.stop()

    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait until the next offset exceeds `offset` or the timeout ends; return the state."""
        with self._changed:
            self._changed.wait_for(lambda: self._state.next_offset > offset, timeout_s)
            return self._state

    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a read to the log's end that starts after a clock reading; return success."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._freshness.read_began_at_s > began_after_s, timeout_s
            )

    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return the commit outcome of a record, or `None` if it is not known."""
        with self._changed:
            return self._outcomes.find(record_id)

    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Append a record and wait until it is replayed."""
        return self.commit_all((record,), timeout_s)

    def commit_all(
        self, batch: tuple[records.Record, ...], timeout_s: float
    ) -> commits.CommitOutcome:
        """Append records in order and return the commit outcome of the last."""
        ends_at_s = self._clock.read_s() + timeout_s
        for record in batch:
            self._writer.submit(record, self._create_append_callback(record.record_id), ends_at_s)
        last = batch[-1].record_id
        with self._changed:
            self._changed.wait_for(lambda: last in self._outcomes, timeout_s)
            outcome = self._outcomes.find(last)
        return outcome or commits.CommitUnknown("record not read back from the log in time")

    def read_recent_entries(self, from_offset: int, limit: int) -> tuple[bytes, ...] | None:
        """Return recent entries from an offset on, or `None` if they are no longer kept."""
        with self._changed:
            return self._entries.read(from_offset, self._state.next_offset, limit)

    def replay_entries(self, first_offset: int, entries: tuple[bytes, ...]) -> None:
        """Replay committed entries; entries already replayed are skipped.

        If the first entry lies beyond the next offset (a gap), no entry is replayed.
        """
        with self._changed:
            if first_offset > self._state.next_offset:
                logging.error("entries from offset %d are not contiguous; discarded", first_offset)
                return
            for entry in entries[self._state.next_offset - first_offset :]:
                self._replay(entry)
            self._changed.notify_all()

    def install(self, state: replicated.State, source: str) -> bool:
        """Install a complete state from a snapshot or peer if ahead of this one; return success."""
        with self._changed:
            if self._state.halted or state.next_offset <= self._state.next_offset:
                return False
            self._state = state
            self._entries.clear()
            self._states.clear()
            self._states.append(state)
            self._expiry_reason = ""
            self._changed.notify_all()
        self._metrics.show_next_offset(state.next_offset)
        self._metrics.count_installed(source)
        logging.info("installed state at offset %d from a %s", state.next_offset, source)
        return True

    def mark_fresh(self, read_began_at_s: float) -> None:
        """Record that a read started at a clock reading reached the end of the log."""
        with self._changed:
            if read_began_at_s > self._freshness.read_began_at_s:
                self._freshness = commits.Freshness(read_began_at_s)
                self._is_caught_up = self._is_caught_up or read_began_at_s > self._stalled_at_s
                self._expiry_reason = ""
                self._changed.notify_all()

    def mark_caught_up_with_peers(self) -> None:
        """Mark the replica as caught up with its peers while the log is unavailable."""
        self._is_caught_up = True

    def matches_chain_digest(self, offset: int, chain: str) -> bool | None:
        """Return whether a peer's chain digest matches; `None` if the offset is not kept."""
        with self._changed:
            state = self._states.find(offset)
        return None if state is None else state.chain == chain

    def count_peer_check(self, *, agrees: bool) -> None:
        """Count one comparison of chain digests with a peer."""
        self._metrics.count_state_check("peer", "equal" if agrees else "different")

    def declare_divergence(self, reason: str) -> None:
        """Halt the replica because its state differs from the state of other instances."""
        with self._changed:
            self._divergence_reason = self._divergence_reason or reason
            self._state = dataclasses.replace(self._state, halted=reason)
            self._changed.notify_all()
        logging.error("state has diverged: %s", reason)
        self._metrics.show_condition(self.condition.kind.value)

    def _create_append_callback(self, record_id: str) -> Callable[[log_client.AppendOutcome], None]:
        def notify(outcome: log_client.AppendOutcome) -> None:
            if isinstance(outcome, log_client.AppendRefused):
                with self._changed:
                    self._outcomes.add_if_absent(record_id, commits.CommitFailed(outcome.detail))
                    self._changed.notify_all()

        return notify

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            self._detect_stall()
            stop_signal.wait(self._read_once())
            self._metrics.show_condition(self.condition.kind.value)

    def _is_stalled(self, now_s: float) -> bool:
        return now_s - self._loop_started_at_s > self._stall_limit_s

    def _detect_stall(self) -> None:
        # An iteration longer than the limit means that the process was suspended. Other instances
        # may have changed the state since, so the replica catches up before it serves.
        now_s = self._clock.read_s()
        if self._is_stalled(now_s):
            self._is_caught_up = False
            self._stalled_at_s = now_s
        elif now_s - self._stalled_at_s > RECOVERY_TIMEOUT_S and math.isfinite(self._stalled_at_s):
            # Neither the log nor a peer can be reached: serve with the state as it was.
            self._is_caught_up = True
            self._stalled_at_s = -math.inf
        self._loop_started_at_s = now_s

    def _read_once(self) -> float:
        """Read one page; return the seconds to wait before the next read."""
        began_at_s = self._clock.read_s()
        offset = self._state.next_offset
        outcome = self._client.read(offset, self._platform.read_limit, self._platform.long_poll_ms)
        self._metrics.count_read(outcome)
        return self._handle_read(outcome, began_at_s)

    @functools.singledispatchmethod
    def _handle_read(self, outcome: log_client.ReadOutcome, began_at_s: float) -> float:
        raise NotImplementedError(type(outcome).__name__)

    @_handle_read.register
    def _(self, outcome: log_client.LogPage, began_at_s: float) -> float:
        self._begin_offset = outcome.begin_offset
        self.replay_entries(outcome.first_offset, outcome.entries)
        if self._state.next_offset >= outcome.end_offset:
            self.mark_fresh(began_at_s)
        return HALTED_POLL_INTERVAL_S if self._state.halted else 0.0

    @_handle_read.register
    def _(self, outcome: log_client.ReadFailed, began_at_s: float) -> float:
        logging.log_every_n_seconds(
            logging.WARNING,
            "reading the log at offset %d failed: %s",
            LOG_MESSAGE_INTERVAL_S,
            self._state.next_offset,
            outcome.detail,
        )
        return READ_RETRY_DELAY_S

    @_handle_read.register
    def _(self, outcome: log_client.ReadExpired, began_at_s: float) -> float:
        self._begin_offset = outcome.begin_offset
        search = snapshot_reader.find_snapshot(self._client, outcome.begin_offset)
        if isinstance(search, snapshot_reader.FoundSnapshot):
            if self.install(search.state, SNAPSHOT_SOURCE):
                return 0.0
            search = snapshot_reader.NoSnapshot("the newest snapshot is older than the state")
        self._record_missing_state(outcome, search.detail)
        return SNAPSHOT_RETRY_DELAY_S

    def _record_missing_state(self, outcome: log_client.ReadExpired, detail: str) -> None:
        offset = self._state.next_offset
        reason = f"entries from {offset} to {outcome.begin_offset} expired; {detail}"
        if reason != self._expiry_reason:
            logging.error("replica has no usable state: %s", reason)
        with self._changed:
            if self._state.next_offset == offset:
                self._expiry_reason = reason

    def _replay(self, entry: bytes) -> None:
        if self._state.halted:
            return
        offset = self._state.next_offset
        replayed = replay.replay_entry(entry, self._state)
        self._state = replayed.state
        self._metrics.count_replayed(replayed)
        if replayed.state.next_offset > offset:
            self._entries.append(entry)
            self._states.append(replayed.state)
        else:
            logging.error("replay halted: %s", replayed.state.halted)
        if replayed.malformed is not None:
            logging.error("malformed entry at offset %d: %s", offset, replayed.decision)
        if replayed.record is not None:
            self._record_outcome(replayed.record.record_id, offset, replayed.decision)
            self._check_snapshot(replayed)

    def _record_outcome(self, record_id: str, offset: int, decision: replay.Decision) -> None:
        if isinstance(decision, replay.Accepted):
            self._outcomes.add_if_absent(record_id, commits.CommitAccepted(offset))
            return
        logging.info("record %s at offset %d rejected: %s", record_id, offset, decision)
        self._outcomes.add_if_absent(
            record_id, commits.CommitRejected(decision.reason, decision.detail)
        )

    def _check_snapshot(self, replayed: replay.Replayed) -> None:
        record = replayed.record
        if not isinstance(record, snapshots.SnapshotChunk):
            return
        if record.base != replayed.state.snapshots.whole_base or record.index + 1 < record.count:
            return
        own = self._states.find(record.base)
        if own is None:
            self._metrics.count_state_check(SNAPSHOT_SOURCE, "not_kept")
        elif state_encoding.compute_state_digest(own) == record.state_digest:
            self._metrics.count_state_check(SNAPSHOT_SOURCE, "equal")
        else:
            self._metrics.count_state_check(SNAPSHOT_SOURCE, "different")
            self.declare_divergence(f"the snapshot at offset {record.base} differs")
