"""Limits on the requests that reach cold servers, shared among all instances without messages."""

from __future__ import annotations

import dataclasses
import math
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.gateway import directory
from goldcresthall.kernel import clock
from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.ownership import rendezvous

if TYPE_CHECKING:
    from goldcresthall.core import deployment
    from goldcresthall.core import deployment_settings
    from goldcresthall.kernel import kernel

# Requests of one instance to a cold server start this far apart. Two may arrive closer together
# than they were sent, by the time that a connection takes to open.
SEND_INTERVAL_S = 1.25
# Only half of the limit is dealt out: two groups of instances that are cut off from each other
# each choose their own senders.
DEALT_FRACTION = 0.5
# Less than the time after which the lessor drops an instance that does not report.
MAX_LIST_AGE_S = 1.5
# An instance is counted for this long after it was listed last, and sends only once it has had
# lists for this long: until then the others may not know of it, and a new lessor's list is not
# complete.
SETTLING_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """Whether this instance is one of those that may use a server, for a set of instances."""

    members_revision: int
    limit: float
    is_chosen: bool


class LiveInstances:
    """The instances that the lessor listed recently, for as long as the lists are current.

    An instance that the latest list lacks is counted for `SETTLING_S` more, because its list may
    differ. A choice among too many instances is at worst one that sends less.

    Not safe for use by several tasks that change it.

    Parameters
    ----------
    own_name
        Name of this instance.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._listed_at_s: dict[str, float] = {}
        self._current_at_s = -math.inf
        self._settled_from_s = math.inf
        self._members: tuple[str, ...] = ()
        self._revision = 0

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the instances that were listed within `SETTLING_S`."""
        return self._members

    @property
    def revision(self) -> int:
        """Number of changes of the members."""
        return self._revision

    def apply(self, listed: tuple[str, ...], known_at_s: float) -> None:
        """Add a list of the lessor, which was current when the clock read `known_at_s` seconds."""
        if known_at_s - self._current_at_s > MAX_LIST_AGE_S or self._own_name not in listed:
            self._settled_from_s = known_at_s + SETTLING_S
        self._current_at_s = max(self._current_at_s, known_at_s)
        self._listed_at_s.update(dict.fromkeys(listed, known_at_s))
        oldest_s = known_at_s - SETTLING_S
        self._listed_at_s = {
            name: at_s for name, at_s in self._listed_at_s.items() if at_s >= oldest_s
        }
        members = tuple(sorted(self._listed_at_s))
        if members != self._members:
            self._members = members
            self._revision += 1

    def is_settled(self, now_s: float) -> bool:
        """Return whether the lists are current and have been for long enough."""
        return now_s - self._current_at_s <= MAX_LIST_AGE_S and now_s >= self._settled_from_s


class ColdStarts(service.Service):
    """Decides which requests of this instance may be sent to cold servers.

    A server is cold until the warm-up time that it reported has passed. If its service has a
    limit, rendezvous hashing over the live instances chooses a few instances that may use it,
    each for one request per `SEND_INTERVAL_S`.

    Parameters
    ----------
    own_name
        Name of this instance in the lessor's lists.
    limits
        How far requests may exceed the rate that a cold server bears.
    """

    def __init__(
        self,
        service_kernel: kernel.Kernel,
        own_name: str,
        limits: deployment_settings.ColdServerLimits,
    ) -> None:
        self._kernel = service_kernel
        self._own_name = own_name
        self._limits = limits
        self._lock = threading.Lock()
        self._instances = LiveInstances(own_name)
        self._choices: dict[str, _Choice] = {}
        self._sent_at_s: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        service_kernel: kernel.Kernel,
        instance_settings: deployment_settings.DeploymentSettings,
    ) -> ColdStarts:
        """Return the limits of an instance."""
        return cls(service_kernel, instance_settings.name, instance_settings.cold_servers)

    def start(self) -> None:
        """Look up the clock and the directory."""
        self._clock = self._kernel.find(names.CLOCK, clock.Clock)
        self._directory = self._kernel.find(names.DIRECTORY, directory.Directory)

    def stop(self) -> None:
        """Do nothing."""

    @property
    def cold_servers(self) -> int:
        """Number of listed servers that are cold and have a limit."""
        entries = self._directory.servers.by_name.values()
        return sum(self.find_cold_s(entry.server) > 0 for entry in entries)

    def apply_instances(self, listed: tuple[str, ...], known_at_s: float) -> None:
        """Apply the lessor's list of the live instances.

        Parameters
        ----------
        listed
            Names of the instances.
        known_at_s
            Clock reading in seconds at which the list was current.
        """
        if not self._directory.cold_limits:
            return
        with self._lock:
            self._instances.apply(listed, known_at_s)

    def find_cold_s(self, server: deployment.RegisteredServer) -> float:
        """Return the seconds for which a server with a limit may stay cold; 0 for any other."""
        if server.service not in self._directory.cold_limits:
            return 0.0
        entry = self._directory.servers.find(server.incarnation)
        if entry is None:
            return 0.0
        return max(0.0, entry.warm_up.find_left_s(self._clock.read_s()))

    def may_send(self, server: deployment.RegisteredServer) -> bool:
        """Return whether a request may be sent to a server now; takes nothing.

        Parameters
        ----------
        server
            The server as the directory has it now.
        """
        # Most servers are warm, and a request looks at several of them.
        if not server.slow_start_remaining_s:
            return True
        if server.service not in self._directory.cold_limits:
            return True
        if self.find_cold_s(server) <= 0:
            return True
        with self._lock:
            return self._has_permission(server)

    def try_take(self, server: deployment.RegisteredServer) -> bool:
        """Take the permission to send one request to a server now; return whether there is one.

        It is always given for a server that is not cold or has no limit, and never for an
        incarnation that another one has replaced: the warm-up of that one is unknown, or it is the
        later one that would get the request. The caller selects a server again.
        """
        if server.service not in self._directory.cold_limits:
            return True
        listed = self._directory.servers.by_name.get(server.name)
        if listed is not None and listed.server.incarnation != server.incarnation:
            return False
        if self.find_cold_s(server) <= 0:
            return True
        with self._lock:
            if not self._has_permission(server):
                return False
            self._sent_at_s[server.name] = self._clock.read_s()
            return True

    def _has_permission(self, server: deployment.RegisteredServer) -> bool:
        now_s = self._clock.read_s()
        if now_s - self._sent_at_s.get(server.name, -math.inf) < SEND_INTERVAL_S:
            return False
        return self._instances.is_settled(now_s) and self._is_chosen(server)

    def _is_chosen(self, server: deployment.RegisteredServer) -> bool:
        limit = self._directory.cold_limits.get(server.service, 0.0)
        revision = self._instances.revision
        choice = self._choices.get(server.name)
        if choice is not None and (choice.members_revision, choice.limit) == (revision, limit):
            return choice.is_chosen
        ranked = rendezvous.rank_names(server.name, self._instances.members)
        is_chosen = self._own_name in ranked[: self._count_senders(limit)]
        if choice is None or choice.is_chosen != is_chosen:
            logging.info(
                "cold server %s of service %s: this instance %s, %d instances known",
                server.name,
                server.service,
                "may use it" if is_chosen else "must not use it",
                len(ranked),
            )
        self._remember(server.name, _Choice(revision, limit, is_chosen))
        return is_chosen

    def _count_senders(self, limit: float) -> int:
        """Return the number of instances that may use a cold server."""
        bound = limit * self._limits.overshoot + self._limits.slack
        return math.floor(DEALT_FRACTION * bound)

    def _remember(self, name: str, choice: _Choice) -> None:
        listed = self._directory.servers.by_name
        self._choices = {known: row for known, row in self._choices.items() if known in listed}
        self._choices[name] = choice
        oldest_s = self._clock.read_s() - SEND_INTERVAL_S
        self._sent_at_s = {
            known: at_s for known, at_s in self._sent_at_s.items() if at_s >= oldest_s
        }
