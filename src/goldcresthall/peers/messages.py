"""What peers tell each other, free of its encoding."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What one instance has taken up.

    Attributes
    ----------
    preset_offset
        Offset of the preset in force there; minus one if none.
    state_digest
        Digest of its state as of `digest_offset`.
    """

    name: str
    incarnation: str
    next_offset: int
    preset_offset: int
    state_digest: str
    digest_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRecords:
    """Committed entries that a peer relayed; `fresh` if they are all there were."""

    first_offset: int
    entries: tuple[bytes, ...]
    fresh: bool
