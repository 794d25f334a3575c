"""Records of the platform's log: the only place where anything is decided."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import identity
from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What every record carries.

    Attributes
    ----------
    record_id
        Unique identifier, by which a lost answer to an append is resolved.
    base
        Offset of the state that the decision was derived from: the next offset
        that its author had not yet replayed. A change at or after it of what
        the record touches makes replay reject the record.
    author
        Instance or operator that made the decision.
    reason
        Why, in a sentence for operators.
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
    """One partition's change of owner; `from_server` is empty if it had none."""

    service: str
    partition: int
    from_server: str
    to_server: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartitionsMoved(Record):
    """Partitions change owner, all or none of them.

    Attributes
    ----------
    lessor_epoch
        Epoch under which the author is lessor of every server moved away from;
        zero if all the partitions had no owner.
    lost_server
        Server whose lease the lessor has waited out; empty for a planned move.
    decided_at
        UTC time by the author's wall clock; for operators only.
    """

    moves: tuple[PartitionMove, ...]
    lessor: identity.Incarnation
    lessor_epoch: int
    lost_server: str = ""
    decided_at: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerReturned(Record):
    """A lost server answers its lessor again and may own partitions."""

    server: str
    lessor: identity.Incarnation
    lessor_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class LessorChoice:
    """One server and the router instance that is to renew its lease.

    Attributes
    ----------
    server_incarnation
        Life of the server process that its author had met before it decided; the
        only one that the appointment allows to renew. Empty if none was met.
    """

    server: str
    lessor: identity.Incarnation
    server_incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LessorsAppointed(Record):
    """Router instances become lessors of servers, each server apart."""

    choices: tuple[LessorChoice, ...]
