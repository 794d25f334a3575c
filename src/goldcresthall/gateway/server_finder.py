"""Selection of the server for the next attempt of a request, by the kind of its target."""

from __future__ import annotations

import dataclasses
import functools
import math
import random
from typing import TYPE_CHECKING

from goldcresthall.core import deployment
from goldcresthall.core import outcomes
from goldcresthall.gateway import apertures
from goldcresthall.gateway import directory
from goldcresthall.gateway import leaving_servers
from goldcresthall.gateway import restrictions
from goldcresthall.gateway import selection
from goldcresthall.gateway import server_capacity
from goldcresthall.gateway import server_lists
from goldcresthall.gateway import server_refusals
from goldcresthall.gateway import targets
from goldcresthall.gateway import waiting

if TYPE_CHECKING:
    from goldcresthall.admission import server_circuits
    from goldcresthall.gateway import estimates
    from goldcresthall.load import work_model
    from goldcresthall.ranges import owners
    from goldcresthall.ranges import reports

# With 58 instances and 15 places at a server the share is 0.26 requests.
MIN_SHARE_WITHOUT_CIRCUITS = 2


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
        Seconds for which a request may wait for another owner; `None` for the time of a usual move.
    awaits_list
        Whether a request may wait until the list of servers is renewed.
    """

    refused: outcomes.Refused
    wait: waiting.CapacityWait | None = None
    is_final: bool = False
    max_wait_s: float | None = None
    awaits_list: bool = False


class ServerFinder(server_capacity.ServerCapacity):
    """Finds the server for the next attempt, by the kind of target."""

    def __init__(
        self,
        *,
        server_directory: directory.Directory,
        key_owners: owners.Owners,
        server_estimates: estimates.Estimates,
        model: work_model.WorkModel,
        selector: selection.Selector,
        instance_apertures: apertures.Apertures,
        drain_s: float,
        instance_counter: reports.InstanceCounter,
        server_restrictions: restrictions.Restrictions,
        circuits: server_circuits.ServerCircuits,
    ) -> None:
        super().__init__(server_directory, server_estimates, model, instance_counter)
        self.owners = key_owners
        self.selector = selector
        self._apertures = instance_apertures
        self.drain_s = drain_s
        self.restrictions = server_restrictions
        self.circuits = circuits

    def find_circuit(self, server: deployment.RegisteredServer) -> server_circuits.Circuit | None:
        """Return a server's open circuit, or `None` if it is closed or circuits don't act.

        They act only where the instances are so many that the share of each in the server's
        room is below `MIN_SHARE_WITHOUT_CIRCUITS` requests. An instance with a larger share sees
        for itself whether the server answers, and an error would cost too many requests.
        """
        room = server_capacity.MAX_OUTSTANDING_PER_SLOT * server.slots
        if room >= MIN_SHARE_WITHOUT_CIRCUITS * self.instances:
            return None
        return self.circuits.find_open(server.incarnation)

    def try_probe(
        self, target: targets.Target, server: deployment.RegisteredServer, tried: frozenset[str]
    ) -> bool:
        """Return whether a request may be sent now to a server, as a probe if need be.

        A pool uses a suspected server only if there is no other one; that takes no probe.

        Called right before sending, so that no request takes a probe that it doesn't use. A
        request that tried the server before was the evidence itself and may try again.
        """
        if isinstance(target, targets.PoolTarget) or server.name in tried:
            return True
        if self.find_circuit(server) is None:
            return True
        return self.circuits.try_probe(server.incarnation, self.instances)

    def may_send(self, target: targets.Target, server: deployment.RegisteredServer) -> bool:
        """Return whether a request may still be sent to the server that was found for it.

        Called right before the first byte, since the connection took time.
        """
        entry = self.directory.servers.find(server.incarnation)
        if entry is None or not self.directory.is_list_usable:
            return False
        if not self.directory.may_be_used(server.name):
            return False
        return leaving_servers.may_serve(target, entry, self.directory.read_s(), self.drain_s)

    def is_listed_candidate(
        self, entry: server_lists.DirectoryEntry, tried: frozenset[str]
    ) -> bool:
        """Return whether a server of a pool may get a request by its entry and earlier attempts."""
        name = entry.server.name
        is_leaving = entry.draining_since_s is not None
        return not is_leaving and name not in tried and self.directory.may_be_used(name)

    def find_view(self, service: str) -> apertures.View:
        """Return the servers of a service, and those of them that this instance uses first."""
        entries = self.directory.servers.by_service.get(service, ())
        return self._apertures.find(service, entries, self.instances)

    def create_busy(
        self,
        service: str,
        servers: tuple[deployment.RegisteredServer, ...],
        queue: str,
        target_in_s: float,
        route: str = "",
    ) -> Unavailable:
        """Return that all usable servers are busy, with the queue in which to wait for them."""
        examined = server_capacity.list_examined(servers)
        room_in_s = min(self.find_queue_s(server, route) for server in examined)
        subject = f"{queue} is" if len(servers) == 1 else f"{len(servers)} servers are"
        refused = server_refusals.refuse_busy(service, subject, room_in_s)
        return Unavailable(refused, self.create_wait(queue, servers, target_in_s, route))

    def create_queued(
        self, queue: str, server: deployment.RegisteredServer, target_in_s: float, route: str = ""
    ) -> Unavailable:
        """Return that a request must wait behind others, although a server has capacity."""
        servers: tuple[deployment.RegisteredServer, ...] = (server,)
        if queue != server.name:
            entries = self.find_view(server.service).everything.entries
            # The list may have become empty since the server was found.
            servers = tuple(entry.server for entry in entries) or servers
        return self.create_busy(server.service, servers, queue, target_in_s, route)

    def find(
        self,
        target: targets.Target,
        tried: frozenset[str],
        generator: random.Random,
        target_in_s: float = math.inf,
        demand: selection.Demand = selection.UNKNOWN_DEMAND,
    ) -> deployment.RegisteredServer | Unavailable:
        """Return the server for the next attempt, or why none is usable.

        Parameters
        ----------
        target_in_s
            Seconds until the request's latency target; negative once it has passed.
        demand
            What the request asks of its server.
        """
        if not self.directory.is_list_usable:
            return Unavailable(server_refusals.refuse_outdated(target.service), awaits_list=True)
        refused = self.restrictions.refuse_service(target.service)
        if refused is not None:
            return Unavailable(refused, is_final=True)
        return _find_server(target, self, tried, generator, target_in_s, demand=demand)


@functools.singledispatch
def _find_server(
    target: targets.Target,
    finder: ServerFinder,
    tried: frozenset[str],
    generator: random.Random,
    target_in_s: float,
    *,
    demand: selection.Demand,
) -> deployment.RegisteredServer | Unavailable:
    raise NotImplementedError(type(target).__name__)


@_find_server.register
def _(
    target: targets.PoolTarget,
    finder: ServerFinder,
    tried: frozenset[str],
    generator: random.Random,
    target_in_s: float,
    *,
    demand: selection.Demand,
) -> deployment.RegisteredServer | Unavailable:
    now_s = finder.directory.read_s()
    view = finder.find_view(target.service)
    is_restricted = finder.restrictions.restricts(target.service)

    known = server_capacity.KnownCapacity(finder, target_in_s, demand)

    def has_room(entry: server_lists.DirectoryEntry) -> bool:
        return known.has_capacity(entry.server)

    def is_candidate(entry: server_lists.DirectoryEntry) -> bool:
        return (
            finder.is_listed_candidate(entry, tried)
            and finder.find_pause_s(entry.server) <= 0
            and (not is_restricted or finder.restrictions.allows(entry.server))
        )

    def is_sound(entry: server_lists.DirectoryEntry) -> bool:
        return is_candidate(entry) and finder.find_circuit(entry.server) is None

    def is_preferred(entry: server_lists.DirectoryEntry) -> bool:
        estimate = finder.estimates.find(entry.server)
        return estimate.deprioritized_until_s <= now_s and is_sound(entry) and has_room(entry)

    everything = view.everything
    sample = finder.selector.draw(view.subset, everything, is_preferred, now_s, generator)
    if not sample:
        # Suspected servers are used only while all others are unusable, not while they are busy.
        sound = [entry for entry in everything.entries if is_sound(entry)]
        candidates = sound or [entry for entry in everything.entries if is_candidate(entry)]
        is_allowed = is_sound if sound else is_candidate
        sample = selection.draw_sample(
            everything, lambda entry: is_allowed(entry) and has_room(entry), generator
        )
    if sample:
        return finder.selector.select(sample, demand, now_s, generator)
    if candidates:
        servers = tuple(entry.server for entry in candidates)
        return finder.create_busy(
            target.service, servers, target.service, target_in_s, demand.route
        )
    return _refuse_unusable(target, finder, tried)


@_find_server.register
def _(
    target: targets.KeyTarget,
    finder: ServerFinder,
    tried: frozenset[str],
    generator: random.Random,
    target_in_s: float,
    *,
    demand: selection.Demand,
) -> deployment.RegisteredServer | Unavailable:
    range_owner = finder.owners.find(target.service, target.key)
    if range_owner is None or not range_owner.ready:
        return _refuse_no_owner(target, "the key has no ready owner")
    entry = finder.directory.servers.find(range_owner.owner)
    if entry is None or not finder.directory.may_be_used(entry.server.name):
        return _refuse_no_owner(target, f"{range_owner.owner.name} is not registered")
    if not leaving_servers.may_serve(target, entry, finder.directory.read_s(), finder.drain_s):
        return _refuse_no_owner(target, f"{range_owner.owner.name} is draining")
    refused = finder.restrictions.refuse_owner(entry)
    if refused is not None:
        return Unavailable(refused, max_wait_s=restrictions.MAX_COLD_WAIT_S)
    pause_s = finder.find_pause_s(entry.server)
    if pause_s > 0:
        return Unavailable(server_refusals.refuse_paused(target.service, pause_s), is_final=True)
    suspected = None if entry.server.name in tried else _check_circuit(target, entry, finder)
    if suspected is not None:
        return suspected
    if not finder.has_capacity(entry.server, target_in_s, demand):
        return finder.create_busy(
            target.service, (entry.server,), entry.server.name, target_in_s, demand.route
        )
    return entry.server


def _refuse_unusable(
    target: targets.PoolTarget, finder: ServerFinder, tried: frozenset[str]
) -> Unavailable:
    """Return the refusal for a service whose servers are all paused, draining or tried."""
    entries = finder.find_view(target.service).everything.entries
    left = tuple(entry.server for entry in entries if finder.is_listed_candidate(entry, tried))
    if finder.restrictions.restricts(target.service):
        refused = finder.restrictions.refuse_servers(left)
        if refused is not None:
            return Unavailable(refused, is_final=True)
    paused = [server for server in left if finder.restrictions.allows(server)]
    if not paused:
        return Unavailable(server_refusals.refuse_no_server(target.service))
    pause_s = min(map(finder.find_pause_s, paused))
    return Unavailable(server_refusals.refuse_paused(target.service, pause_s), is_final=True)


def _check_circuit(
    target: targets.KeyTarget, entry: server_lists.DirectoryEntry, finder: ServerFinder
) -> Unavailable | None:
    """Return why the owner of a key may not get a request that is no probe; `None` if it may."""
    owner = entry.server.incarnation
    circuit = finder.find_circuit(entry.server)
    if circuit is None:
        return None
    if entry.draining_since_s is not None:
        # Its ranges are being moved; the next owner is known sooner than for a failed one.
        return _refuse_no_owner(target, f"{owner.name} is draining and lost")
    if finder.circuits.may_probe(owner, finder.instances):
        return None
    room_in_s = circuit.room_at_s - finder.directory.read_s()
    refused = server_refusals.refuse_suspected(target.service, owner.name, room_in_s)
    return Unavailable(refused, is_final=True)


def _refuse_no_owner(target: targets.KeyTarget, detail: str) -> Unavailable:
    return Unavailable(server_refusals.refuse_no_owner(target.service, detail))
