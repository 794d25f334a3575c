"""The record by which one hot key changes owner apart from its partition."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HotKeyMoved(records.Record):
    """A key gets an entry of its own, which overrides its partition's owner.

    Attributes
    ----------
    partition
        The key's partition, whose owner has the key while it has no entry.
    lessor_epoch
        Epoch under which the author is lessor of `from_server`.
    """

    service: str
    key: str
    partition: int
    from_server: str
    to_server: str
    lessor: identity.Incarnation
    lessor_epoch: int
