"""The record that moves one hot key to an owner other than its partition's."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HotKeyMoved(records.Record):
    """A key gets its own entry, which overrides its partition's owner.

    Attributes
    ----------
    partition
        Partition of the key, whose owner holds the key while it has no entry.
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
