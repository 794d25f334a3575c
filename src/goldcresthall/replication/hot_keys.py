"""Replay of moves of single hot keys to an owner other than their partition's."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import hot_keys
from goldcresthall.core import preset
from goldcresthall.replication import replay
from goldcresthall.replication import state as replicated


@replay.apply.register(hot_keys.HotKeyMoved)
def _(record: hot_keys.HotKeyMoved, state: replicated.State) -> replay.Decision:
    rejected = _check(record, state)
    if rejected is not None:
        return rejected
    moved = replicated.Ownership(
        owner=record.to_server,
        epoch=state.next_offset,
        author=record.author,
        reason=record.reason,
    )
    key = replicated.HotKeyId(record.service, record.key)
    changed = dataclasses.replace(state, hot_keys=state.hot_keys.set(key, moved))
    return replay.Accepted(_mark_server_changed(record.from_server, changed))


def find_owner(
    record: hot_keys.HotKeyMoved, state: replicated.State
) -> replicated.Ownership | None:
    """Return the owner of the key before the record: the key's own or its partition's."""
    own = state.hot_keys.get(replicated.HotKeyId(record.service, record.key))
    if own is not None:
        return own
    return state.partitions.get(replicated.PartitionId(record.service, record.partition))


def _check(record: hot_keys.HotKeyMoved, state: replicated.State) -> replay.Rejected | None:
    policy = _find_policy(record.service, state)
    if policy is None or not policy.keyed:
        return replay.Rejected(replay.RejectionReason.UNKNOWN_SERVICE, record.service)
    if policy.find_server(record.to_server) is None:
        return replay.Rejected(replay.RejectionReason.UNKNOWN_SERVER, record.to_server)
    owned = find_owner(record, state)
    if owned is None or owned.owner != record.from_server:
        detail = "no owner" if owned is None else f"owner is {owned.owner}"
        return replay.Rejected(replay.RejectionReason.OWNER_DIFFERS, detail)
    if owned.epoch >= record.base:
        detail = f"key changed at offset {owned.epoch}"
        return replay.Rejected(replay.RejectionReason.BASE_OVERTAKEN, detail)
    return _check_lessor(record, state)


def _check_lessor(record: hot_keys.HotKeyMoved, state: replicated.State) -> replay.Rejected | None:
    server_state = state.servers.get(record.from_server)
    if server_state is None or (server_state.lessor, server_state.epoch) != (
        record.lessor,
        record.lessor_epoch,
    ):
        return replay.Rejected(replay.RejectionReason.NOT_LESSOR, record.from_server)
    if server_state.changed_at >= record.base:
        detail = f"{record.from_server} changed at offset {server_state.changed_at}"
        return replay.Rejected(replay.RejectionReason.BASE_OVERTAKEN, detail)
    return None


def _mark_server_changed(server: str, state: replicated.State) -> replicated.State:
    changed = dataclasses.replace(state.servers[server], changed_at=state.next_offset)
    return dataclasses.replace(state, servers=state.servers.set(server, changed))


def _find_policy(name: str, state: replicated.State) -> preset.ServicePolicy | None:
    return state.preset_in_force.preset.find_service(name) if state.preset_in_force else None
