"""Kinds of target of a request, and the lookup of candidate servers for each."""

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
    """A candidate server and, for a keyed request, the grant to present to it."""

    server: preset.BackendServer
    grant: attempts.FencingToken | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTarget:
    """Target of a request that only the owner of its key may run."""

    policy: preset.ServicePolicy
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """Target of a request that any backend server of the service may run.

    Attributes
    ----------
    servers
        Servers that the preset does not mark as draining.
    """

    policy: preset.ServicePolicy
    servers: tuple[CandidateServer, ...]

    @classmethod
    def from_config(cls, policy: preset.ServicePolicy) -> PoolTarget:
        """Return the target shared by all requests of an unkeyed service."""
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
    """Return the candidate servers of a target, by the kind of target.

    The only candidate for a key is its owner, even if it drains: keys change owner
    only through the log, and until then no other server may serve them.
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
    """Return the refusal of a request that has no usable server at present."""
    return outcomes.Refused(
        outcomes.RefusalReason.NO_SERVER_AVAILABLE,
        outcomes.Step.CHOOSE_SERVER,
        target.policy.name,
        retry_after_s=NO_SERVER_RETRY_AFTER_S,
    )
