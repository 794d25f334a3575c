"""The ground of a decision: a state and the age it is known to have."""

from __future__ import annotations

import dataclasses

from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated


@dataclasses.dataclass(frozen=True, slots=True)
class TimestampedState:
    """A state that holds at least all that the log held at a clock reading.

    Attributes
    ----------
    read_began_at_s
        Start of a read of the log of which `state` holds every record.
    """

    read_began_at_s: float
    state: replicated.State

    @classmethod
    def read(cls, log_replica: replica.Replica) -> TimestampedState:
        """Return the present ground of an instance."""
        # The other order could pair a new reading with an older state.
        read_began_at_s = log_replica.freshness.read_began_at_s
        return cls(read_began_at_s, log_replica.state)
