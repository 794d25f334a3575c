"""What peers tell each other, free of its encoding."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UptakeRow:
    """Which preset one instance has in force, by its own word of a while ago.

    Attributes
    ----------
    preset_offset
        Offset of the preset in force there; minus one if none.
    age_ms
        Milliseconds, at most, since the instance said so itself.
    """

    name: str
    incarnation: str
    preset_offset: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What one instance has taken up.

    Attributes
    ----------
    preset_offset
        Offset of the preset in force there; minus one if none.
    chain
        Digest of all it replayed below `next_offset`.
    usable
        Whether it decides and serves by its state.
    uptake
        Rows of other instances' presets that it passes on.
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
        Whether, by a read begun after the question, they are all there were.
    next_offset
        Offset up to which the peer has replayed.
    usable
        Whether the peer decides and serves by its state.
    """

    first_offset: int
    entries: tuple[bytes, ...]
    fresh: bool
    next_offset: int
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StatePiece:
    """One piece of a peer's state."""

    next_offset: int
    index: int
    count: int
    content: str
    content_digest: str
    state_digest: str
