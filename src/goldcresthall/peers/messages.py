"""Messages between peers, independent of their encoding."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UptakeRow:
    """The preset that one instance last reported to have in force.

    Attributes
    ----------
    preset_offset
        Offset of the preset in force at the instance; -1 if none.
    age_ms
        Upper bound of the milliseconds since the instance itself reported it.
    """

    name: str
    incarnation: str
    preset_offset: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """Replication status of one instance.

    Attributes
    ----------
    preset_offset
        Offset of the preset in force at the instance; -1 if none.
    chain
        Chained digest of all entries replayed below `next_offset`.
    usable
        Whether the instance makes decisions and serves from its state.
    uptake
        Uptake rows of other instances that it forwards.
    """

    name: str
    incarnation: str
    next_offset: int
    preset_offset: int
    chain: str
    usable: bool
    uptake: tuple[UptakeRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRecords:
    """Committed entries that a peer relayed.

    Attributes
    ----------
    fresh
        Whether a log read started after the request confirmed that no entries are missing.
    next_offset
        Offset up to which the peer has replayed.
    usable
        Whether the peer makes decisions and serves from its state.
    """

    first_offset: int
    entries: tuple[bytes, ...]
    fresh: bool
    next_offset: int
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StatePiece:
    """One piece of a peer's encoded state."""

    next_offset: int
    index: int
    count: int
    content: str
    content_digest: str
    state_digest: str
