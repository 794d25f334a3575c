"""Placement of partitions on servers, as pure functions of the replicated state."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from goldcresthall.core import records
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from goldcresthall.core import preset


def list_owned(server: str, state: replicated.State) -> tuple[replicated.PartitionId, ...]:
    """Return the partitions that a server owns, ordered by service and number."""
    owned = [partition for partition, owner in state.partitions.items() if owner.owner == server]
    return tuple(sorted(owned, key=lambda partition: (partition.service, partition.number)))


def list_eligible(policy: preset.ServicePolicy, state: replicated.State) -> tuple[str, ...]:
    """Return the servers of a service that may receive partitions."""
    return tuple(
        server.name
        for server in policy.servers
        if not server.draining and not _is_lost(server.name, state)
    )


def plan_initial(
    policy: preset.ServicePolicy, state: replicated.State
) -> tuple[records.PartitionMove, ...]:
    """Return moves that assign each partition without an owner to a server."""
    unowned = [
        number
        for number in range(policy.partitions)
        if replicated.PartitionId(policy.name, number) not in state.partitions
    ]
    return _assign_partitions(policy, state, tuple(unowned), from_server="")


def plan_evacuation(
    server: str, policy: preset.ServicePolicy, state: replicated.State
) -> tuple[records.PartitionMove, ...]:
    """Return moves of all partitions of a service away from a server."""
    numbers = tuple(
        partition.number
        for partition in list_owned(server, state)
        if partition.service == policy.name
    )
    return _assign_partitions(policy, state, numbers, from_server=server)


def plan_orphaned(
    policy: preset.ServicePolicy, state: replicated.State
) -> tuple[records.PartitionMove, ...]:
    """Return moves away from servers that were removed before they had a lessor."""
    if not policy.checks_grants:
        return ()
    owners = {
        owned.owner
        for partition, owned in state.partitions.items()
        if partition.service == policy.name
    }
    moves: list[records.PartitionMove] = []
    for owner in sorted(owners):
        if owner not in state.servers and policy.find_server(owner) is None:
            moves.extend(plan_evacuation(owner, policy, state))
    return tuple(moves)


def is_movable(
    partition: replicated.PartitionId,
    from_server: str,
    to_server: str,
    policy: preset.ServicePolicy,
    state: replicated.State,
) -> bool:
    """Return whether `from_server` owns the partition and `to_server` may receive it."""
    owned = state.partitions.get(partition)
    return (
        owned is not None
        and owned.owner == from_server
        and to_server != from_server
        and to_server in list_eligible(policy, state)
    )


def _assign_partitions(
    policy: preset.ServicePolicy,
    state: replicated.State,
    numbers: tuple[int, ...],
    *,
    from_server: str,
) -> tuple[records.PartitionMove, ...]:
    eligible = [name for name in list_eligible(policy, state) if name != from_server]
    if not eligible:
        return ()
    counts = collections.Counter(
        owner.owner
        for partition, owner in state.partitions.items()
        if partition.service == policy.name
    )
    moves = []
    for number in numbers:
        ranked = rendezvous.rank_names(f"{policy.name}/{number}", eligible)
        target = min(ranked, key=lambda name: counts[name])
        counts[target] += 1
        moves.append(records.PartitionMove(policy.name, number, from_server, target))
    return tuple(moves)


def _is_lost(server: str, state: replicated.State) -> bool:
    server_state = state.servers.get(server)
    return server_state is not None and server_state.lost
