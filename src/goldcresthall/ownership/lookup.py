"""Lookups of key owners and keyed servers in the replicated state."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from goldcresthall.core import preset
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class KeyOwner:
    """The partition of a key and its ownership, which is `None` without an owner."""

    partition: int
    ownership: replicated.Ownership | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedServer:
    """A server of a keyed service, with the policy of the service.

    Attributes
    ----------
    is_leaving
        Whether the preset marks the server as draining or no longer contains it.
    """

    policy: preset.ServicePolicy
    server: preset.BackendServer
    is_leaving: bool = False


def find_key_owner(policy: preset.ServicePolicy, key: str, state: replicated.State) -> KeyOwner:
    """Return the owner of a key; a hot key entry takes precedence over its partition."""
    number = rendezvous.find_partition(key, policy.partitions)
    hot_key_owner = state.hot_keys.get(replicated.HotKeyId(policy.name, key))
    if hot_key_owner is not None:
        return KeyOwner(number, hot_key_owner)
    partition = replicated.PartitionId(policy.name, number)
    return KeyOwner(number, state.partitions.get(partition))


def iterate_keyed_servers(state: replicated.State) -> Iterator[KeyedServer]:
    """Yield the servers of keyed services, and removed servers that still own partitions."""
    if state.preset_in_force is None:
        return
    for policy in state.preset_in_force.preset.services:
        if policy.keyed:
            for server in policy.servers:
                yield KeyedServer(policy, server, is_leaving=server.draining)
            yield from _iterate_removed(policy, state)


def has_same_ownership(state: replicated.State, other: replicated.State | None) -> bool:
    """Return whether two states have the same preset, partitions and servers.

    Records of other kinds, of which hundreds arrive each second, change none of these.
    """
    return (
        other is not None
        and state.preset_in_force is other.preset_in_force
        and state.partitions is other.partitions
        and state.servers is other.servers
    )


def find_keyed_server(name: str, state: replicated.State) -> KeyedServer | None:
    """Return the keyed server with a name, or `None`."""
    for keyed in iterate_keyed_servers(state):
        if keyed.server.name == name:
            return keyed
    return None


def _iterate_removed(
    policy: preset.ServicePolicy, state: replicated.State
) -> Iterator[KeyedServer]:
    configured_names = {server.name for server in policy.servers}
    owner_names = {
        owned.owner
        for partition, owned in state.partitions.items()
        if partition.service == policy.name
    }
    for name in sorted(owner_names - configured_names):
        server_state = state.servers.get(name)
        if server_state is not None and server_state.server is not None:
            yield KeyedServer(policy, server_state.server, is_leaving=True)
