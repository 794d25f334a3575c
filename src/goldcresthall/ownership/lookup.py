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
    """A server of a keyed service together with its service."""

    policy: preset.ServicePolicy
    server: preset.BackendServer


def find_key_owner(policy: preset.ServicePolicy, key: str, state: replicated.State) -> KeyOwner:
    """Return the owner of a key of a keyed service; a hot key's own entry goes first."""
    number = rendezvous.find_partition(key, policy.partitions)
    alone = state.hot_keys.get(replicated.HotKeyId(policy.name, key))
    if alone is not None:
        return KeyOwner(number, alone)
    partition = replicated.PartitionId(policy.name, number)
    return KeyOwner(number, state.partitions.get(partition))


def iterate_keyed_servers(state: replicated.State) -> Iterator[KeyedServer]:
    """Yield each server of each keyed service of the preset in force."""
    if state.preset_in_force is None:
        return
    for policy in state.preset_in_force.preset.services:
        if policy.keyed:
            for server in policy.servers:
                yield KeyedServer(policy, server)
