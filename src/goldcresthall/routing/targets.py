"""Kinds of target a request may have, and how a server is found for each."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.ownership import lookup
from goldcresthall.replication import state as replicated
from goldcresthall.routing import observations

NO_SERVER_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateServer:
    """The server to try, and the grant to present if the work is keyed."""

    server: preset.BackendServer
    grant: attempts.FencingToken | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTarget:
    """Work that only the owner of a key may do."""

    policy: preset.ServicePolicy
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """Work that any backend server of a service may do.

    Attributes
    ----------
    servers
        Those that do not drain by the preset.
    """

    policy: preset.ServicePolicy
    servers: tuple[CandidateServer, ...]

    @classmethod
    def from_config(cls, policy: preset.ServicePolicy) -> PoolTarget:
        """Return the target of all work of an unkeyed service."""
        servers = (server for server in policy.servers if not server.draining)
        return cls(policy, tuple(CandidateServer(server, None) for server in servers))


Target = KeyTarget | PoolTarget


ServerFinder = Callable[[Target, frozenset[str]], tuple[CandidateServer, ...] | outcomes.Refused]


@functools.singledispatch
def find_servers(
    target: Target,
    state: replicated.State,
    tried: frozenset[str],
    observed: observations.Observations,
) -> tuple[CandidateServer, ...] | outcomes.Refused:
    """Return the servers that may do the work of a target, by the kind of target.

    A server found for a key is its owner and the only one, also if it drains:
    its keys move away by the log, and until then nobody else may serve them.
    """
    raise NotImplementedError(type(target).__name__)


@find_servers.register
def _(
    target: KeyTarget,
    state: replicated.State,
    tried: frozenset[str],
    observed: observations.Observations,
) -> tuple[CandidateServer, ...] | outcomes.Refused:
    owner = lookup.find_key_owner(target.policy, target.key, state)
    if owner.ownership is None:
        return outcomes.Refused(
            outcomes.RefusalReason.NO_OWNER, outcomes.Step.FIND_OWNER, target.policy.name
        )
    server = target.policy.find_server(owner.ownership.owner)
    if server is None:
        return outcomes.Refused(
            outcomes.RefusalReason.NO_OWNER,
            outcomes.Step.FIND_OWNER,
            owner.ownership.owner,
            "the owner is not in the preset in force",
        )
    grant = attempts.FencingToken(owner.partition, owner.ownership.epoch)
    return (CandidateServer(server, grant),)


@find_servers.register
def _(
    target: PoolTarget,
    state: replicated.State,
    tried: frozenset[str],
    observed: observations.Observations,
) -> tuple[CandidateServer, ...] | outcomes.Refused:
    avoided = tried | observed.list_draining()
    if not avoided:
        return target.servers or refuse_unavailable(target)
    untried = tuple(
        candidate for candidate in target.servers if candidate.server.name not in avoided
    )
    return untried or refuse_unavailable(target)


def refuse_unavailable(target: Target) -> outcomes.Refused:
    """Return the refusal of work for which no server may be used now."""
    return outcomes.Refused(
        outcomes.RefusalReason.NO_SERVER_AVAILABLE,
        outcomes.Step.CHOOSE_SERVER,
        target.policy.name,
        retry_after_s=NO_SERVER_RETRY_AFTER_S,
    )
