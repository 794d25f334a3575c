"""A replica and a log writer without tasks, over an in-memory log."""

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
    """How the fake handles an append."""

    DONE = "done"
    REFUSED = "refused"
    ANSWER_LOST = "answer_lost"
    DELAYED = "delayed"


class SteppedReplica(replica.Replica):
    """Replays only on a commit or a wait; a wait advances the clock instead of blocking."""

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
        """Freshness of a replica that has just read the log to its end."""
        return commits.Freshness(self._clock.read_s())

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def catch_up(self) -> None:
        """Replay all remaining entries of the log."""
        for entry in self._log.entries[self._state.next_offset :]:
            offset = self._state.next_offset
            replayed = replay.replay_entry(entry, self._state)
            self._state = replayed.state
            if replayed.record is not None:
                outcome = _create_commit_outcome(replayed.decision, offset)
                self._outcomes.setdefault(replayed.record.record_id, outcome)

    def append_delayed(self) -> None:
        """Append the delayed records to the log."""
        for record in self.delayed:
            self._log.append((log_entries.encode_record(record),))
        self.delayed.clear()

    def wait_for_newer(self, offset: int, timeout_s: float) -> replicated.State:
        """Replay; advance the clock by the timeout if there is no new entry."""
        self.catch_up()
        if self._state.next_offset <= offset:
            self._clock.advance(timeout_s)
        return self._state

    def wait_for_fresh_read(self, began_after_s: float, timeout_s: float) -> bool:
        """Return `True` without waiting."""
        return True

    def find_outcome(self, record_id: str) -> commits.CommitOutcome | None:
        """Return the commit outcome of a record, or `None` if it is not replayed yet."""
        return self._outcomes.get(record_id)

    def commit(self, record: records.Record, timeout_s: float) -> commits.CommitOutcome:
        """Append a record according to the configured behavior."""
        self.before_append()
        if self.append_behavior is AppendBehavior.REFUSED:
            return commits.CommitFailed("refused")
        if self.append_behavior is AppendBehavior.DELAYED:
            self.delayed.append(record)
            return commits.CommitUnknown("delayed")
        self._log.append((log_entries.encode_record(record),))
        if self.append_behavior is AppendBehavior.ANSWER_LOST:
            return commits.CommitUnknown("append response lost")
        self.catch_up()
        return self._outcomes[record.record_id]


class SteppedWriter(writer.LogWriter):
    """Appends records at once, or holds them until `append_held_records`."""

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
        """Append a record or hold it; a held record is reported as appended."""
        if self.is_holding_records:
            self._held_records.append(record)
            notify(log_client.Appended(-1))
        else:
            notify(self._log.append((log_entries.encode_record(record),)))

    def append_held_records(self) -> None:
        """Append the held records."""
        for record in self._held_records:
            self._log.append((log_entries.encode_record(record),))
        self._held_records.clear()


def _create_commit_outcome(decision: replay.Decision, offset: int) -> commits.CommitOutcome:
    if isinstance(decision, replay.Accepted):
        return commits.CommitAccepted(offset)
    return commits.CommitRejected(decision.reason, decision.detail)
