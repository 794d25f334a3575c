"""Deterministic replay of log records to the replicated state.

`apply` decides whether a record is accepted. It dispatches by record type and
depends on the records alone: it reads no clock, setting, random number or local data,
so that every instance accepts and rejects the same records.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import hashlib

from goldcresthall.core import move_cancellations
from goldcresthall.core import preset
from goldcresthall.core import records
from goldcresthall.encoding import exceptions
from goldcresthall.encoding import log_entries
from goldcresthall.replication import state as replicated

ACCEPTED_VERDICT = "accepted"
CHAIN_DIGEST_BYTES = 16


class RejectionReason(enum.Enum):
    """Why replay rejected a record."""

    MALFORMED = "malformed"
    BASE_OVERTAKEN = "base_overtaken"
    NOT_LESSOR = "not_lessor"
    OWNER_DIFFERS = "owner_differs"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_SERVER = "unknown_server"
    UNKNOWN_PARTITION = "unknown_partition"
    INTENT_HELD = "intent_held"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_NOT_ISSUED = "key_not_issued"
    ADDRESS_CHANGED = "address_changed"
    GRANTS_NOT_CHECKED = "grants_not_checked"
    SNAPSHOT_SUPERSEDED = "snapshot_superseded"
    SNAPSHOT_OUT_OF_ORDER = "snapshot_out_of_order"
    SNAPSHOT_DAMAGED = "snapshot_damaged"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The record was accepted and gives a new state."""

    state: replicated.State


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The record was rejected and leaves the state unchanged."""

    reason: RejectionReason
    detail: str


Decision = Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The result of replaying one entry.

    Attributes
    ----------
    record
        The decoded record; `None` if the entry was malformed, unknown or not replayed.
    malformed
        Why the entry could not be decoded; `None` if it could.
    """

    state: replicated.State
    record: records.Record | None
    decision: Decision
    malformed: exceptions.MalformedReason | None = None


def replay_entry(entry: bytes, state: replicated.State) -> Replayed:
    """Replay one log entry and advance the next offset of the state.

    A malformed entry is rejected. A record of unknown type or version halts the replica
    and is never skipped, since an instance of a newer release may have accepted it.
    """
    if state.halted:
        return Replayed(state, None, Rejected(RejectionReason.MALFORMED, "halted"))
    try:
        record = log_entries.decode_record(entry)
    except exceptions.RecordDecodeError as error:
        rejected = Rejected(RejectionReason.MALFORMED, str(error))
        return Replayed(_advance(state, entry, rejected), None, rejected, error.reason)
    except exceptions.UnknownRecordError as error:
        halted = dataclasses.replace(state, halted=f"offset {state.next_offset}: {error}")
        return Replayed(halted, None, Accepted(halted))
    decision = apply(record, state)
    changed = decision.state if isinstance(decision, Accepted) else state
    return Replayed(_advance(changed, entry, decision), record, decision)


@functools.singledispatch
def apply(record: records.Record, state: replicated.State) -> Decision:
    """Apply the record at offset ``state.next_offset``; reject it if it is invalid or stale."""
    raise NotImplementedError(type(record).__name__)


@apply.register
def _(record: records.PresetPublished, state: replicated.State) -> Decision:
    current = state.preset_in_force
    if current is not None and current.offset >= record.base:
        return _reject_stale_base(
            f"preset {current.preset.name} of {current.author}", current.offset
        )
    rejected = _check_addresses(record, state)
    if rejected is not None:
        return rejected
    in_force = replicated.PresetInForce(
        preset=record.preset,
        offset=state.next_offset,
        author=record.author,
        reason=record.reason,
    )
    with_preset = dataclasses.replace(state, preset_in_force=in_force)
    servers = state.servers.evolver()
    for name, server_state in state.servers.items():
        servers[name] = dataclasses.replace(
            server_state, server=_find_listed_server(name, with_preset) or server_state.server
        )
    entry = replicated.PresetEntry(
        in_force.offset, record.preset.name, record.author, record.reason
    )
    presets = (*state.presets, entry)[-replicated.MAX_PRESET_HISTORY :]
    return Accepted(dataclasses.replace(with_preset, servers=servers.persistent(), presets=presets))


@apply.register
def _(record: records.LessorsAppointed, state: replicated.State) -> Decision:
    servers = state.servers.evolver()
    for choice in record.choices:
        current = state.servers.get(choice.server)
        if current is not None and current.changed_at >= record.base:
            return _reject_stale_base(choice.server, current.changed_at)
        servers[choice.server] = replicated.ServerState(
            lessor=choice.lessor,
            epoch=state.next_offset,
            changed_at=state.next_offset,
            lost=current is not None and current.lost,
            succeeded=_has_predecessor(choice, current),
            server_incarnation=choice.server_incarnation,
            server=_find_listed_server(choice.server, state)
            or (current.server if current else None),
        )
    return Accepted(dataclasses.replace(state, servers=servers.persistent()))


@apply.register
def _(record: records.ServerReturned, state: replicated.State) -> Decision:
    rejected = check_lessor(record.server, record, state)
    if rejected is not None:
        return rejected
    return Accepted(mark_servers_changed({record.server}, state, returned_server=record.server))


@apply.register
def _(record: records.PartitionsMoved, state: replicated.State) -> Decision:
    partitions = state.partitions.evolver()
    for move in record.moves:
        rejected = _check_move(move, record, state)
        if rejected is not None:
            return rejected
        partition = replicated.PartitionId(move.service, move.partition)
        partitions[partition] = replicated.Ownership(
            owner=move.to_server,
            epoch=state.next_offset,
            author=record.author,
            reason=record.reason,
            decided_at=record.decided_at,
        )
    servers = {move.from_server for move in record.moves if move.from_server}
    if record.lost_server:
        rejected = check_lessor(record.lost_server, record, state)
        if rejected is not None:
            return rejected
        servers.add(record.lost_server)
    moved = dataclasses.replace(state, partitions=partitions.persistent())
    return Accepted(mark_servers_changed(servers, moved, lost_server=record.lost_server))


def _check_move(
    move: records.PartitionMove, record: records.PartitionsMoved, state: replicated.State
) -> Rejected | None:
    rejected = _check_target(move, state)
    if rejected is not None:
        return rejected
    rejected = _check_grants_checked(move, state)
    if rejected is not None:
        return rejected
    owned = state.partitions.get(replicated.PartitionId(move.service, move.partition))
    if owned is None:
        if move.from_server:
            return Rejected(RejectionReason.OWNER_DIFFERS, f"partition {move.partition}")
        return None
    if owned.epoch >= record.base:
        return _reject_stale_base(f"partition {move.partition}", owned.epoch)
    if owned.owner != move.from_server:
        return Rejected(RejectionReason.OWNER_DIFFERS, f"owner is {owned.owner}")
    return check_lessor(move.from_server, record, state)


def _check_target(move: records.PartitionMove, state: replicated.State) -> Rejected | None:
    in_force = state.preset_in_force
    service = in_force.preset.find_service(move.service) if in_force else None
    if service is None or not service.keyed:
        return Rejected(RejectionReason.UNKNOWN_SERVICE, move.service)
    if not 0 <= move.partition < service.partitions:
        return Rejected(RejectionReason.UNKNOWN_PARTITION, str(move.partition))
    if service.find_server(move.to_server) is None:
        return Rejected(RejectionReason.UNKNOWN_SERVER, move.to_server)
    return None


def _check_grants_checked(move: records.PartitionMove, state: replicated.State) -> Rejected | None:
    in_force = state.preset_in_force
    service = in_force.preset.find_service(move.service) if in_force else None
    if move.from_server and service is not None and not service.checks_grants:
        return Rejected(RejectionReason.GRANTS_NOT_CHECKED, move.service)
    return None


def check_lessor(
    server: str,
    record: records.PartitionsMoved | records.ServerReturned | move_cancellations.MoveCancelled,
    state: replicated.State,
) -> Rejected | None:
    """Reject a record that is not by the server's current lessor, or whose base is stale.

    A server without an entry in `State.servers` never had a lessor and thus no lease,
    so any instance may move its partitions. No record removes such an entry again.
    """
    current = state.servers.get(server)
    if current is None:
        return None
    if current.lessor != record.lessor or current.epoch != record.lessor_epoch:
        return Rejected(RejectionReason.NOT_LESSOR, f"lessor is {current.lessor}")
    if current.changed_at >= record.base:
        return _reject_stale_base(server, current.changed_at)
    return None


def mark_servers_changed(
    changed: set[str], state: replicated.State, *, lost_server: str = "", returned_server: str = ""
) -> replicated.State:
    """Return the state with servers marked as changed at the offset being replayed."""
    servers = state.servers.evolver()
    for server in changed:
        current = state.servers.get(server)
        if current is not None:
            lost = server == lost_server or (current.lost and server != returned_server)
            servers[server] = dataclasses.replace(current, changed_at=state.next_offset, lost=lost)
    return dataclasses.replace(state, servers=servers.persistent())


def _has_predecessor(choice: records.LessorChoice, current: replicated.ServerState | None) -> bool:
    # An instance that is appointed again still has its view of the leases it granted itself.
    if current is None:
        return False
    return current.succeeded or current.lessor != choice.lessor


def _check_addresses(record: records.PresetPublished, state: replicated.State) -> Rejected | None:
    # The process at the old address may still hold a lease on the same partitions.
    owners = {owned.owner for owned in state.partitions.values()}
    for policy in record.preset.services:
        for server in policy.servers:
            server_state = state.servers.get(server.name)
            before = server_state.server if server_state is not None else None
            moved = before is not None and before.address != server.address
            if policy.keyed and moved and server.name in owners:
                return Rejected(RejectionReason.ADDRESS_CHANGED, f"{server.name} owns partitions")
    return None


def _find_listed_server(name: str, state: replicated.State) -> preset.BackendServer | None:
    if state.preset_in_force is None:
        return None
    for policy in state.preset_in_force.preset.services:
        server = policy.find_server(name) if policy.keyed else None
        if server is not None:
            return server
    return None


def _advance(state: replicated.State, entry: bytes, decision: Decision) -> replicated.State:
    verdict = decision.reason.value if isinstance(decision, Rejected) else ACCEPTED_VERDICT
    digest = hashlib.blake2b(state.chain.encode(), digest_size=CHAIN_DIGEST_BYTES)
    digest.update(verdict.encode())
    digest.update(entry)
    return dataclasses.replace(state, next_offset=state.next_offset + 1, chain=digest.hexdigest())


def _reject_stale_base(subject: str, offset: int) -> Rejected:
    return Rejected(RejectionReason.BASE_OVERTAKEN, f"{subject} changed at offset {offset}")
