"""Whether the servers of a service have come, before its keys are divided for the first time."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment

QUIET_S = 1.2
LONGEST_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    lives: frozenset[deployment.ServerLife]
    first_at_s: float
    changed_at_s: float


class ServerArrivals:
    """Watches the servers of each service until no more of them come."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def have_settled(
        self, service: str, lives: frozenset[deployment.ServerLife], now_s: float
    ) -> bool:
        """Return whether no server came or went for a while, or the longest wait is over."""
        seen = self._seen.get(service)
        if seen is None:
            seen = _Seen(lives, now_s, now_s)
        elif seen.lives != lives:
            seen = _Seen(lives, seen.first_at_s, now_s)
        self._seen[service] = seen
        return now_s - seen.changed_at_s >= QUIET_S or now_s - seen.first_at_s >= LONGEST_S
