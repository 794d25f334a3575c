"""Kinds of request target, and the selection of a server for each kind."""

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
from goldcresthall.gateway import restrictions
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import waiting
from goldcresthall.ranges import owners
from goldcresthall.ranges import reports

NO_SERVER_RETRY_AFTER_S = 0.5
NO_OWNER_RETRY_AFTER_S = 0.5
BUSY_RETRY_AFTER_S = 0.5
MAX_OWNER_DRAIN_FRACTION = 0.25
MAX_OUTSTANDING_PER_SLOT = 5
MAX_LOAD_PER_SLOT = 4
MAX_CAPACITY_WAIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTarget:
    """A request that only the owner of a key may run."""

    service: str
    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """A request that any server of a service may run."""

    service: str


Target = KeyTarget | PoolTarget


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No server is usable at present.

    Attributes
    ----------
    wait
        How a request may wait if candidates exist, but all are at their limit of requests.
    is_final
        Whether to refuse the request at once, because no wait would help it.
    max_wait_s
        Seconds since its arrival for which a request may wait for another owner.
    """

    refused: outcomes.Refused
    wait: waiting.CapacityWait | None = None
    is_final: bool = False
    max_wait_s: float = math.inf


def create_target(
    configuration: deployment.Configuration, service: str, key: str, path: str
) -> Target:
    """Return the target of a request for a service.

    A request for a keyed service that has no valid key gets one from a hash of its path.
    """
    if service not in configuration.keyed_services:
        return PoolTarget(service)
    if key.isascii() and key.isdigit() and int(key) <= key_ranges.LAST_KEY:
        return KeyTarget(service, int(key))
    return KeyTarget(service, zlib.crc32(path.encode()) % key_ranges.KEY_COUNT)


def create_backend_server(server: deployment.RegisteredServer) -> preset.BackendServer:
    """Return a registered server in the form that dispatches use."""
    return preset.BackendServer(
        name=server.name,
        address=server.address,
        failure_domain=server.failure_domain,
        draining=server.draining,
    )


@functools.singledispatch
def count_request(target: Target, counter: owners.Owners) -> None:
    """Count one request for its target's key, if it has one."""
    raise NotImplementedError(type(target).__name__)


@count_request.register
def _(target: KeyTarget, counter: owners.Owners) -> None:
    counter.count(target.service, target.key)


@count_request.register
def _(target: PoolTarget, counter: owners.Owners) -> None:
    del target, counter


class ServerFinder:
    """Finds the server for the next attempt, by the kind of target."""

    def __init__(
        self,
        *,
        server_directory: directory.Directory,
        key_owners: owners.Owners,
        server_estimates: estimates.Estimates,
        failure_domain: str,
        drain_s: float,
        instance_counter: reports.InstanceCounter,
        server_restrictions: restrictions.Restrictions,
    ) -> None:
        self.directory = server_directory
        self.owners = key_owners
        self.estimates = server_estimates
        self.failure_domain = failure_domain
        self.drain_s = drain_s
        self.restrictions = server_restrictions
        self._instance_counter = instance_counter
        self._divided: dict[str, selection.Candidates] = {}

    def has_capacity(self, server: deployment.RegisteredServer, target_in_s: float) -> bool:
        """Return whether a server has capacity for another request from this instance.

        This instance's share of the server's queue must not be used up, and the server's
        total load must be below its limit. A request takes a place in the server's queue only
        if it can still meet its latency target from there: a longer queue would make all
        requests behind it late without a higher throughput.

        Parameters
        ----------
        target_in_s
            Seconds until the request's latency target; negative once it has passed.
        """
        limit = math.ceil(
            MAX_OUTSTANDING_PER_SLOT * server.slots / self._instance_counter.live_instances
        )
        estimate = self.estimates.find(server)
        load = estimate.find_load(self.directory.read_s())
        if estimate.outstanding >= max(1, limit):
            return False
        if load < server.slots:
            return True
        response_time_s = estimate.find_response_time_s(load, server.slots)
        return load < MAX_LOAD_PER_SLOT * server.slots and response_time_s <= target_in_s

    def find_pause_s(self, server: deployment.RegisteredServer) -> float:
        """Return the seconds for which a server wants no request; not positive if it does."""
        return self.estimates.find(server).paused_until_s - self.directory.read_s()

    def divide(self, service: str) -> selection.Candidates:
        """Return the servers of a service, divided by failure domain."""
        entries = self.directory.servers.by_service.get(service, ())
        divided = self._divided.get(service)
        if divided is None or divided.entries is not entries:
            divided = selection.Candidates.divide(entries, self.failure_domain)
            self._divided[service] = divided
        return divided

    def create_wait(
        self, queue: str, servers: tuple[deployment.RegisteredServer, ...], target_in_s: float
    ) -> waiting.CapacityWait:
        """Return how a request may wait for capacity at busy servers.

        This instance's share of what the servers can process until the target bounds the
        number of requests that wait. More would be held and then refused, or answered late.
        """
        times_s = [self.estimates.find(server).service_time_s for server in servers]
        service_time_s = sum(times_s) / len(times_s)
        usable_s = max(0.0, min(target_in_s, MAX_CAPACITY_WAIT_S) - service_time_s)
        slots = sum(server.slots for server in servers)
        share = slots / max(1, self._instance_counter.live_instances)
        return waiting.CapacityWait(queue, round(share * usable_s / service_time_s), service_time_s)

    def find(
        self,
        target: Target,
        tried: frozenset[str],
        generator: random.Random,
        target_in_s: float = math.inf,
    ) -> deployment.RegisteredServer | Unavailable:
        """Return the server for the next attempt, or why none is usable.

        Parameters
        ----------
        target_in_s
            Seconds until the request's latency target; negative once it has passed.
        """
        refused = self.restrictions.refuse_service(target.service)
        if refused is not None:
            return Unavailable(refused, is_final=True)
        return _find_server(target, self, tried, generator, target_in_s)


@functools.singledispatch
def _find_server(
    target: Target,
    finder: ServerFinder,
    tried: frozenset[str],
    generator: random.Random,
    target_in_s: float,
) -> deployment.RegisteredServer | Unavailable:
    raise NotImplementedError(type(target).__name__)


@_find_server.register
def _(
    target: PoolTarget,
    finder: ServerFinder,
    tried: frozenset[str],
    generator: random.Random,
    target_in_s: float,
) -> deployment.RegisteredServer | Unavailable:
    now_s = finder.directory.read_s()
    divided = finder.divide(target.service)
    is_restricted = finder.restrictions.restricts(target.service)

    def is_usable(entry: server_lists.DirectoryEntry) -> bool:
        return is_candidate(entry) and finder.has_capacity(entry.server, target_in_s)

    def is_candidate(entry: server_lists.DirectoryEntry) -> bool:
        return (
            _is_candidate(entry, tried)
            and finder.find_pause_s(entry.server) <= 0
            and (not is_restricted or finder.restrictions.allows(entry.server))
        )

    def is_preferred(entry: server_lists.DirectoryEntry) -> bool:
        estimate = finder.estimates.find(entry.server)
        return estimate.deprioritized_until_s <= now_s and is_usable(entry)

    sample = selection.draw_sample(divided, is_preferred, generator)
    sample = sample or selection.draw_sample(divided, is_usable, generator)
    if sample:
        return selection.select_server(
            sample, finder.estimates, finder.failure_domain, now_s, generator
        )
    candidates = [entry for entry in divided.entries if is_candidate(entry)]
    if candidates:
        servers = tuple(entry.server for entry in candidates)
        wait = finder.create_wait(target.service, servers, target_in_s)
        return _refuse_busy(target, f"{len(candidates)} servers are", wait)
    left = tuple(entry.server for entry in divided.entries if _is_candidate(entry, tried))
    refused = finder.restrictions.refuse_servers(left) if is_restricted else None
    if refused is not None:
        return Unavailable(refused, is_final=True)
    paused = [server for server in left if finder.restrictions.allows(server)]
    if paused:
        return _refuse_paused(target, min(map(finder.find_pause_s, paused)))
    return Unavailable(
        outcomes.Refused(
            outcomes.RefusalReason.NO_SERVER_AVAILABLE,
            outcomes.Step.CHOOSE_SERVER,
            target.service,
            retry_after_s=NO_SERVER_RETRY_AFTER_S,
        )
    )


@_find_server.register
def _(
    target: KeyTarget,
    finder: ServerFinder,
    tried: frozenset[str],
    generator: random.Random,
    target_in_s: float,
) -> deployment.RegisteredServer | Unavailable:
    range_owner = finder.owners.find(target.service, target.key)
    if range_owner is None or not range_owner.ready:
        return _refuse_no_owner(target, "the key has no ready owner")
    entry = finder.directory.servers.find(range_owner.owner)
    if entry is None:
        return _refuse_no_owner(target, f"{range_owner.owner.name} is not registered")
    if _exceeds_drain_time(entry, finder):
        return _refuse_no_owner(target, f"{range_owner.owner.name} is draining")
    refused = finder.restrictions.refuse_owner(entry)
    if refused is not None:
        return Unavailable(refused, max_wait_s=restrictions.MAX_COLD_WAIT_S)
    pause_s = finder.find_pause_s(entry.server)
    if pause_s > 0:
        return _refuse_paused(target, pause_s)
    if not finder.has_capacity(entry.server, target_in_s):
        wait = finder.create_wait(entry.server.name, (entry.server,), target_in_s)
        return _refuse_busy(target, f"{entry.server.name} is", wait)
    return entry.server


def _is_candidate(entry: server_lists.DirectoryEntry, tried: frozenset[str]) -> bool:
    return entry.draining_since_s is None and entry.server.name not in tried


def _exceeds_drain_time(entry: server_lists.DirectoryEntry, finder: ServerFinder) -> bool:
    since_s = entry.draining_since_s
    if since_s is None:
        return False
    return finder.directory.read_s() - since_s > MAX_OWNER_DRAIN_FRACTION * finder.drain_s


def _refuse_busy(target: Target, subject: str, wait: waiting.CapacityWait) -> Unavailable:
    refused = outcomes.Refused(
        outcomes.RefusalReason.QUEUE_FULL,
        outcomes.Step.ADMIT,
        target.service,
        f"{subject} at the limit of requests",
        retry_after_s=BUSY_RETRY_AFTER_S,
    )
    return Unavailable(refused, wait)


def _refuse_paused(target: Target, pause_s: float) -> Unavailable:
    refused = outcomes.Refused(
        outcomes.RefusalReason.SERVER_PAUSED,
        outcomes.Step.CHOOSE_SERVER,
        target.service,
        "all usable servers asked for a pause",
        retry_after_s=pause_s,
    )
    return Unavailable(refused, is_final=True)


def _refuse_no_owner(target: KeyTarget, detail: str) -> Unavailable:
    return Unavailable(
        outcomes.Refused(
            outcomes.RefusalReason.NO_OWNER,
            outcomes.Step.FIND_OWNER,
            target.service,
            detail,
            retry_after_s=NO_OWNER_RETRY_AFTER_S,
        )
    )
