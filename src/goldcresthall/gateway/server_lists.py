"""Lists of the registered servers, and which state of the store they show."""

from __future__ import annotations

import dataclasses
import math
from typing import Final

from absl import logging

from goldcresthall.core import deployment
from goldcresthall.gateway import warm_ups


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """A registered server and the times at which its state was first observed.

    Attributes
    ----------
    draining_since_s
        Clock reading in seconds since which it may have been draining: the time of the last list
        before the one that said so. `None` if it is not draining.
    first_seen_s
        Clock reading in seconds at which this incarnation was first seen, or turned cold again.
    """

    server: deployment.RegisteredServer
    first_seen_s: float
    draining_since_s: float | None = None

    @property
    def warm_up(self) -> warm_ups.WarmUp:
        """The server's present warm-up."""
        return warm_ups.WarmUp(self.first_seen_s, self.server.slow_start_remaining_s)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerList:
    """An immutable index of the servers in the directory; replaced as a whole on every change."""

    by_name: dict[str, DirectoryEntry]
    by_service: dict[str, tuple[DirectoryEntry, ...]]

    @property
    def incarnations(self) -> frozenset[deployment.ServerIncarnation]:
        """The incarnations of all servers."""
        return frozenset(entry.server.incarnation for entry in self.by_name.values())

    def find(self, incarnation: deployment.ServerIncarnation) -> DirectoryEntry | None:
        """Return a server's entry, or `None` unless the given incarnation is the current one."""
        entry = self.by_name.get(incarnation.name)
        return entry if entry is not None and entry.server.incarnation == incarnation else None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedServers:
    """The server list as relayed to other instances.

    Attributes
    ----------
    revision
        Number of changes to the list so far; -1 if the list is stale.
    """

    revision: int
    servers: tuple[deployment.RegisteredServer, ...]


STALE_SERVERS: Final = RelayedServers(-1, ())


@dataclasses.dataclass(frozen=True, slots=True)
class ListVersion:
    """Which state of the store a server list shows.

    Attributes
    ----------
    position
        Position in the store up to which the entries are included.
    known_at_s
        Clock reading in seconds at which the read behind the list began, so that the list was
        still the latest one then.
    """

    position: int
    known_at_s: float


NO_LIST: Final = ListVersion(-1, -math.inf)


def update_entry(
    previous: DirectoryEntry | None,
    server: deployment.RegisteredServer,
    draining_since_s: float | None,
    now_s: float,
    *,
    is_warm_up_report: bool = False,
) -> DirectoryEntry:
    """Return a server's entry after a report of it.

    Parameters
    ----------
    previous
        Its entry until now; `None` if it has none.
    draining_since_s
        Clock reading in seconds since which it may have been draining; `None` if it is not.
    is_warm_up_report
        Whether its remaining slow-start time is a new report that must be followed.
    """
    is_draining = draining_since_s is not None
    server = dataclasses.replace(server, draining=is_draining)
    if previous is None or previous.server.incarnation != server.incarnation:
        logging.info(
            "server %s of service %s discovered at %s, step discover, draining %s",
            server.incarnation,
            server.service,
            server.address,
            is_draining,
        )
        return DirectoryEntry(server, now_s, draining_since_s)
    if is_draining and previous.draining_since_s is None:
        logging.info("server %s draining, step discover", server.incarnation)
    # The remaining slow-start time decreases with each refresh of the entry. The first
    # value, counted from `first_seen_s`, gives the end of the slow start.
    warm_up = previous.warm_up
    if is_warm_up_report:
        warm_up = warm_up.follow(server.slow_start_remaining_s, now_s)
    if warm_up.known_at_s != previous.first_seen_s:
        logging.info(
            "server %s turned cold again, step discover, %.1f s left",
            server.incarnation,
            warm_up.remaining_s,
        )
    server = dataclasses.replace(server, slow_start_remaining_s=warm_up.remaining_s)
    updated = DirectoryEntry(server, warm_up.known_at_s, draining_since_s)
    return previous if updated == previous else updated


def create_server_list(by_name: dict[str, DirectoryEntry]) -> ServerList:
    """Return the index of entries by name and by service."""
    by_service: dict[str, list[DirectoryEntry]] = {}
    for name in sorted(by_name):
        entry = by_name[name]
        by_service.setdefault(entry.server.service, []).append(entry)
    return ServerList(by_name, {key: tuple(value) for key, value in by_service.items()})
