"""When a refused caller should come back: when room is expected, spread by priority.

Load condition: many requests are refused at the same time. With one constant for all, they came
back together and were refused together again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import outcomes

if TYPE_CHECKING:
    import random

# Clients wait at most this part of the time that they have left.
HONOURED_FRACTION = 1 / 3
# A share is computed anew with each report, each 0.5 s.
SHARE_UPDATE_S = 0.5
MAX_OVERLOAD_S = 5.0
QUEUE_DRAIN_PER_WORK = 2.0
MOVE_S = 0.2
CONFIGURATION_S = 0.4
REGISTRATION_S = 1.0
LIST_READ_S = 0.3
OTHER_INSTANCE_S = 0.05
MIN_SPREAD_S = 0.1
SPREAD_FRACTION = 0.5
# Each priority starts later by this part of the spread, up to the limit.
PRIORITY_STEP_FRACTION = 0.5
MAX_PRIORITY_STEPS = 4

FIXED_EXPECTATIONS_S: Final = {
    outcomes.RefusalReason.NO_OWNER: MOVE_S,
    outcomes.RefusalReason.NOT_OWNER: MOVE_S,
    outcomes.RefusalReason.NO_PRESET: CONFIGURATION_S,
    outcomes.RefusalReason.NO_SERVER_AVAILABLE: REGISTRATION_S,
    outcomes.RefusalReason.LIST_OUTDATED: LIST_READ_S,
    outcomes.RefusalReason.CONNECT_FAILED: REGISTRATION_S,
    outcomes.RefusalReason.SHUTTING_DOWN: OTHER_INSTANCE_S,
}

# A retry of these would be refused again.
PERMANENT: Final = frozenset(
    {
        outcomes.RefusalReason.MALFORMED_REQUEST,
        outcomes.RefusalReason.REQUEST_TOO_LARGE,
        outcomes.RefusalReason.UNKNOWN_ROUTE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """What is known of a refused request and of when there will be room for it.

    Attributes
    ----------
    share
        Share of the requests for its range that the range's owner can serve.
    work_s
        Expected work of the request in seconds.
    remaining_s
        Seconds until the caller's deadline.
    room_in_s
        Seconds until there is room, if that is known: the end of a server's pause, of an owner's
        lease or of a warm-up; `None` if it must be estimated.
    """

    reason: outcomes.RefusalReason
    priority: int
    share: float = 1.0
    work_s: float
    remaining_s: float
    room_in_s: float | None = None


def find_retry_after_s(refusal: Refusal, generator: random.Random) -> float:
    """Return the seconds after which to retry a refused request.

    The value is never before room is expected. If room is expected within the time that clients
    wait, the spread is kept within that time too, so that all of it is honoured.
    """
    room_in_s = find_room_s(refusal)
    spread_s = max(MIN_SPREAD_S, SPREAD_FRACTION * room_in_s)
    steps = PRIORITY_STEP_FRACTION * min(max(0, refusal.priority), MAX_PRIORITY_STEPS)
    latest_s = room_in_s + (1.0 + PRIORITY_STEP_FRACTION * MAX_PRIORITY_STEPS) * spread_s
    honoured_s = HONOURED_FRACTION * refusal.remaining_s
    scale = 1.0
    if room_in_s + MIN_SPREAD_S < honoured_s < latest_s:
        scale = (honoured_s - room_in_s) / (latest_s - room_in_s)
    return room_in_s + scale * spread_s * (steps + generator.random())


def find_room_s(refusal: Refusal) -> float:
    """Return the seconds until there is expected to be room for a refused request."""
    if refusal.room_in_s is not None:
        return max(0.0, refusal.room_in_s)
    if refusal.reason is outcomes.RefusalReason.OVERLOADED:
        return min(MAX_OVERLOAD_S, SHARE_UPDATE_S / max(refusal.share, 0.01))
    fixed_s = FIXED_EXPECTATIONS_S.get(refusal.reason)
    if fixed_s is not None:
        return fixed_s
    return QUEUE_DRAIN_PER_WORK * refusal.work_s
