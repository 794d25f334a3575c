"""Whether a server that may be leaving gets a request, by the kind of target."""

from __future__ import annotations

import functools

from goldcresthall.gateway import server_lists
from goldcresthall.gateway import targets

# The rest of the time is for the release of an owner's ranges and for its last requests.
MAX_OWNER_DRAIN_FRACTION = 0.25


@functools.singledispatch
def may_serve(
    target: targets.Target, entry: server_lists.DirectoryEntry, now_s: float, drain_s: float
) -> bool:
    """Return whether a listed server may get a request, as far as it may be draining.

    Parameters
    ----------
    now_s
        Reading of the clock by which the entry is timed, in seconds.
    drain_s
        Seconds for which a draining server serves requests.
    """
    raise NotImplementedError(type(target).__name__)


@may_serve.register
def _(
    target: targets.PoolTarget, entry: server_lists.DirectoryEntry, now_s: float, drain_s: float
) -> bool:
    del target, now_s, drain_s
    return entry.draining_since_s is None


@may_serve.register
def _(
    target: targets.KeyTarget, entry: server_lists.DirectoryEntry, now_s: float, drain_s: float
) -> bool:
    del target
    since_s = entry.draining_since_s
    return since_s is None or now_s - since_s <= MAX_OWNER_DRAIN_FRACTION * drain_s
