"""What targets name: the key that is counted and the queue in which requests wait."""

from __future__ import annotations

import functools

from goldcresthall.core import deployment
from goldcresthall.core import key_ranges
from goldcresthall.gateway import targets
from goldcresthall.ranges import owners


@functools.singledispatch
def count_request(target: targets.Target, counter: owners.Owners, work_s: float) -> None:
    """Count one request and its expected work in seconds for its target's key, if it has one."""
    raise NotImplementedError(type(target).__name__)


@count_request.register
def _(target: targets.KeyTarget, counter: owners.Owners, work_s: float) -> None:
    counter.count(target.service, target.key, work_s)


@count_request.register
def _(target: targets.PoolTarget, counter: owners.Owners, work_s: float) -> None:
    del target, counter, work_s


@functools.singledispatch
def find_key(target: targets.Target) -> int:
    """Return the key of a target, or the first one if the service is not keyed."""
    raise NotImplementedError(type(target).__name__)


@find_key.register
def _(target: targets.KeyTarget) -> int:
    return target.key


@find_key.register
def _(target: targets.PoolTarget) -> int:
    return key_ranges.FIRST_KEY


@functools.singledispatch
def find_queue(target: targets.Target, server: deployment.RegisteredServer) -> str:
    """Return the name of the queue in which a request waits for a server."""
    raise NotImplementedError(type(target).__name__)


@find_queue.register
def _(target: targets.KeyTarget, server: deployment.RegisteredServer) -> str:
    return server.name


@find_queue.register
def _(target: targets.PoolTarget, server: deployment.RegisteredServer) -> str:
    return target.service
