"""Lookups in the replicated state that several services share."""

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
    """The owner of a key, its partition and the decision that made it the owner."""

    partition: int
    ownership: replicated.Ownership | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedServer:
    """A server of a keyed service together with its service.

    Attributes
    ----------
    is_leaving
        Whether the preset drains the server, or no longer names it.
    """

    policy: preset.ServicePolicy
    server: preset.BackendServer
    is_leaving: bool = False


def find_key_owner(policy: preset.ServicePolicy, key: str, state: replicated.State) -> KeyOwner:
    """Return the owner of a key of a keyed service; a hot key's own entry goes first."""
    number = rendezvous.find_partition(key, policy.partitions)
    alone = state.hot_keys.get(replicated.HotKeyId(policy.name, key))
    if alone is not None:
        return KeyOwner(number, alone)
    partition = replicated.PartitionId(policy.name, number)
    return KeyOwner(number, state.partitions.get(partition))


def iterate_keyed_servers(state: replicated.State) -> Iterator[KeyedServer]:
    """Yield each server of each keyed service, and those removed that still own partitions."""
    if state.preset_in_force is None:
        return
    for policy in state.preset_in_force.preset.services:
        if policy.keyed:
            for server in policy.servers:
                yield KeyedServer(policy, server, is_leaving=server.draining)
            yield from _iterate_removed(policy, state)


def has_same_ownership(state: replicated.State, other: replicated.State | None) -> bool:
    """Return whether two states agree on preset, partitions and servers.

    Records of other kinds come by the hundred each second and change none of them.
    """
    return (
        other is not None
        and state.preset_in_force is other.preset_in_force
        and state.partitions is other.partitions
        and state.servers is other.servers
    )


def find_keyed_server(name: str, state: replicated.State) -> KeyedServer | None:
    """Return the keyed server of a name, or none."""
    for keyed in iterate_keyed_servers(state):
        if keyed.server.name == name:
            return keyed
    return None


def _iterate_removed(
    policy: preset.ServicePolicy, state: replicated.State
) -> Iterator[KeyedServer]:
    named = {server.name for server in policy.servers}
    owners = {
        owned.owner
        for partition, owned in state.partitions.items()
        if partition.service == policy.name
    }
    for name in sorted(owners - named):
        known = state.servers.get(name)
        if known is not None and known.server is not None:
            yield KeyedServer(policy, known.server, is_leaving=True)
