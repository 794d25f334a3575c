"""Service directory: the configuration in force and the registered backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.gateway import configuration_state
from goldcresthall.gateway import evacuations
from goldcresthall.gateway import list_bounds
from goldcresthall.gateway import list_freshness
from goldcresthall.gateway import route_table
from goldcresthall.gateway import server_history
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import warm_ups
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.store import positions

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import deployment_settings
    from goldcresthall.kernel import kernel

EXPIRED_ENTRY_GRACE_S = 2.6
MAX_REPORTED_DRAINING = 1_024


class Directory(list_freshness.ListFreshness, service.Service):
    """The deployment's configuration and servers, as last read from the store.

    A server whose entry is missing after an outage of the store is kept for
    `EXPIRED_ENTRY_GRACE_S`. Entries expire during an outage because servers cannot refresh
    them, and live servers register again soon after it. The same holds after a return of the store
    from a copy, which lacks the entries of servers that registered since.

    The list never goes back to an earlier position of the store, whether it is read or relayed.
    How old it may be is decided by the bounds, counted from the read behind it.

    Parameters
    ----------
    bounds
        Bounds on the age of the list.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        bounds: list_bounds.ListBounds = list_bounds.STRICTEST,
    ) -> None:
        super().__init__(bounds)
        self._kernel = service_kernel
        self._configurations = configuration_state.ConfigurationState()
        self._servers = server_lists.ServerList({}, {})
        self._expired_names: set[str] = set()
        self._store_recovered_at_s = 0.0
        self._used_without_entry_until_s = -math.inf
        self._history = server_history.ServerHistory()
        self._warm_up_reports = warm_ups.WarmUpReports()
        self._evacuations = evacuations.EvacuationState()
        self._has_relayed_evacuations = False
        self._reported_draining: dict[deployment.ServerIncarnation, None] = {}
        self._relayed = server_lists.RelayedServers(0, ())
        self._applied_relay: tuple[deployment.RegisteredServer, ...] | None = None

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        settings: deployment_settings.DeploymentSettings,
    ) -> Directory:
        """Return the directory of an instance."""
        return cls(service_kernel, list_bounds.ListBounds.from_drain_s(settings.drain_s))

    def start(self) -> None:
        """Look up the clock."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)

    def stop(self) -> None:
        """Do nothing."""

    def read_s(self) -> float:
        """Return the reading in seconds of the clock that entries are timed by."""
        return self._clock.read_s()

    @property
    def configuration(self) -> deployment.Configuration | None:
        """The configuration in force; `None` until the first one is read."""
        return self._configurations.in_force

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and servers are known."""
        return self._configurations.in_force is not None and bool(self._servers.by_name)

    @property
    def configurations(self) -> configuration_state.ConfigurationState:
        """The configuration in force, and the versions that other instances have."""
        return self._configurations

    @property
    def route_table(self) -> route_table.RouteTable:
        """The route table of the configuration in force."""
        return self._configurations.route_table

    @property
    def servers(self) -> server_lists.ServerList:
        """The registered servers, and those kept after their entries expired in an outage."""
        return self._servers

    @property
    def cold_limits(self) -> dict[str, float]:
        """Requests per second that a cold server bears, by service; only those with a limit."""
        return self._configurations.cold_limits

    @property
    def evacuated(self) -> evacuations.EvacuatedDomains:
        """The failure domains that the operator evacuates, as the store last showed them."""
        return self._evacuations.latest

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """The failure domains whose servers must get no requests."""
        return self._evacuations.find_in_force(self._clock.read_s())

    @property
    def known_evacuations(self) -> evacuations.EvacuatedDomains | None:
        """The evacuated failure domains; `None` if no state of the store is known."""
        evacuated = self._evacuations.latest
        return None if evacuated == evacuations.NO_EVACUATIONS else evacuated

    @property
    def has_relayed_evacuations(self) -> bool:
        """Whether the last reply of the lessor named the evacuations."""
        return self._has_relayed_evacuations

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether the servers of a failure domain must get no requests."""
        return failure_domain in self.evacuated_domains

    def find_evacuated_since_s(self, failure_domain: str) -> float | None:
        """Return the clock reading in seconds since which a failure domain is evacuated.

        Returns `None` if it is not evacuated.
        """
        if not self.is_evacuated(failure_domain):
            return None
        return self._evacuations.find_since_s(failure_domain)

    def apply_evacuations(self, evacuated: evacuations.EvacuatedDomains) -> None:
        """Replace the evacuations unless a later state of the store is known."""
        with self._lock:
            self._evacuations.apply(evacuated, self._clock.read_s())

    def apply_relayed_evacuations(self, evacuated: evacuations.EvacuatedDomains | None) -> None:
        """Apply what a reply of the lessor says; one of an earlier release says nothing."""
        self._has_relayed_evacuations = evacuated is not None
        if evacuated is not None:
            self.apply_evacuations(evacuated)

    def record_store_recovery(self, outage: list_bounds.StoreOutage) -> None:
        """Start the grace period for entries if they may have expired in an outage of the store."""
        if not outage.may_expire_entries:
            return
        now_s = self._clock.read_s()
        with self._lock:
            self._store_recovered_at_s = now_s
            self._use_without_entry_after(outage.last_failed_at_s)
        logging.info(
            "missing entries are kept for %.1f s and used for %.1f s, step discover, "
            "reads failed %d times in %.2f s",
            EXPIRED_ENTRY_GRACE_S,
            self._used_without_entry_until_s - now_s,
            outage.failed_reads,
            outage.duration_s,
        )

    def may_be_used(self, name: str) -> bool:
        """Return whether requests may be sent to a listed server, as far as its entry tells.

        Without an entry it may have left. It is used while the store is away, and until its entry
        must be there again, counted from the last moment at which the store was surely away: the
        first read that succeeds may come much later than the store's return.
        """
        if name not in self._expired_names or self.is_store_away:
            return True
        return self._clock.read_s() < self._used_without_entry_until_s

    def _use_without_entry_after(self, away_at_s: float) -> None:
        """Use servers without an entry for some time after the store was surely away."""
        until_s = away_at_s + list_bounds.MAX_USE_WITHOUT_ENTRY_S
        self._used_without_entry_until_s = max(self._used_without_entry_until_s, until_s)

    def apply_changes(
        self,
        present: tuple[deployment.RegisteredServer, ...],
        absent: frozenset[str],
        version: server_lists.ListVersion | None = None,
    ) -> None:
        """Apply changes to the server list.

        Parameters
        ----------
        present
            Servers whose entries were added or changed.
        absent
            Names of servers whose entries were removed, before those that are present again.
        version
            State of the store after the changes; they are ignored if a later one is known.
            `None` means the present state at the known position.
        """
        now_s = self._clock.read_s()
        with self._lock:
            version = version or server_lists.ListVersion(self._version.position, now_s)
            if version.position < self._version.position:
                return
            if self._is_restored(version):
                self._store_recovered_at_s = now_s
                self._use_without_entry_after(self._version.known_at_s)
                logging.warning(
                    "server list read anew, step discover: the store came back from a copy, "
                    "position %s after %s; missing entries are kept for %.1f s",
                    positions.describe(version.position),
                    positions.describe(self._version.position),
                    EXPIRED_ENTRY_GRACE_S,
                )
            by_name = dict(self._servers.by_name)
            self._expired_names.update(name for name in absent if name in by_name)
            for server in present:
                if self._is_listed(by_name, server.name) or not self._history.is_late(server):
                    self._expired_names.discard(server.name)
                    self._merge(by_name, server, now_s, is_relayed=False)
                else:
                    logging.info(
                        "late entry of %s ignored, step discover: removed", server.incarnation
                    )
            self._remove_expired(by_name, now_s)
            self._applied_relay = None
            self._renew(version, list_freshness.ListSource.STORE, now_s)
            self._replace(by_name)

    def _is_restored(self, version: server_lists.ListVersion) -> bool:
        """Return whether the store has come back from a copy since the known list."""
        era = positions.find_era(version.position)
        is_later = era > positions.find_era(self._version.position)
        return self._version is not server_lists.NO_LIST and is_later

    def _is_listed(self, by_name: dict[str, server_lists.DirectoryEntry], name: str) -> bool:
        return name in by_name and name not in self._expired_names

    def _remove_expired(
        self, by_name: dict[str, server_lists.DirectoryEntry], now_s: float
    ) -> None:
        """Remove the servers without an entry unless the grace period still lasts."""
        if now_s < self._store_recovered_at_s + EXPIRED_ENTRY_GRACE_S:
            return
        for name in self._expired_names:
            logging.info(
                "server %s removed, step discover, position %s",
                name,
                positions.describe(self._version.position),
            )
            by_name.pop(name, None)
        self._expired_names.clear()

    def relay(self) -> server_lists.RelayedServers:
        """Return the server list for other instances, or `STALE_SERVERS` if it is too old.

        A list with servers that are kept without an entry is not relayed: others may have
        reached the store all the while, and know that these servers are gone.
        """
        with self._lock:
            age_s = self._clock.read_s() - self._version.known_at_s
            if self._expired_names or age_s > self._bounds.relay_s:
                return server_lists.STALE_SERVERS
            return self._relayed

    def record_draining(self, incarnation: deployment.ServerIncarnation) -> None:
        """Record that a server said itself that it is draining, whatever its entry says."""
        with self._lock:
            now_s = self._clock.read_s()
            if not self._history.record_draining(incarnation, now_s):
                return
            logging.info("server %s says that it is draining, step receive", incarnation)
            self._reported_draining[incarnation] = None
            if len(self._reported_draining) > MAX_REPORTED_DRAINING:
                del self._reported_draining[next(iter(self._reported_draining))]
            entry = self._servers.find(incarnation)
            if entry is not None:
                by_name = dict(self._servers.by_name)
                by_name[incarnation.name] = server_lists.update_entry(
                    entry, entry.server, now_s, now_s
                )
                self._replace(by_name)

    @property
    def reported_draining(self) -> tuple[deployment.ServerIncarnation, ...]:
        """The listed servers that said themselves that they are draining."""
        with self._lock:
            listed = self._servers.incarnations
            return tuple(server for server in self._reported_draining if server in listed)

    def apply_relayed(
        self, present: tuple[deployment.RegisteredServer, ...], version: server_lists.ListVersion
    ) -> None:
        """Replace the list with one relayed by another instance, unless a later one is known.

        Parameters
        ----------
        present
            The servers; the same tuple as before if there is no change.
        """
        now_s = self._clock.read_s()
        with self._lock:
            self._record_relay(now_s)
            if version.position < self._version.position:
                return
            known_at_s = max(version.known_at_s, self._version.known_at_s)
            if present is not self._applied_relay:
                self._expired_names.clear()
                names_present = {server.name for server in present}
                by_name = {
                    name: entry
                    for name, entry in self._servers.by_name.items()
                    if name in names_present
                }
                for server in present:
                    self._merge(by_name, server, now_s, is_relayed=True)
                self._replace(by_name)
            self._applied_relay = present
            renewed = server_lists.ListVersion(version.position, known_at_s)
            self._renew(renewed, list_freshness.ListSource.RELAY, now_s)

    def _merge(
        self,
        by_name: dict[str, server_lists.DirectoryEntry],
        server: deployment.RegisteredServer,
        now_s: float,
        *,
        is_relayed: bool,
    ) -> None:
        """Add or replace a server's entry unless a later incarnation is known."""
        latest = self._history.observe(server, self._version.known_at_s)
        if latest is not None:
            previous = by_name.get(server.name)
            is_new = self._warm_up_reports.observe(server, is_relayed=is_relayed)
            by_name[server.name] = server_lists.update_entry(
                previous,
                server,
                latest.draining_since_s,
                now_s,
                is_warm_up_report=(is_new or _may_end_warm_up(previous, server))
                and server.service in self._configurations.cold_limits,
            )

    def _replace(self, by_name: dict[str, server_lists.DirectoryEntry]) -> None:
        if by_name != self._servers.by_name:
            self._servers = server_lists.create_server_list(by_name)
            servers = tuple(entry.server for entry in by_name.values())
            self._relayed = server_lists.RelayedServers(self._relayed.revision + 1, servers)

    def apply_full_list(
        self,
        present: tuple[deployment.RegisteredServer, ...],
        version: server_lists.ListVersion | None = None,
    ) -> None:
        """Apply a complete list; servers that are not in it are removed."""
        kept = {server.name for server in present}
        absent = frozenset(name for name in self._servers.by_name if name not in kept)
        self.apply_changes(present, absent, version)


def _may_end_warm_up(
    previous: server_lists.DirectoryEntry | None, server: deployment.RegisteredServer
) -> bool:
    """Return whether an entry says that a server is warm which is kept as cold until now.

    The first such entry may come too early to be followed; those after it are equal.
    """
    return (
        previous is not None
        and not server.slow_start_remaining_s
        and bool(previous.server.slow_start_remaining_s)
    )
