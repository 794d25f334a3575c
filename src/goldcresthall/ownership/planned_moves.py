"""Planned moves: wishes that a server's lessor carries out with revocation first."""

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

QUEUE_LIMIT = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """A partition that should go to another server, and why."""

    partition: replicated.PartitionId
    to_server: str
    reason: str


class MoveRefusalReason(enum.Enum):
    """Why a wish is not taken."""

    NOT_LESSOR = "not_lessor"
    NO_OWNER = "no_owner"
    GRANTS_NOT_CHECKED = "grants_not_checked"
    UNKNOWN_TARGET = "unknown_target"
    QUEUE_FULL = "queue_full"


@dataclasses.dataclass(frozen=True, slots=True)
class MoveQueued:
    """The owner's lessor, this instance, will carry the move out."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRefused:
    """The wish was not taken; nothing will move."""

    reason: MoveRefusalReason
    detail: str


MoveSubmission = MoveQueued | MoveRefused


class PlannedMoves(service.Service):
    """Takes wishes for moves away from servers whose lessor this instance is.

    Another instance's servers are left to that instance, so that each decides for
    its own and no wish has to travel.
    """

    def __init__(self, service_kernel: kernel.Kernel, incarnation: identity.Incarnation) -> None:
        self._kernel = service_kernel
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._wishes: dict[str, collections.deque[MoveRequest]] = {}

    @classmethod
    def from_config(
        cls, service_kernel: kernel.Kernel, incarnation: identity.Incarnation
    ) -> PlannedMoves:
        """Return the service of an instance."""
        return cls(service_kernel, incarnation)

    def start(self) -> None:
        """Find the replica."""
        self._replica = self._kernel.find(names.REPLICA, replica.Replica)
        self._counters = self._kernel.find(names.LEASE_COUNTERS, counters.LeaseCounters)

    def stop(self) -> None:
        """Do nothing; wishes not yet carried out are forgotten."""

    def submit(self, wish: MoveRequest) -> MoveSubmission:
        """Queue a wish with the owner's lessor, or say why not."""
        answer = self._check(wish, self._replica.state)
        if isinstance(answer, MoveRefused):
            self._counters.refused_moves.labels(answer.reason.value).inc()
            return answer
        with self._lock:
            queued = self._wishes.setdefault(answer.server, collections.deque())
            if len(queued) >= QUEUE_LIMIT:
                self._counters.refused_moves.labels(MoveRefusalReason.QUEUE_FULL.value).inc()
                return MoveRefused(MoveRefusalReason.QUEUE_FULL, f"{QUEUE_LIMIT} wishes wait")
            queued.append(wish)
        return answer

    def take(self, server: str, limit: int) -> tuple[MoveRequest, ...]:
        """Take up to `limit` wishes for moves away from a server, the oldest first."""
        with self._lock:
            queued = self._wishes.get(server)
            if not queued:
                return ()
            return tuple(queued.popleft() for _ in range(min(limit, len(queued))))

    def _check(self, wish: MoveRequest, state: replicated.State) -> MoveSubmission:
        owned = state.partitions.get(wish.partition)
        policy = _find_policy(wish.partition.service, state)
        if owned is None or policy is None:
            return MoveRefused(MoveRefusalReason.NO_OWNER, str(wish.partition))
        if not policy.checks_grants:
            return MoveRefused(MoveRefusalReason.GRANTS_NOT_CHECKED, policy.name)
        if policy.find_server(wish.to_server) is None or wish.to_server == owned.owner:
            return MoveRefused(MoveRefusalReason.UNKNOWN_TARGET, wish.to_server)
        known = state.servers.get(owned.owner)
        if known is None or known.lessor != self._incarnation:
            return MoveRefused(MoveRefusalReason.NOT_LESSOR, owned.owner)
        return MoveQueued(owned.owner)


def _find_policy(name: str, state: replicated.State) -> preset.ServicePolicy | None:
    return state.preset_in_force.preset.find_service(name) if state.preset_in_force else None
