"""Records of the platform's log; all decisions take effect only through it."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Fields common to all records.

    Attributes
    ----------
    record_id
        Unique identifier; resolves the outcome of an append whose response was lost.
    base
        Offset of the state that the decision was derived from: the next offset
        that its author had not yet replayed. Replay rejects the record if what
        it changes was changed at or after this offset.
    author
        Name of the instance or operator that made the decision.
    reason
        Reason for the decision, a sentence for operators.
    """

    record_id: str
    base: int
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PresetPublished(Record):
    """An operator puts a preset in force."""

    preset: preset.Preset


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionMove:
    """Change of a partition's owner; `from_server` is empty if it had none."""

    service: str
    partition: int
    from_server: str
    to_server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartitionsMoved(Record):
    """Partitions change owner, atomically.

    Attributes
    ----------
    lessor_epoch
        Epoch under which the author is lessor of every server in `from_server`;
        0 if none of the partitions had an owner.
    lost_server
        Server whose lease the lessor waited to expire; empty for a planned move.
    decided_at
        UTC time by the author's wall clock; for operators only, never compared.
    """

    moves: tuple[PartitionMove, ...]
    lessor: identity.Incarnation
    lessor_epoch: int
    lost_server: str = ""
    decided_at: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReturned(Record):
    """A lost server responds to its lessor again and may own partitions."""

    server: str
    lessor: identity.Incarnation
    lessor_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class LessorChoice:
    """One server and the router instance appointed to renew its lease.

    Attributes
    ----------
    server_incarnation
        Incarnation of the server process that the author had contacted before its
        decision; the appointment allows renewals for this one only. Empty if none was
        contacted.
    """

    server: str
    lessor: identity.Incarnation
    server_incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LessorsAppointed(Record):
    """Router instances become lessors, one per server; a stale choice rejects the whole record."""

    choices: tuple[LessorChoice, ...]
