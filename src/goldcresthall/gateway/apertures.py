"""The subset of a service's servers that an instance uses, so that its connections are reused."""

from __future__ import annotations

import dataclasses
import math

from goldcresthall.gateway import selection
from goldcresthall.gateway import server_lists
from goldcresthall.ownership import rendezvous

# Up to this number of instances each uses all servers. With more of them, a server is in the
# subsets of about this many instances, enough to even out that their numbers differ.
MAX_INSTANCES_FOR_ALL = 16
INSTANCES_PER_SERVER = 12
# A smaller subset could be lost as a whole, or be full while other servers are idle.
MIN_SUBSET_SIZE = 6
LOCAL_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The servers of a service as one instance sees them.

    Attributes
    ----------
    everything
        All servers of the service.
    subset
        Those that it uses while they have room; `everything` itself if it is all of them.
    size
        Number of servers that the subset was made for.
    """

    everything: selection.Candidates
    subset: selection.Candidates
    size: int


class Apertures:
    """Chooses the subsets by rendezvous hashing of the names of servers and of this instance.

    A server that joins or leaves changes at most one place of a subset. All instances choose
    alike and without agreement, so each server of a failure domain is in about the same number
    of subsets.

    Parameters
    ----------
    instance_name
        Name of this instance.
    failure_domain
        Failure domain of this instance.
    """

    def __init__(self, instance_name: str, failure_domain: str) -> None:
        self._instance_name = instance_name
        self._failure_domain = failure_domain
        self._views: dict[str, View] = {}

    def find(
        self, service: str, entries: tuple[server_lists.DirectoryEntry, ...], instance_count: int
    ) -> View:
        """Return the servers of a service and the subset of them that this instance uses."""
        size = find_size(len(entries), instance_count)
        view = self._views.get(service)
        if view is None or view.everything.entries is not entries or view.size != size:
            everything = selection.Candidates.divide(entries, self._failure_domain)
            view = View(everything, self._choose(everything, size), size)
            self._views[service] = view
        return view

    def _choose(self, candidates: selection.Candidates, size: int) -> selection.Candidates:
        if size >= len(candidates.entries):
            return candidates
        local = self._rank(candidates.local)
        remote = self._rank(candidates.remote)
        local = local[: max(math.ceil(LOCAL_FRACTION * size), size - len(remote))]
        remote = remote[: size - len(local)]
        return selection.Candidates((*local, *remote), local, remote)

    def _rank(
        self, entries: tuple[server_lists.DirectoryEntry, ...]
    ) -> tuple[server_lists.DirectoryEntry, ...]:
        """Return the servers that do not drain, those that this instance prefers first."""
        by_name = {entry.server.name: entry for entry in entries if entry.draining_since_s is None}
        ranked = rendezvous.rank_names(self._instance_name, by_name)
        return tuple(by_name[name] for name in ranked)


def find_size(server_count: int, instance_count: int) -> int:
    """Return the number of servers in the subset of each instance."""
    if instance_count <= MAX_INSTANCES_FOR_ALL:
        return server_count
    share = math.ceil(INSTANCES_PER_SERVER * server_count / instance_count)
    return min(server_count, max(MIN_SUBSET_SIZE, share))
