"""Counting of requests per key, by the kind of target."""

from __future__ import annotations

import functools

from goldcresthall.ownership import heat
from goldcresthall.ownership import rendezvous
from goldcresthall.routing import targets


@functools.singledispatch
def count_request(target: targets.Target, counter: heat.HeatCounter) -> None:
    """Count one request for its key and partition; a pool target has neither."""
    raise NotImplementedError(type(target).__name__)


@count_request.register
def _(target: targets.KeyTarget, counter: heat.HeatCounter) -> None:
    partition = rendezvous.find_partition(target.key, target.policy.partitions)
    counter.count(target.policy, partition, target.key)


@count_request.register
def _(target: targets.PoolTarget, counter: heat.HeatCounter) -> None:
    del target, counter
