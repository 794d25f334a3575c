"""Records that carry a snapshot of the replicated state through the log."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk(records.Record):
    """One chunk of a snapshot; `base` is the offset of the snapshot's state.

    Attributes
    ----------
    index
        Index of this chunk, from 0.
    count
        Number of chunks of the snapshot.
    content
        Base64 of a part of the compressed state document.
    content_digest
        Digest of `content`, verified by every instance that replays the chunk.
    state_digest
        Digest of the complete, uncompressed state document.
    """

    snapshot_id: str
    index: int
    count: int
    content: str
    content_digest: str
    state_digest: str
