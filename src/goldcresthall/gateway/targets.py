"""Kinds of target a request may have, and how a server is found for each."""

from __future__ import annotations

import dataclasses
import functools
import math
import random
import zlib

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.gateway import directory
from goldcresthall.gateway import estimates
from goldcresthall.gateway import selection
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports

NO_SERVER_RETRY_S = 0.5
NO_OWNER_RETRY_S = 0.5
BUSY_RETRY_S = 0.5
DRAIN_FRACTION = 0.25
QUEUED_PER_SLOT = 5
FULL_PER_SLOT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTarget:
    """Work that only the owner of a key may do."""

    service: str
    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """Work that any server of a service may do."""

    service: str


Target = KeyTarget | PoolTarget


@dataclasses.dataclass(frozen=True, slots=True)
class NotNow:
    """No server may be used now.

    Attributes
    ----------
    is_busy
        Whether the server to use has as much as it may get from this instance.
    """

    refused: outcomes.Refused
    is_busy: bool = False


def create_target(
    configuration: deployment.Configuration, service: str, key: str, path: str
) -> Target:
    """Return the target of a request for a service.

    Work for a service divided by key that names no key is spread by its path.
    """
    if service not in configuration.keyed_services:
        return PoolTarget(service)
    if key.isascii() and key.isdigit() and int(key) <= key_ranges.LAST_KEY:
        return KeyTarget(service, int(key))
    return KeyTarget(service, zlib.crc32(path.encode()) % key_ranges.KEY_COUNT)


def describe_server(server: deployment.RegisteredServer) -> preset.BackendServer:
    """Return a server as work is sent to it."""
    return preset.BackendServer(
        name=server.name,
        address=server.address,
        failure_domain=server.failure_domain,
        draining=server.draining,
    )


@functools.singledispatch
def count_request(target: Target, counter: owners.Owners) -> None:
    """Count one request for its key, if its target has one."""
    raise NotImplementedError(type(target).__name__)


@count_request.register
def _(target: KeyTarget, counter: owners.Owners) -> None:
    counter.count(target.service, target.key)


@count_request.register
def _(target: PoolTarget, counter: owners.Owners) -> None:
    del target, counter


class ServerFinder:
    """Finds the server for the next try, by the kind of target."""

    def __init__(
        self,
        *,
        known: directory.Directory,
        owned: owners.Owners,
        seen: estimates.Estimates,
        failure_domain: str,
        drain_s: float,
        counted: reports.InstanceCounter,
    ) -> None:
        self.directory = known
        self.owners = owned
        self.estimates = seen
        self.failure_domain = failure_domain
        self.drain_s = drain_s
        self._counted = counted

    def has_room(self, server: deployment.RegisteredServer) -> bool:
        """Return whether a server takes more from here and its queue is not nearly full."""
        limit = math.ceil(QUEUED_PER_SLOT * server.slots / self._counted.live_instances)
        known = self.estimates.find(server)
        load = known.find_load(self.directory.read_s())
        return known.outstanding < max(1, limit) and load < FULL_PER_SLOT * server.slots

    def find(
        self, target: Target, tried: frozenset[str], generator: random.Random
    ) -> deployment.RegisteredServer | NotNow:
        """Return the server to try next, or why there is none now."""
        return _find_server(target, self, tried, generator)


@functools.singledispatch
def _find_server(
    target: Target, finder: ServerFinder, tried: frozenset[str], generator: random.Random
) -> deployment.RegisteredServer | NotNow:
    raise NotImplementedError(type(target).__name__)


@_find_server.register
def _(
    target: PoolTarget, finder: ServerFinder, tried: frozenset[str], generator: random.Random
) -> deployment.RegisteredServer | NotNow:
    now_s = finder.directory.read_s()
    candidates = [
        listed
        for listed in finder.directory.servers.by_service.get(target.service, ())
        if listed.draining_since_s is None and listed.server.name not in tried
    ]
    with_room = [listed for listed in candidates if finder.has_room(listed.server)]
    chosen = selection.choose(with_room, finder.estimates, finder.failure_domain, now_s, generator)
    if chosen is not None:
        return chosen
    if candidates:
        return _refuse_busy(target, f"{len(candidates)} servers have")
    return NotNow(
        outcomes.Refused(
            outcomes.RefusalReason.NO_SERVER_AVAILABLE,
            outcomes.Step.CHOOSE_SERVER,
            target.service,
            retry_after_s=NO_SERVER_RETRY_S,
        )
    )


@_find_server.register
def _(
    target: KeyTarget, finder: ServerFinder, tried: frozenset[str], generator: random.Random
) -> deployment.RegisteredServer | NotNow:
    owned = finder.owners.find(target.service, target.key)
    if owned is None or not owned.ready:
        return _refuse_ownerless(target, "no server holds the key")
    listed = finder.directory.servers.find(owned.owner)
    if listed is None:
        return _refuse_ownerless(target, f"{owned.owner.name} is gone")
    if _drains_for_long(listed, finder):
        return _refuse_ownerless(target, f"{owned.owner.name} is draining")
    if not finder.has_room(listed.server):
        return _refuse_busy(target, f"{listed.server.name} has")
    return listed.server


def _drains_for_long(listed: directory.Listed, finder: ServerFinder) -> bool:
    since_s = listed.draining_since_s
    if since_s is None:
        return False
    return finder.directory.read_s() - since_s > DRAIN_FRACTION * finder.drain_s


def _refuse_busy(target: Target, subject: str) -> NotNow:
    refused = outcomes.Refused(
        outcomes.RefusalReason.QUEUE_FULL,
        outcomes.Step.ADMIT,
        target.service,
        f"{subject} as much as may be sent from here",
        retry_after_s=BUSY_RETRY_S,
    )
    return NotNow(refused, is_busy=True)


def _refuse_ownerless(target: KeyTarget, detail: str) -> NotNow:
    return NotNow(
        outcomes.Refused(
            outcomes.RefusalReason.NO_OWNER,
            outcomes.Step.FIND_OWNER,
            target.service,
            detail,
            retry_after_s=NO_OWNER_RETRY_S,
        )
    )
