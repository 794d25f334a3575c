"""The queue of one service: admits attempts to its servers, queues them or refuses them."""

from __future__ import annotations

import collections
import dataclasses
import threading
from typing import TYPE_CHECKING

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.routing import concurrency_limiters
from goldcresthall.routing import selection
from goldcresthall.routing import targets

if TYPE_CHECKING:
    import random

    from goldcresthall.routing import observations

MAX_QUEUE_FRACTION_PER_KEY = 0.5  # a hot key must leave room for other keys


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptSpec:
    """One attempt that requests admission.

    Attributes
    ----------
    key
        Key by which the queue is fair; empty if the service is not keyed.
    servers
        Servers that may run the attempt.
    long_servers
        Subset of `servers` for attempts of the long class.
    remaining_s
        Seconds until the deadline of the request.
    """

    target: targets.Target
    key: str
    request_class: preset.RequestClass
    servers: tuple[targets.CandidateServer, ...]
    long_servers: tuple[targets.CandidateServer, ...]
    tried: frozenset[str]
    remaining_s: float

    @property
    def eligible(self) -> tuple[targets.CandidateServer, ...]:
        """Servers that may run this attempt, by its request class."""
        is_long = self.request_class is preset.RequestClass.LONG
        return self.long_servers if is_long else self.servers


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Admission of one attempt at one server; must be released when the attempt ends."""

    candidate: targets.CandidateServer
    spec: AttemptSpec


@dataclasses.dataclass(frozen=True, slots=True)
class CandidatesChanged:
    """The candidate servers changed while the attempt waited; look them up again."""


AdmissionResult = Permit | CandidatesChanged | outcomes.Refused


class Waiter:
    """One waiting attempt; `wait` returns when it has a result or at the timeout."""

    def __init__(self, spec: AttemptSpec) -> None:
        self.spec = spec
        self.server_names = frozenset(candidate.server.name for candidate in spec.eligible)
        self.result: Permit | CandidatesChanged | None = None
        self._done = threading.Event()

    def finish(self, result: Permit | CandidatesChanged) -> None:
        """Set the result and wake the waiting thread."""
        self.result = result
        self._done.set()

    def wait(self, timeout_s: float) -> None:
        """Block until there is a result, at most for the timeout."""
        self._done.wait(timeout_s)


class ServiceQueue:
    """The concurrency limits and the waiting attempts of one service at this instance."""

    def __init__(
        self,
        policy: preset.ServicePolicy,
        share: concurrency_limiters.Share,
        observed: observations.Observations,
        generator: random.Random,
    ) -> None:
        self._policy = policy
        self._share = share
        self._observed = observed
        self._generator = generator
        self._lock = threading.Lock()
        self._limiters: dict[str, concurrency_limiters.ConcurrencyLimiter] = {}
        self._waiters: list[Waiter] = []
        self._outstanding_by_key: collections.Counter[str] = collections.Counter()

    @property
    def length(self) -> int:
        """Number of waiting attempts."""
        return len(self._waiters)

    @property
    def outstanding(self) -> int:
        """Number of requests in flight at servers."""
        with self._lock:
            return sum(limiter.outstanding for limiter in self._limiters.values())

    def configure(self, policy: preset.ServicePolicy, share: concurrency_limiters.Share) -> None:
        """Set the policy and the share; drop idle limiters of removed servers; admit waiters."""
        configured = {server.name for server in policy.servers}
        with self._lock:
            self._policy = policy
            self._share = share
            for name, limiter in list(self._limiters.items()):
                if name not in configured and not limiter.outstanding:
                    del self._limiters[name]
                limiter.set_share(share)
            for name in list(self._limiters):
                self._admit_waiters(name)

    def find_limit(self, server: str) -> int:
        """Return the maximum number of concurrent requests at a server."""
        with self._lock:
            return self._find_limiter(server).limit

    def request_permit(self, spec: AttemptSpec) -> Permit | Waiter | outcomes.Refused:
        """Return a permit, a waiter in the queue, or a refusal, without blocking."""
        with self._lock:
            permit = self._find_permit(spec)
            if permit is not None:
                return permit
            refusal = self._find_refusal(spec)
            if refusal is not None:
                return refusal
            waiter = Waiter(spec)
            self._waiters.append(waiter)
            return waiter

    def find_max_wait_s(self, spec: AttemptSpec) -> float:
        """Return the longest useful wait in seconds; it leaves time for an average attempt."""
        server_names = tuple(candidate.server.name for candidate in spec.eligible)
        return max(0.0, spec.remaining_s - self._observed.find_min_average_s(server_names))

    def find_completion_s(self, spec: AttemptSpec) -> float:
        """Return the expected seconds until an attempt would complete behind all waiters."""
        with self._lock:
            return self._estimate_completion_s(spec, len(self._waiters))

    def cancel(self, waiter: Waiter) -> Permit | CandidatesChanged | None:
        """Remove a waiter; return its result if it got one before it was removed."""
        with self._lock:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            return waiter.result

    def release(self, permit: Permit, attempt: attempts.Attempt, duration_s: float) -> None:
        """Release the slot of a finished attempt and admit waiters to its server."""
        with self._lock:
            limiter = self._find_limiter(permit.candidate.server.name)
            limiter.release(permit.spec.request_class)
            limiter.adapt(
                attempt, permit.spec.request_class, duration_s, has_waiters=bool(self._waiters)
            )
            self._outstanding_by_key[permit.spec.key] -= 1
            if not self._outstanding_by_key[permit.spec.key]:
                del self._outstanding_by_key[permit.spec.key]
            self._admit_waiters(permit.candidate.server.name)

    def release_stale_waiters(self, find_servers: targets.ServerFinder) -> None:
        """Release the waiters whose candidate servers have changed, to look them up again."""
        with self._lock:
            for waiter in list(self._waiters):
                if find_servers(waiter.spec.target, waiter.spec.tried) != waiter.spec.servers:
                    self._waiters.remove(waiter)
                    waiter.finish(CandidatesChanged())

    def _find_limiter(self, server: str) -> concurrency_limiters.ConcurrencyLimiter:
        limiter = self._limiters.get(server)
        if limiter is None:
            limiter = self._limiters[server] = concurrency_limiters.ConcurrencyLimiter(self._share)
        return limiter

    def _find_permit(self, spec: AttemptSpec) -> Permit | outcomes.Refused | None:
        """Return a permit, a refusal if no server is usable, or `None` if all are busy."""
        usable = self._list_usable(spec)
        if not usable:
            return targets.refuse_unavailable(spec.target)
        free = [
            candidate
            for candidate in usable
            if self._find_limiter(candidate.server.name).has_capacity(spec.request_class)
        ]
        chosen = selection.select_server(free, self._observed, self._generator)
        if chosen is None:
            return None
        self._find_limiter(chosen.server.name).acquire(spec.request_class)
        self._outstanding_by_key[spec.key] += 1
        return Permit(chosen, spec)

    def _list_usable(self, spec: AttemptSpec) -> tuple[targets.CandidateServer, ...]:
        blocked = self._observed.list_blocked()
        if not blocked or isinstance(spec.target, targets.KeyTarget):
            return spec.eligible
        for servers in (spec.eligible, spec.servers):
            usable = tuple(
                candidate for candidate in servers if candidate.server.name not in blocked
            )
            if usable:
                return usable
        return ()

    def _find_refusal(self, spec: AttemptSpec) -> outcomes.Refused | None:
        server_names = frozenset(candidate.server.name for candidate in spec.eligible)
        competing = [waiter.spec for waiter in self._waiters if server_names & waiter.server_names]
        completion_s = self._estimate_completion_s(spec, len(competing))
        if completion_s > spec.remaining_s:
            return self._refuse(outcomes.RefusalReason.DEADLINE_TOO_SHORT, completion_s)
        of_same_key = sum(bool(spec.key) and other.key == spec.key for other in competing)
        is_full = len(self._waiters) >= self._policy.queue_limit
        if is_full or of_same_key >= MAX_QUEUE_FRACTION_PER_KEY * self._policy.queue_limit:
            return self._refuse(outcomes.RefusalReason.QUEUE_FULL, completion_s)
        return None

    def _estimate_completion_s(self, spec: AttemptSpec, ahead: int) -> float:
        """Return the expected seconds until an attempt behind `ahead` waiters has completed."""
        server_names = tuple(candidate.server.name for candidate in spec.eligible)
        capacity = sum(self._find_limiter(name).limit for name in server_names)
        average_s = self._observed.find_min_average_s(server_names)
        return average_s * ((ahead + 1) / capacity + 1)

    def _refuse(self, reason: outcomes.RefusalReason, retry_after_s: float) -> outcomes.Refused:
        return outcomes.Refused(
            reason, outcomes.Step.ADMIT, self._policy.name, retry_after_s=retry_after_s
        )

    def _admit_waiters(self, server: str) -> None:
        """Give free slots of a server to waiters.

        Waiters whose key has the fewest requests in flight come first, and the longest
        waiting among equals, so that a hot key does not delay other keys.
        """
        limiter = self._find_limiter(server)
        without_permit: set[Waiter] = set()
        while True:
            admissible = [
                waiter
                for waiter in self._waiters
                if waiter not in without_permit
                and server in waiter.server_names
                and limiter.has_capacity(waiter.spec.request_class)
            ]
            if not admissible:
                return
            waiter = min(admissible, key=lambda item: self._outstanding_by_key[item.spec.key])
            permit = self._find_permit(waiter.spec)
            if not isinstance(permit, Permit):
                without_permit.add(waiter)
                continue
            self._waiters.remove(waiter)
            waiter.finish(permit)
