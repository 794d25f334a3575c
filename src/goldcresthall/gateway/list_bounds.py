"""How long a list of servers may be acted on after it was last known to be current.

A server that leaves serves requests for `drain_s` after the store has accepted that. All ways in
which an instance learns of it, and the way of a request to the server, must fit into this time.
"""

from __future__ import annotations

import dataclasses
from typing import Final

MAX_RELAY_S = 1.5
RELAY_FRACTION = 0.75
# The rest is for the way of a request that was sent at the last moment.
USE_FRACTION = 0.9
# A read that gets no response must fail while the list may still be used.
FIRST_READ_FRACTION = 0.9
MAX_FIRST_READ_S = 1.0
# A server's entry expires after three missed refreshes, some 0.9 s apart.
MIN_EXPIRING_OUTAGE_S = 1.7
MIN_FAILED_READS_OF_OUTAGE = 2
# Three seconds after its return the store counts as stable, and the bound on requests to servers
# that left holds again. Servers whose entries expired are back within two.
MAX_USE_WITHOUT_ENTRY_S = 2.8
SHORTEST_DRAIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListBounds:
    """Bounds on the age of a list of servers, in seconds since the read behind it began.

    Attributes
    ----------
    relay_s
        Age up to which a list that another instance relays counts as current. An instance reads
        the store itself beyond it.
    first_read_s
        Time limit of that read; after a failure the next one takes as long as other calls.
    use_s
        Age up to which requests are sent by the list while the store answers.
    """

    relay_s: float
    first_read_s: float
    use_s: float

    @classmethod
    def from_drain_s(cls, drain_s: float) -> ListBounds:
        """Return the bounds for servers that serve for `drain_s` seconds after they left."""
        relay_s = min(MAX_RELAY_S, RELAY_FRACTION * drain_s)
        use_s = USE_FRACTION * drain_s
        first_read_s = min(MAX_FIRST_READ_S, FIRST_READ_FRACTION * (use_s - relay_s))
        return cls(relay_s, first_read_s, use_s)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """A time in which reads of the store failed without a break.

    Attributes
    ----------
    duration_s
        Seconds from the start of the first failed read to that of the next successful one.
    last_failed_at_s
        Clock reading in seconds at which the last failed read began. The store returned after it.
    """

    failed_reads: int
    duration_s: float
    last_failed_at_s: float

    @property
    def may_expire_entries(self) -> bool:
        """Whether entries of live servers may have expired meanwhile.

        One lost response says nothing of the store, however long it was awaited.
        """
        return (
            self.failed_reads >= MIN_FAILED_READS_OF_OUTAGE
            and self.duration_s >= MIN_EXPIRING_OUTAGE_S
        )


STRICTEST: Final = ListBounds.from_drain_s(SHORTEST_DRAIN_S)
