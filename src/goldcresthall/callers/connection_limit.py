"""Decides which connection is closed when the limit on callers' connections is reached.

The load condition: callers open connections that they do not use. Connections that never carried
a complete request go first, the longest silent one of each kind first. A connection whose request
is being served is never closed.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

_Key = TypeVar("_Key")


@dataclasses.dataclass(frozen=True, slots=True)
class Activity:
    """What a connection is used for.

    Attributes
    ----------
    is_serving
        Whether a response is pending.
    has_served
        Whether it has carried a complete request.
    silent_s
        Seconds since the caller last sent something.
    """

    is_serving: bool
    has_served: bool
    silent_s: float


def choose(activities: Iterable[tuple[_Key, Activity]]) -> _Key | None:
    """Return the key of the connection to close, or `None` if all are serving."""
    candidates = [(key, activity) for key, activity in activities if not activity.is_serving]
    if not candidates:
        return None
    key, _ = max(candidates, key=lambda each: (not each[1].has_served, each[1].silent_s))
    return key
