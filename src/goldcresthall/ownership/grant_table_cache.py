"""Grant tables: what a lessor tells a server that it owns."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from goldcresthall.core import leases
from goldcresthall.ownership import placement
from goldcresthall.replication import state as replicated


@dataclasses.dataclass(frozen=True, slots=True)
class _Made:
    partitions: Mapping[replicated.PartitionId, replicated.Ownership]
    changed_at: int
    withheld: frozenset[replicated.PartitionId]
    table: leases.GrantTable


class GrantTableCache:
    """Makes one server's grant tables, and again only when they change."""

    def __init__(self, server_name: str) -> None:
        self._server_name = server_name
        self._made: _Made | None = None
        self._revision = 0

    def create(
        self, state: replicated.State, withheld: frozenset[replicated.PartitionId]
    ) -> leases.GrantTable:
        """Return the server's table as of a state, without the withheld partitions.

        The server must have a lessor in `state`.
        """
        changed_at = state.servers[self._server_name].changed_at
        made = self._made
        if made is not None and _is_current(made, state, changed_at, withheld):
            return made.table
        if made is not None and made.withheld != withheld:
            self._revision += 1
        table = self._create_table(state, changed_at, withheld)
        self._made = _Made(state.partitions, changed_at, withheld, table)
        return table

    def _create_table(
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
    made: _Made,
    state: replicated.State,
    changed_at: int,
    withheld: frozenset[replicated.PartitionId],
) -> bool:
    return (
        made.partitions is state.partitions
        and made.changed_at == changed_at
        and made.withheld == withheld
    )
