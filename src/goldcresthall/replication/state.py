"""The replicated state, derived from all accepted records of the log."""

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
    """One hot key of a keyed service, owned independently of its partition."""

    service: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """The owner of a partition or a hot key, and the decision behind it.

    Attributes
    ----------
    epoch
        Fencing token: offset of the accepted record; a higher epoch fences lower ones.
    decided_at
        UTC time by the author's wall clock; empty if the record has none.
    """

    owner: str
    epoch: int
    author: str
    reason: str
    decided_at: str = ""


NO_HOT_KEYS: pyrsistent_typing.PMap[HotKeyId, Ownership] = pyrsistent.pmap()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """The lessor of a server, and whether the server is lost.

    Attributes
    ----------
    epoch
        Offset of the lessor's accepted appointment; the server refuses lower epochs.
    changed_at
        Offset of the last accepted record that changed the server.
    lost
        Whether the server was declared lost after its lease expired, and has not been
        declared available since.
    succeeded
        Whether an earlier lessor may have renewed the lease.
    server_incarnation
        Incarnation of the server process whose lease may be renewed; empty if unknown.
    server
        The server as last listed by a preset; `None` if no preset listed it.
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
    """The preset that applies at present, and the offset of the record that published it."""

    preset: preset.Preset
    offset: int
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class IntentId:
    """Identifier of a non-idempotent request: the service and the idempotency key."""

    service: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Intent:
    """The last attempt at a non-idempotent request.

    Attributes
    ----------
    record_id
        Identifier of the accepted record; only its author may conclude the attempt.
    holder
        The only incarnation that may send this attempt to a server.
    offset
        Offset of the accepted record.
    conclusion
        Result of the attempt; `None` until the holder has recorded one.
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
    """One entry of the preset history, without the preset's content."""

    offset: int
    name: str
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotProgress:
    """Which snapshot in the log is complete, and which is being written.

    Attributes
    ----------
    whole_base
        Offset of the state in the newest complete snapshot; minus one if none.
    whole_at
        Offset of that snapshot's last chunk; minus one if none.
    pending_id
        Identifier of the incomplete snapshot; empty if none.
    pending_chunks
        Number of replayed chunks of the incomplete snapshot.
    """

    whole_base: int = -1
    whole_at: int = -1
    pending_id: str = ""
    pending_chunks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The state that replay derives from the log.

    Attributes
    ----------
    next_offset
        Offset of the next entry to replay.
    halted
        Why replay has halted; empty if it has not.
    intents_horizon
        Intents below this offset are forgotten, and idempotency keys issued before it
        have expired.
    chain
        Digest over all replayed entries and the decision on each. Two instances with
        different digests at the same offset have diverged.
    presets
        The last `MAX_PRESET_HISTORY` published presets, the newest last.
    snapshots
        Progress of snapshots in the log.
    hot_keys
        Owners of keys that are owned independently of their partition.
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
