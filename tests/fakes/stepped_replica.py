"""A replica and a writer without tasks, over a log in memory."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from goldcresthall.encoding import log_entries
from goldcresthall.log_service import log_client
from goldcresthall.replication import commits
from goldcresthall.replication import replay
from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated
from goldcresthall.replication import writer

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.core import records
    from tests.fakes import clock as clocks
    from tests.fakes import log as logs


class AppendBehavior(enum.Enum):
    """What becomes of an append."""

    DONE = "done"
    REFUSED = "refused"
    ANSWER_LOST = "answer_lost"
    DELAYED = "delayed"


class SteppedReplica(replica.Replica):
    """Replays only when it commits or waits; waiting advances the clock instead of sleeping."""

    def __init__(self, log: logs.InMemoryLog, clock: clocks.ManualClock) -> None:
        self._log = log
        self._clock = clock
        self._state = replicated.State.create_empty()
        self._outcomes: dict[str, commits.CommitOutcome] = {}
        self.append_behavior = AppendBehavior.DONE
        self.delayed: list[records.Record] = []
        self.before_append: Callable[[], None] = lambda: None

    @property
    def state(self) -> replicated.State:
        """The state replayed so far."""
        return self._state

    @property
    def freshness(self) -> commits.Freshness:
        """Always fresh."""
        return commits.Freshness(self._clock.read_s())

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def catch_up(self) -> None:
        """Replay all that stands in the log."""
        for entry in self._log.entries[self._state.next_offset :]:
            offset = self._state.next_offset
            replayed = replay.replay_entry(entry, self._state)
            self._state = replayed.state
            if replayed.record is not None:
                outcome = _describe(replayed.decision, offset)
                self._outcomes.setdefault(replayed.record.record_id, outcome)

    def append_delayed(self) -> None:
        """Let the appends that were delayed take effect."""
        for record in self.delayed:
            self._log.append((log_entries.encode_record(record),))
        self.delayed.clear()

    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Replay; if there is nothing new, let the timeout pass."""
        self.catch_up()
        if self._state.next_offset <= offset:
            self._clock.advance(timeout_s)
        return self._state

    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Return at once."""
        return True

    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return what replay decided on a record."""
        return self._outcomes.get(record_id)

    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Append a record as the present fate has it."""
        self.before_append()
        if self.append_behavior is AppendBehavior.REFUSED:
            return commits.CommitFailed("refused")
        if self.append_behavior is AppendBehavior.DELAYED:
            self.delayed.append(record)
            return commits.CommitUnknown("delayed")
        self._log.append((log_entries.encode_record(record),))
        if self.append_behavior is AppendBehavior.ANSWER_LOST:
            return commits.CommitUnknown("answer lost")
        self.catch_up()
        return self._outcomes[record.record_id]


class SteppedWriter(writer.LogWriter):
    """Appends at once, or keeps records back."""

    def __init__(self, log: logs.InMemoryLog) -> None:
        self._log = log
        self._held_records: list[records.Record] = []
        self.is_holding_records = False

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def submit(
        self,
        record: records.Record,
        notify: Callable[[log_client.AppendOutcome], None],
        ends_at_s: float = math.inf,
    ) -> None:
        """Append a record, or keep it back."""
        if self.is_holding_records:
            self._held_records.append(record)
            notify(log_client.Appended(-1))
        else:
            notify(self._log.append((log_entries.encode_record(record),)))

    def append_held_records(self) -> None:
        """Append what was kept back."""
        for record in self._held_records:
            self._log.append((log_entries.encode_record(record),))
        self._held_records.clear()


def _describe(decision: replay.Decision, offset: int) -> commits.CommitOutcome:
    if isinstance(decision, replay.Accepted):
        return commits.CommitAccepted(offset)
    return commits.CommitRejected(decision.reason, decision.detail)
