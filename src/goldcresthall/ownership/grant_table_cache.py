"""Grant tables: the partitions that a lessor grants to a server."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from goldcresthall.core import leases
from goldcresthall.ownership import placement
from goldcresthall.replication import state as replicated


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedTable:
    partitions: Mapping[replicated.PartitionId, replicated.Ownership]
    changed_at: int
    withheld: frozenset[replicated.PartitionId]
    table: leases.GrantTable


class GrantTableCache:
    """Builds one server's grant table and caches it until its inputs change."""

    def __init__(self, server_name: str) -> None:
        self._server_name = server_name
        self._cached: _CachedTable | None = None
        self._revision = 0

    def get(
        self, state: replicated.State, withheld: frozenset[replicated.PartitionId]
    ) -> leases.GrantTable:
        """Return the server's grant table for a state, without the withheld partitions.

        The server must have a lessor in `state`.
        """
        changed_at = state.servers[self._server_name].changed_at
        cached = self._cached
        if cached is not None and _is_current(cached, state, changed_at, withheld):
            return cached.table
        if cached is not None and cached.withheld != withheld:
            self._revision += 1
        table = self._build_table(state, changed_at, withheld)
        self._cached = _CachedTable(state.partitions, changed_at, withheld, table)
        return table

    def _build_table(
        self,
        state: replicated.State,
        changed_at: int,
        withheld: frozenset[replicated.PartitionId],
    ) -> leases.GrantTable:
        owned = placement.list_owned(self._server_name, state)
        epochs = [state.partitions[partition].epoch for partition in owned]
        grants = tuple(
            leases.Grant(partition.service, partition.number, epoch)
            for partition, epoch in zip(owned, epochs, strict=True)
            if partition not in withheld
        )
        return leases.GrantTable(max([changed_at, *epochs]), grants, self._revision)


def _is_current(
    cached: _CachedTable,
    state: replicated.State,
    changed_at: int,
    withheld: frozenset[replicated.PartitionId],
) -> bool:
    return (
        cached.partitions is state.partitions
        and cached.changed_at == changed_at
        and cached.withheld == withheld
    )
