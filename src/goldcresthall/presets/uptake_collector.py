"""Uptake of a preset by all instances, collected from peer reports."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.log_service import instance_list
from goldcresthall.peers import server
from goldcresthall.peers import uptake_table
from goldcresthall.replication import replica

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import settings
    from goldcresthall.kernel import kernel

MS_PER_S = 1_000
NO_PRESET_OFFSET = -1


class UptakeStatus(enum.Enum):
    """Uptake status of a preset at one instance."""

    HAS = "has"
    BEHIND = "behind"
    UNHEARD = "unheard"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUptakeStatus:
    """Uptake of a preset at one instance.

    Attributes
    ----------
    heard_age_s
        Seconds since the instance reported; infinite if it never did.
    listed
        Whether the instance list contains the instance as live.
    """

    name: str
    status: UptakeStatus
    preset_offset: int
    heard_age_s: float
    listed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UptakeReport:
    """Uptake of the preset at `offset`, or of a later one, at all instances."""

    offset: int
    instances: tuple[InstanceUptakeStatus, ...]
    list_age_s: float
    list_is_current: bool


class UptakeCollector(service.Service):
    """Reports the uptake at all instances from the uptake rows that peers relay."""

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        peer_settings: settings.PeerSettings,
    ) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._heard_within_s = peer_settings.heard_within_ms / MS_PER_S

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        incarnation: identity.Incarnation,
        peer_settings: settings.PeerSettings,
    ) -> UptakeCollector:
        """Return the uptake collector of an instance."""
        return cls(service_kernel, incarnation, peer_settings)

    def start(self) -> None:
        """Look up the uptake table, the instance list and the replica."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._list = self._kernel.find(names.INSTANCE_LIST, instance_list.InstanceList)
        self._table = self._kernel.find(names.PEER_SERVER, server.PeerServer).uptake_table

    def stop(self) -> None:
        """Do nothing."""

    def collect(self, offset: int | None, within_s: float = math.inf) -> UptakeReport:
        """Return the uptake of a preset.

        Parameters
        ----------
        offset
            Offset of the preset; `None` for the one in force at this instance.
        within_s
            Maximum age of an instance's report in seconds; the configured limit also applies.
        """
        now_s = self._clock.read_s()
        in_force = self._replica.state.preset_in_force
        own_offset = NO_PRESET_OFFSET if in_force is None else in_force.offset
        own = uptake_table.KnownUptake(
            self._incarnation.name, self._incarnation.token, own_offset, now_s, 0
        )
        list_age_s = now_s - self._list.last_read_at_s
        target_offset = own_offset if offset is None else offset
        return UptakeReport(
            offset=target_offset,
            instances=find_uptake(
                target_offset,
                self._list.listing.live,
                (own, *self._table.rows),
                now_s,
                min(within_s, self._heard_within_s),
            ),
            list_age_s=list_age_s,
            list_is_current=list_age_s <= self._heard_within_s,
        )


def find_uptake(
    offset: int,
    live: tuple[identity.InstanceEntry, ...],
    rows: tuple[uptake_table.KnownUptake, ...],
    now_s: float,
    heard_within_s: float,
) -> tuple[InstanceUptakeStatus, ...]:
    """Return the uptake of listed and recently heard instances, ordered by name."""
    rows_by_name = {row.name: row for row in rows}
    listed = {entry.name for entry in live}
    heard = {row.name for row in rows if now_s - row.reported_at_s <= heard_within_s}
    return tuple(
        _create_instance_status(
            name, offset, rows_by_name.get(name), now_s, heard_within_s, listed=name in listed
        )
        for name in sorted(listed | heard)
    )


def _create_instance_status(
    name: str,
    offset: int,
    row: uptake_table.KnownUptake | None,
    now_s: float,
    heard_within_s: float,
    *,
    listed: bool,
) -> InstanceUptakeStatus:
    if row is None:
        return InstanceUptakeStatus(name, UptakeStatus.UNHEARD, NO_PRESET_OFFSET, math.inf, listed)
    age_s = now_s - row.reported_at_s
    status = UptakeStatus.HAS if row.preset_offset >= offset >= 0 else UptakeStatus.BEHIND
    if age_s > heard_within_s:
        status = UptakeStatus.UNHEARD
    return InstanceUptakeStatus(name, status, row.preset_offset, age_s, listed)
