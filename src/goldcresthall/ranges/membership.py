"""Whether the servers of a service have come, before its keys are divided for the first time."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment

STABILIZATION_WINDOW_S = 1.2
MAX_STABILIZATION_WAIT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    incarnations: frozenset[deployment.ServerIncarnation]
    first_at_s: float
    changed_at_s: float


class MembershipMonitor:
    """Watches the servers of each service until no more of them come."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def is_stable(
        self, service: str, incarnations: frozenset[deployment.ServerIncarnation], now_s: float
    ) -> bool:
        """Return whether no server came or went for a while, or the longest wait is over."""
        seen = self._seen.get(service)
        if seen is None:
            seen = _Seen(incarnations, now_s, now_s)
        elif seen.incarnations != incarnations:
            seen = _Seen(incarnations, seen.first_at_s, now_s)
        self._seen[service] = seen
        return (
            now_s - seen.changed_at_s >= STABILIZATION_WINDOW_S
            or now_s - seen.first_at_s >= MAX_STABILIZATION_WAIT_S
        )
