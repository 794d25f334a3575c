"""The queue of one service: who goes to a server now, who waits and who is refused."""

from __future__ import annotations

import collections
import dataclasses
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.routing import choice
from goldcresthall.routing import gates
from goldcresthall.routing import targets

if TYPE_CHECKING:
    import random

    from goldcresthall.routing import observations

MOST_OF_ONE_KEY = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """A request's wish for one try.

    Attributes
    ----------
    key
        Whose work it is, for fairness; empty if the service has no keys.
    servers
        Those that may do it.
    long_servers
        Those of them that may do it if it is long.
    remaining_s
        Seconds within which it must be answered.
    """

    target: targets.Target
    key: str
    request_class: preset.RequestClass
    servers: tuple[targets.FoundServer, ...]
    long_servers: tuple[targets.FoundServer, ...]
    tried: frozenset[str]
    remaining_s: float

    @property
    def eligible(self) -> tuple[targets.FoundServer, ...]:
        """Servers that may do this work, by its class."""
        is_long = self.request_class is preset.RequestClass.LONG
        return self.long_servers if is_long else self.servers


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to one server."""

    found: targets.FoundServer
    work: Work


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """The servers that may do the work changed while it waited."""


Admitted = Permit | Overtaken | outcomes.Refused


class Waiter:
    """One request that waits; `wait` ends when it is let through or overtaken."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.names = frozenset(found.server.name for found in work.eligible)
        self.result: Permit | Overtaken | None = None
        self._done = threading.Event()

    def finish(self, result: Permit | Overtaken) -> None:
        """End the wait with a result."""
        self.result = result
        self._done.set()

    def wait(self, timeout_s: float) -> None:
        """Sleep until there is a result, or for the timeout."""
        self._done.wait(timeout_s)


class ServiceQueue:
    """The gates and the waiting requests of one service at this instance."""

    def __init__(
        self,
        policy: preset.ServicePolicy,
        share: gates.Share,
        observed: observations.Observations,
        generator: random.Random,
    ) -> None:
        self._policy = policy
        self._share = share
        self._observed = observed
        self._generator = generator
        self._lock = threading.Lock()
        self._gates: dict[str, gates.Gate] = {}
        self._waiters: list[Waiter] = []
        self._outstanding_of_keys: collections.Counter[str] = collections.Counter()

    @property
    def length(self) -> int:
        """Requests that wait."""
        return len(self._waiters)

    @property
    def outstanding(self) -> int:
        """Requests that are at servers."""
        with self._lock:
            return sum(gate.outstanding for gate in self._gates.values())

    def configure(self, policy: preset.ServicePolicy, share: gates.Share) -> None:
        """Adopt another policy and share; idle gates of servers that left are dropped."""
        kept = {server.name for server in policy.servers}
        with self._lock:
            self._policy = policy
            self._share = share
            for name, gate in list(self._gates.items()):
                if name not in kept and not gate.outstanding:
                    del self._gates[name]
                gate.change_share(share)
            for name in list(self._gates):
                self._let_through(name)

    def find_limit(self, server: str) -> int:
        """Return how many requests may be at a server at a time."""
        with self._lock:
            return self._find_gate(server).limit

    def ask(self, work: Work) -> Permit | Waiter | outcomes.Refused:
        """Return a permit at once, a place in the queue, or a refusal at once."""
        with self._lock:
            permit = self._find_permit(work)
            if permit is not None:
                return permit
            refusal = self._find_refusal(work)
            if refusal is not None:
                return refusal
            waiter = Waiter(work)
            self._waiters.append(waiter)
            return waiter

    def find_patience_s(self, work: Work) -> float:
        """Return the seconds for which a wait makes sense: a try must fit in after it."""
        names = tuple(found.server.name for found in work.eligible)
        return max(0.0, work.remaining_s - self._observed.find_least_average_s(names))

    def give_up(self, waiter: Waiter) -> Permit | Overtaken | None:
        """Take a waiter out of the queue; return the result that came just before."""
        with self._lock:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            return waiter.result

    def release(self, permit: Permit, attempt: attempts.Attempt, duration_s: float) -> None:
        """End a try; whoever waits for its server longest is let through."""
        with self._lock:
            gate = self._find_gate(permit.found.server.name)
            gate.give_back(permit.work.request_class)
            gate.adapt(attempt, permit.work.request_class, duration_s, wanted=bool(self._waiters))
            self._outstanding_of_keys[permit.work.key] -= 1
            if not self._outstanding_of_keys[permit.work.key]:
                del self._outstanding_of_keys[permit.work.key]
            self._let_through(permit.found.server.name)

    def overtake(self, find_servers: targets.ServerFinder) -> None:
        """Send away the waiters whose servers have changed, to look again."""
        with self._lock:
            for waiter in list(self._waiters):
                if find_servers(waiter.work.target, waiter.work.tried) != waiter.work.servers:
                    self._waiters.remove(waiter)
                    waiter.finish(Overtaken())

    def _find_gate(self, server: str) -> gates.Gate:
        gate = self._gates.get(server)
        if gate is None:
            gate = self._gates[server] = gates.Gate(self._share)
        return gate

    def _find_permit(self, work: Work) -> Permit | outcomes.Refused | None:
        """Return a permit, a refusal if no server may be used, or none if all are busy."""
        usable = self._list_usable(work)
        if not usable:
            return targets.refuse_unavailable(work.target)
        free = [
            found
            for found in usable
            if self._find_gate(found.server.name).has_room(work.request_class)
        ]
        chosen = choice.choose(free, self._observed, self._generator)
        if chosen is None:
            return None
        self._find_gate(chosen.server.name).take(work.request_class)
        self._outstanding_of_keys[work.key] += 1
        return Permit(chosen, work)

    def _list_usable(self, work: Work) -> tuple[targets.FoundServer, ...]:
        blocked = self._observed.list_blocked()
        if not blocked or isinstance(work.target, targets.KeyTarget):
            return work.eligible
        for servers in (work.eligible, work.servers):
            usable = tuple(found for found in servers if found.server.name not in blocked)
            if usable:
                return usable
        return ()

    def _find_refusal(self, work: Work) -> outcomes.Refused | None:
        names = frozenset(found.server.name for found in work.eligible)
        rivals = [waiter.work for waiter in self._waiters if names & waiter.names]
        wait_s = self._estimate_wait_s(work, len(rivals))
        if wait_s > work.remaining_s:
            return self._refuse(outcomes.RefusalReason.DEADLINE_TOO_SHORT, wait_s)
        of_same_key = sum(bool(work.key) and rival.key == work.key for rival in rivals)
        is_full = len(self._waiters) >= self._policy.queue_limit
        if is_full or of_same_key >= MOST_OF_ONE_KEY * self._policy.queue_limit:
            return self._refuse(outcomes.RefusalReason.QUEUE_FULL, wait_s)
        return None

    def _estimate_wait_s(self, work: Work, ahead: int) -> float:
        names = tuple(found.server.name for found in work.eligible)
        capacity = sum(self._find_gate(name).limit for name in names)
        average_s = self._observed.find_least_average_s(names)
        return average_s * ((ahead + 1) / capacity + 1)

    def _refuse(self, reason: outcomes.RefusalReason, wait_s: float) -> outcomes.Refused:
        return outcomes.Refused(
            reason, outcomes.Step.ADMIT, self._policy.name, retry_after_s=wait_s
        )

    def _let_through(self, server: str) -> None:
        """Give a server's free places to waiters, first to keys with least at servers."""
        gate = self._find_gate(server)
        while self._waiters:
            fitting = [
                waiter
                for waiter in self._waiters
                if server in waiter.names and gate.has_room(waiter.work.request_class)
            ]
            if not fitting:
                return
            waiter = min(fitting, key=lambda item: self._outstanding_of_keys[item.work.key])
            permit = self._find_permit(waiter.work)
            if not isinstance(permit, Permit):
                return
            self._waiters.remove(waiter)
            waiter.finish(permit)
