"""Servers that must get no request although they are healthy: evacuated ones and cold ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from goldcresthall.core import outcomes

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.gateway import cold_starts
    from goldcresthall.gateway import directory
    from goldcresthall.gateway import server_lists

# The rest of the time is for the release of an owner's ranges and for its last requests.
MAX_OWNER_EVACUATION_FRACTION = 0.25
EVACUATED_RETRY_AFTER_S = 1.0
MAX_COLD_RETRY_AFTER_S = 1.0
# A range moves away from a cold owner in less.
MAX_COLD_WAIT_S = 1.5


class Restrictions:
    """Decides which servers the operator's evacuations and the limits of cold servers allow.

    Parameters
    ----------
    server_directory
        Registered servers and evacuated failure domains.
    cold_servers
        Limits on requests to cold servers.
    evacuation_s
        Seconds after which nothing may reach the servers of an evacuated failure domain.
    """

    def __init__(
        self,
        server_directory: directory.Directory,
        cold_servers: cold_starts.ColdStarts,
        evacuation_s: float,
    ) -> None:
        self._directory = server_directory
        self._cold_servers = cold_servers
        self._max_owner_s = MAX_OWNER_EVACUATION_FRACTION * evacuation_s

    def restricts(self, service: str) -> bool:
        """Return whether any server of a service may be restricted now."""
        return bool(self._directory.evacuated_domains) or (service in self._directory.cold_limits)

    def allows(self, server: deployment.RegisteredServer) -> bool:
        """Return whether a server of a pool may get a request now."""
        return not self._directory.is_evacuated(
            server.failure_domain
        ) and self._cold_servers.may_send(server)

    def refuse_service(self, service: str) -> outcomes.Refused | None:
        """Return a refusal if all servers of a service are in evacuated failure domains."""
        evacuated = self._directory.evacuated_domains
        if not evacuated:
            return None
        entries = self._directory.servers.by_service.get(service, ())
        if not entries or any(entry.server.failure_domain not in evacuated for entry in entries):
            return None
        return _refuse_evacuated(service, "all servers are in evacuated failure domains")

    def refuse_owner(self, entry: server_lists.DirectoryEntry) -> outcomes.Refused | None:
        """Return a refusal if the owner of a key may not get a request now.

        An owner in an evacuated failure domain gets requests for a part of the evacuation time,
        in which its ranges move.
        """
        server = entry.server
        since_s = self._directory.find_evacuated_since_s(server.failure_domain)
        if since_s is not None and self._directory.read_s() - since_s > self._max_owner_s:
            return _refuse_evacuated(server.service, f"{server.name} is evacuated")
        if not self._cold_servers.may_send(server):
            return self._refuse_cold((server,))
        return None

    def refuse_servers(
        self, servers: tuple[deployment.RegisteredServer, ...]
    ) -> outcomes.Refused | None:
        """Return a refusal if none of the servers of a pool may get a request now."""
        present = [
            server for server in servers if not self._directory.is_evacuated(server.failure_domain)
        ]
        if servers and not present:
            return _refuse_evacuated(servers[0].service, "the servers left are evacuated")
        if not present or any(map(self._cold_servers.may_send, present)):
            return None
        return self._refuse_cold(tuple(present))

    def _refuse_cold(self, servers: tuple[deployment.RegisteredServer, ...]) -> outcomes.Refused:
        cold_s = min(map(self._cold_servers.find_cold_s, servers))
        return outcomes.Refused(
            outcomes.RefusalReason.SERVER_COLD,
            outcomes.Step.CHOOSE_SERVER,
            servers[0].service,
            f"{len(servers)} cold servers must not get a request from this instance now",
            retry_after_s=min(MAX_COLD_RETRY_AFTER_S, cold_s),
        )


def _refuse_evacuated(service: str, detail: str) -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.DOMAIN_EVACUATED,
        outcomes.Step.CHOOSE_SERVER,
        service,
        detail,
        retry_after_s=EVACUATED_RETRY_AFTER_S,
    )
