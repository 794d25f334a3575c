"""Planned moves: queued requests that a server's lessor executes after revocation."""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading
from typing import TYPE_CHECKING

from goldcresthall.kernel import names
from goldcresthall.kernel import service
from goldcresthall.ownership import counters
from goldcresthall.replication import replica
from goldcresthall.replication import state as replicated

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import preset
    from goldcresthall.kernel import kernel

MAX_QUEUED_MOVES_PER_SERVER = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """A request to move a partition to another server."""

    partition: replicated.PartitionId
    to_server: str
    reason: str


class MoveRefusalReason(enum.Enum):
    """Reasons for which a move request is refused."""

    NOT_LESSOR = "not_lessor"
    NO_OWNER = "no_owner"
    GRANTS_NOT_CHECKED = "grants_not_checked"
    UNKNOWN_TARGET = "unknown_target"
    QUEUE_FULL = "queue_full"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveQueued:
    """The request is queued; this instance, as the lessor of the owner, executes it."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRefused:
    """The request is refused and has no effect."""

    reason: MoveRefusalReason
    detail: str


MoveSubmission = MoveQueued | MoveRefused


class PlannedMoves(service.Service):
    """Queues requests for moves away from servers whose lessor is this instance.

    Requests for other servers are refused: each lessor plans the moves of its own
    servers, so that no request has to be forwarded.
    """

    def __init__(self, service_kernel: kernel.Kernel, incarnation: identity.Incarnation) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._requests: dict[str, collections.deque[MoveRequest]] = {}

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, incarnation: identity.Incarnation
    ) -> PlannedMoves:
        """Return the planned moves service of an instance."""
        return cls(service_kernel, incarnation)

    def start(self) -> None:
        """Look up the replica and the counters."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._counters = self._kernel.find(names.LEASE_COUNTERS, counters.LeaseCounters)

    def stop(self) -> None:
        """Do nothing; queued requests are dropped."""

    def submit(self, request: MoveRequest) -> MoveSubmission:
        """Queue a request if this instance may execute it; refuse it otherwise."""
        submission = self._check(request, self._replica.state)
        if isinstance(submission, MoveRefused):
            self._counters.refused_moves.labels(submission.reason.value).inc()
            return submission
        with self._lock:
            queued = self._requests.setdefault(submission.server, collections.deque())
            if len(queued) >= MAX_QUEUED_MOVES_PER_SERVER:
                self._counters.refused_moves.labels(MoveRefusalReason.QUEUE_FULL.value).inc()
                return MoveRefused(
                    MoveRefusalReason.QUEUE_FULL,
                    f"{MAX_QUEUED_MOVES_PER_SERVER} move requests are queued already",
                )
            queued.append(request)
        return submission

    def take(self, server: str, limit: int) -> tuple[MoveRequest, ...]:
        """Remove and return up to `limit` requests for a server, oldest first."""
        with self._lock:
            queued = self._requests.get(server)
            if not queued:
                return ()
            return tuple(queued.popleft() for _ in range(min(limit, len(queued))))

    def _check(self, request: MoveRequest, state: replicated.State) -> MoveSubmission:
        owned = state.partitions.get(request.partition)
        policy = _find_policy(request.partition.service, state)
        if owned is None or policy is None:
            return MoveRefused(MoveRefusalReason.NO_OWNER, str(request.partition))
        if not policy.checks_grants:
            return MoveRefused(MoveRefusalReason.GRANTS_NOT_CHECKED, policy.name)
        if policy.find_server(request.to_server) is None or request.to_server == owned.owner:
            return MoveRefused(MoveRefusalReason.UNKNOWN_TARGET, request.to_server)
        server_state = state.servers.get(owned.owner)
        if server_state is None or server_state.lessor != self._incarnation:
            return MoveRefused(MoveRefusalReason.NOT_LESSOR, owned.owner)
        return MoveQueued(owned.owner)


def _find_policy(name: str, state: replicated.State) -> preset.ServicePolicy | None:
    return state.preset_in_force.preset.find_service(name) if state.preset_in_force else None
