"""Decides which connection is closed when the limit on callers' connections is reached.

The load condition: callers open connections that they do not use. Connections whose responses are
not read go first, then those that never carried a complete request, the longest silent one of each
kind first. A connection whose request is being served is never closed.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

# A caller on a slow link may take nothing for some seconds.
UNREAD_S: Final = 5.0

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
    unread_s
        Seconds for which the caller has taken nothing of a response that is being sent.
    """

    is_serving: bool
    has_served: bool
    silent_s: float
    unread_s: float = 0.0

    @property
    def is_unread(self) -> bool:
        """Whether the caller does not read a response."""
        return self.unread_s >= UNREAD_S


def choose(activities: Iterable[tuple[_Key, Activity]]) -> _Key | None:
    """Return the key of the connection to close, or `None` if all are serving."""
    candidates = [
        (key, activity)
        for key, activity in activities
        if not activity.is_serving or activity.is_unread
    ]
    if not candidates:
        return None
    key, _ = max(candidates, key=lambda each: _rank(each[1]))
    return key


def _rank(activity: Activity) -> tuple[bool, bool, float]:
    return activity.is_unread, not activity.has_served, activity.silent_s
