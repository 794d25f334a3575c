"""The replica service: follows the log and says what became of each record."""

from __future__ import annotations

import abc
import collections
import dataclasses
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.kernel import tasks
from goldcresthall.platform import log_client
from goldcresthall.replication import intents  # noqa: F401 its records are registered
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated
from goldcresthall.replication import writer

if TYPE_CHECKING:
    from goldcresthall.core import records
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

DECISIONS_KEPT = 50_000
ENTRIES_KEPT = 2_000
RETRY_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class CommitAccepted:
    """The record was read back and replay accepted it."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitRejected:
    """The record was read back and replay rejected it."""

    reason: replay.RejectionReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFailed:
    """The record does not stand in the log and never will."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitUnknown:
    """Nobody can say yet whether the record stands in the log."""

    detail: str


CommitOutcome = CommitAccepted | CommitRejected | CommitFailed | CommitUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """How recent the state is.

    Attributes
    ----------
    read_began_at_s
        Clock reading at the start of the last read that found nothing newer than
        what is replayed; minus infinity before the first.
    """

    read_began_at_s: float


class Replica(service.Service):
    """The replicated state as the rest of the code sees it."""

    @property
    @abc.abstractmethod
    def state(self) -> replicated.State:
        """The state replayed so far."""

    @property
    @abc.abstractmethod
    def freshness(self) -> Freshness:
        """How recent the state is."""

    @abc.abstractmethod
    def wait_beyond(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait until the next offset exceeds `offset`, or the timeout; return the state."""

    @abc.abstractmethod
    def wait_fresh(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a fresh read begun after a clock reading; return whether one came."""

    @abc.abstractmethod
    def commit(self, record: records.Record, timeout_s: float) -> CommitOutcome:
        """Append a record and wait until replay decided on it."""

    @abc.abstractmethod
    def find_outcome(self, record_id: str) -> CommitOutcome | None:
        """Return what replay decided on a record, or none if it was not seen."""


class LogReplica(Replica):
    """Follows the platform's log by long polls in one task."""

    def __init__(self, owner: kernel.Kernel, platform: settings.PlatformSettings) -> None:
        self._kernel = owner
        self._platform = platform
        self._state = replicated.State.create_empty()
        self._freshness = Freshness(float("-inf"))
        self._changed = threading.Condition()
        self._outcomes: collections.OrderedDict[str, CommitOutcome] = collections.OrderedDict()
        self._entries: collections.deque[bytes] = collections.deque(maxlen=ENTRIES_KEPT)
        self._task = tasks.Task("replica", self._run)

    @classmethod
    def from_config(cls, owner: kernel.Kernel, platform: settings.PlatformSettings) -> LogReplica:
        """Return a replica of the configured log."""
        return cls(owner, platform)

    @property
    def state(self) -> replicated.State:
        """The state replayed so far."""
        return self._state

    @property
    def freshness(self) -> Freshness:
        """How recent the state is."""
        return self._freshness

    def start(self) -> None:
        """Begin to follow the log."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._client = self._kernel.find(names.LOG_CLIENT, log_client.LogClient)
        self._writer = self._kernel.find(names.LOG_WRITER, writer.LogWriter)
        self._task.start()

    def stop(self) -> None:
        """Stop following the log."""
        self._task.request_stop()
        with self._changed:
            self._changed.notify_all()
        self._task.stop()

    def wait_beyond(self, offset: int, timeout_s: float) -> replicated.State:
        """Wait until the next offset exceeds `offset`, or the timeout; return the state."""
        with self._changed:
            self._changed.wait_for(lambda: self._state.next_offset > offset, timeout_s)
            return self._state

    def wait_fresh(self, began_after_s: float, timeout_s: float) -> bool:
        """Wait for a fresh read begun after a clock reading; return whether one came."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._freshness.read_began_at_s > began_after_s, timeout_s
            )

    def find_outcome(self, record_id: str) -> CommitOutcome | None:
        """Return what replay decided on a record, or none if it was not seen."""
        with self._changed:
            return self._outcomes.get(record_id)

    def commit(self, record: records.Record, timeout_s: float) -> CommitOutcome:
        """Append a record and wait until replay decided on it."""
        failures: list[CommitFailed] = []

        def notify(outcome: log_client.AppendOutcome) -> None:
            if isinstance(outcome, log_client.AppendRefused):
                with self._changed:
                    failures.append(CommitFailed(outcome.detail))
                    self._changed.notify_all()

        self._writer.submit(record, notify)
        with self._changed:
            self._changed.wait_for(
                lambda: record.record_id in self._outcomes or failures, timeout_s
            )
            found = self._outcomes.get(record.record_id)
        if found is not None:
            return found
        return failures[0] if failures else CommitUnknown("not read back in time")

    def relay(self, from_offset: int, limit: int) -> tuple[bytes, ...] | None:
        """Return kept entries from an offset on, or none if they are not kept."""
        with self._changed:
            first_kept = self._state.next_offset - len(self._entries)
            if from_offset < first_kept:
                return None
            return tuple(self._entries)[from_offset - first_kept :][:limit]

    def follow(self, first_offset: int, entries: tuple[bytes, ...]) -> None:
        """Replay committed entries; those already replayed are passed over."""
        with self._changed:
            for entry in entries[max(0, self._state.next_offset - first_offset) :]:
                self._replay(entry)
            self._changed.notify_all()

    def mark_fresh(self, read_began_at_s: float) -> None:
        """Note that a read begun at a clock reading found nothing newer."""
        with self._changed:
            if read_began_at_s > self._freshness.read_began_at_s:
                self._freshness = Freshness(read_began_at_s)
                self._changed.notify_all()

    def _run(self, stop_signal: tasks.StopSignal) -> None:
        while not stop_signal.is_set:
            if not self._read_once():
                stop_signal.wait(RETRY_DELAY_S)

    def _read_once(self) -> bool:
        began_at_s = self._clock.read_s()
        offset = self._state.next_offset
        outcome = self._client.read(offset, self._platform.read_limit, self._platform.long_poll_ms)
        if not isinstance(outcome, log_client.LogPage):
            logging.warning("log read at offset %d: %s", offset, outcome)
            return False
        self.follow(outcome.first_offset, outcome.entries)
        if self._state.next_offset >= outcome.end_offset:
            self.mark_fresh(began_at_s)
        return True

    def _replay(self, entry: bytes) -> None:
        if self._state.halted:
            return
        offset = self._state.next_offset
        replayed = replay.replay_entry(entry, self._state)
        self._state = replayed.state
        if replayed.state.next_offset > offset:
            self._entries.append(entry)
        if replayed.record is not None:
            self._keep_outcome(replayed.record.record_id, offset, replayed.decision)

    def _keep_outcome(self, record_id: str, offset: int, decision: replay.Decision) -> None:
        if record_id in self._outcomes:
            return
        if isinstance(decision, replay.Accepted):
            self._outcomes[record_id] = CommitAccepted(offset)
        else:
            logging.info("record %s at offset %d rejected: %s", record_id, offset, decision)
            self._outcomes[record_id] = CommitRejected(decision.reason, decision.detail)
        while len(self._outcomes) > DECISIONS_KEPT:
            self._outcomes.popitem(last=False)
