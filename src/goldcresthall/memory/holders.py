"""Who holds memory in the ledger, and how much of it each kind of holder may fill."""

from __future__ import annotations

import dataclasses
import functools
from typing import Final

# Heads, small bodies and rejections.
SMALL_BYTES: Final = 131_072
# Uploads of 360 KB and downloads of 540 KB are ordinary.
ORDINARY_BYTES: Final = 1_048_576
ORDINARY_SHARE: Final = 7 / 8
LARGE_SHARE: Final = 3 / 4
PIPELINED_SHARE: Final = 1 / 2


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHolder:
    """A request; until it is complete, its memory can be reclaimed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PipelinedHolder:
    """A request behind another one of its connection, which can wait for that one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHolder:
    """The body of a response, until it is written to the caller."""


HolderKind = RequestHolder | PipelinedHolder | ResponseHolder


@functools.singledispatch
def find_share(kind: HolderKind, size_bytes: int) -> float:
    """Return up to which share of all memory a holder of some size may take more."""
    return _find_share_by_size(size_bytes)


@find_share.register
def _(kind: PipelinedHolder, size_bytes: int) -> float:
    return min(PIPELINED_SHARE, _find_share_by_size(size_bytes))


@functools.singledispatch
def goes_first(kind: HolderKind) -> bool:
    """Return whether a holder may have the memory of every incomplete body, and waits for it."""
    return False


@goes_first.register
def _(kind: ResponseHolder) -> bool:
    # The request was run, so that its caller may not send it again.
    return True


def _find_share_by_size(size_bytes: int) -> float:
    if size_bytes <= SMALL_BYTES:
        return 1.0
    return ORDINARY_SHARE if size_bytes <= ORDINARY_BYTES else LARGE_SHARE
