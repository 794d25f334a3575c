"""The replicated state: what all accepted records together say."""

from __future__ import annotations

import dataclasses

import pyrsistent
from pyrsistent import typing as pyrsistent_typing

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import preset


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionId:
    """One partition of a keyed service."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns a partition, and by which decision.

    Attributes
    ----------
    epoch
        Offset of the accepted record; a higher epoch fences all lower ones.
    """

    owner: str
    epoch: int
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """Which instance may renew a server's lease, and whether the server is lost.

    Attributes
    ----------
    epoch
        Offset of the accepted appointment; the server refuses lower ones.
    changed_at
        Offset of the last accepted record that touched the server.
    lost
        Whether its lessor waited its lease out and has not heard from it since.
    """

    lessor: identity.Incarnation
    epoch: int
    changed_at: int
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PresetInForce:
    """The preset in force and the offset of the record that put it there."""

    preset: preset.Preset
    offset: int
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class IntentId:
    """One piece of non-idempotent work: the service and the caller's own key."""

    service: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Intent:
    """The last attempt at a piece of non-idempotent work.

    Attributes
    ----------
    record_id
        Identifier of the accepted record; only its author's conclusion counts.
    holder
        Incarnation that may dispatch it; nobody else ever may.
    offset
        Offset of the accepted record.
    conclusion
        How the attempt ended; none while only its holder may know.
    """

    record_id: str
    holder: str
    offset: int
    attempt: int
    digest: str
    conclusion: intents.Conclusion | None = None
    server: str = ""
    status: int = 0
    answer_digest: str = ""
    answer: intents.RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """All that replay derives from the log.

    Attributes
    ----------
    next_offset
        Offset of the first entry that is not yet replayed.
    halted
        Why this instance can decide nothing more; empty if it can.
    intents_horizon
        Intents below this offset are forgotten, and keys issued before it expired.
    """

    next_offset: int
    preset_in_force: PresetInForce | None
    partitions: pyrsistent_typing.PMap[PartitionId, Ownership]
    servers: pyrsistent_typing.PMap[str, ServerState]
    halted: str = ""
    intents: pyrsistent_typing.PMap[IntentId, Intent] = dataclasses.field(
        default_factory=pyrsistent.pmap
    )
    intents_horizon: int = 0

    @classmethod
    def create_empty(cls) -> State:
        """Return the state before the first record of a log."""
        return cls(
            next_offset=0,
            preset_in_force=None,
            partitions=pyrsistent.pmap(),
            servers=pyrsistent.pmap(),
        )
