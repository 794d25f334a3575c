"""Kinds of target a request may have, and how a server is found for each."""

from __future__ import annotations

import dataclasses
import functools
import random

from goldcresthall.core import attempts
from goldcresthall.core import outcomes
from goldcresthall.core import preset
from goldcresthall.ownership import heat
from goldcresthall.ownership import lookup
from goldcresthall.ownership import rendezvous
from goldcresthall.replication import state as replicated


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTarget:
    """Work that only the owner of a key may do."""

    policy: preset.ServicePolicy
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """Work that any backend server of a service may do."""

    policy: preset.ServicePolicy


Target = KeyTarget | PoolTarget


@dataclasses.dataclass(frozen=True, slots=True)
class FoundServer:
    """The server to try, and the grant to present if the work is keyed."""

    server: preset.BackendServer
    grant: attempts.PresentedGrant | None


@functools.singledispatch
def count_request(target: Target, counter: heat.HeatCounter) -> None:
    """Count one request towards the heat of its key, if its target has one."""
    raise NotImplementedError(type(target).__name__)


@count_request.register
def _(target: KeyTarget, counter: heat.HeatCounter) -> None:
    partition = rendezvous.find_partition(target.key, target.policy.partitions)
    counter.count(target.policy, partition, target.key)


@count_request.register
def _(target: PoolTarget, counter: heat.HeatCounter) -> None:
    del target, counter


@functools.singledispatch
def find_server(
    target: Target, state: replicated.State, tried: frozenset[str], generator: random.Random
) -> FoundServer | outcomes.Refused:
    """Return the server to try next for a target, by the kind of target."""
    raise NotImplementedError(type(target).__name__)


@find_server.register
def _(
    target: KeyTarget, state: replicated.State, tried: frozenset[str], generator: random.Random
) -> FoundServer | outcomes.Refused:
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
    return FoundServer(server, attempts.PresentedGrant(owner.partition, owner.ownership.epoch))


@find_server.register
def _(
    target: PoolTarget, state: replicated.State, tried: frozenset[str], generator: random.Random
) -> FoundServer | outcomes.Refused:
    usable = [server for server in target.policy.servers if not server.draining]
    untried = [server for server in usable if server.name not in tried]
    if not untried:
        return outcomes.Refused(
            outcomes.RefusalReason.NO_SERVER_AVAILABLE,
            outcomes.Step.CHOOSE_SERVER,
            target.policy.name,
        )
    return FoundServer(generator.choice(untried), None)
