"""A replicated state with the clock reading up to which it is known to be complete."""

from __future__ import annotations

import dataclasses

from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated


@dataclasses.dataclass(frozen=True, slots=True)
class TimestampedState:
    """A state that contains every record in the log at a given clock reading.

    Attributes
    ----------
    read_began_at_s
        Clock reading at the start of a log read whose records are all in `state`.
    """

    read_began_at_s: float
    state: replicated.State

    @classmethod
    def read(cls, log_replica: replica.Replica) -> TimestampedState:
        """Return the current state of a replica with its read time."""
        # Read the time first: the reverse order could pair a newer time with an older state.
        read_began_at_s = log_replica.freshness.read_began_at_s
        return cls(read_began_at_s, log_replica.state)
