"""The replicated state: what all accepted records together say."""

from __future__ import annotations

import dataclasses

import pyrsistent
from pyrsistent import typing as pyrsistent_typing

from goldcresthall.core import identity
from goldcresthall.core import intents
from goldcresthall.core import preset

MAX_PRESET_HISTORY = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionId:
    """One partition of a keyed service."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class HotKeyId:
    """One key of a keyed service that has an entry of its own."""

    service: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns a partition, and by which decision.

    Attributes
    ----------
    epoch
        Offset of the accepted record; a higher epoch fences all lower ones.
    decided_at
        UTC time by the author's wall clock; empty if it told none.
    """

    owner: str
    epoch: int
    author: str
    reason: str
    decided_at: str = ""


NO_HOT_KEYS: pyrsistent_typing.PMap[HotKeyId, Ownership] = pyrsistent.pmap()


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
    succeeded
        Whether an earlier appointment may have let another lessor renew the lease.
    server_incarnation
        Life of the server process that the lessor may renew; empty if none was met.
    server
        The server as a preset last named it; none if no preset did.
    """

    lessor: identity.Incarnation
    epoch: int
    changed_at: int
    lost: bool = False
    succeeded: bool = False
    server_incarnation: str = ""
    server: preset.BackendServer | None = None


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
class PresetEntry:
    """One preset that was put in force, without its content."""

    offset: int
    name: str
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotProgress:
    """Which snapshot in the log is whole, and which is under way.

    Attributes
    ----------
    whole_base
        Offset of the state in the newest whole snapshot; minus one if none.
    whole_at
        Offset of that snapshot's last chunk; minus one if none.
    pending_id
        Snapshot of which chunks are missing; empty if none.
    pending_chunks
        Number of its chunks that were replayed.
    """

    whole_base: int = -1
    whole_at: int = -1
    pending_id: str = ""
    pending_chunks: int = 0


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
    chain
        Digest over all replayed entries and what was decided on each; two
        instances that differ in it at one offset have diverged.
    presets
        The last `MAX_PRESET_HISTORY` presets put in force, the newest last.
    snapshots
        Which snapshot is whole.
    hot_keys
        Owners of keys that are not with their partition's owner.
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
    chain: str = ""
    presets: tuple[PresetEntry, ...] = ()
    snapshots: SnapshotProgress = SnapshotProgress()
    hot_keys: pyrsistent_typing.PMap[HotKeyId, Ownership] = NO_HOT_KEYS

    @classmethod
    def create_empty(cls) -> State:
        """Return the state before the first record of a log."""
        return cls(
            next_offset=0,
            preset_in_force=None,
            partitions=pyrsistent.pmap(),
            servers=pyrsistent.pmap(),
        )
