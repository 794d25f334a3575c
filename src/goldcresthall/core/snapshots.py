"""Records that carry a snapshot of the replicated state through the log."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk(records.Record):
    """One piece of a snapshot; `base` is the offset of the state it holds.

    Attributes
    ----------
    index
        Place of this piece, from zero.
    count
        Number of pieces of the snapshot.
    content
        The piece: base64 of a part of the compressed document of the state.
    content_digest
        Digest of `content`, checked by every instance that replays the piece.
    state_digest
        Digest of the state's whole document, uncompressed.
    """

    snapshot_id: str
    index: int
    count: int
    content: str
    content_digest: str
    state_digest: str
