"""Stabilization of a service's membership before the first assignment of its keys."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import deployment

STABILIZATION_WINDOW_S = 1.2
MAX_STABILIZATION_WAIT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ObservedServers:
    incarnations: frozenset[deployment.ServerIncarnation]
    first_seen_at_s: float
    changed_at_s: float


class MembershipMonitor:
    """Tracks the servers that may be assigned keys, until each service's set is stable."""

    def __init__(self) -> None:
        self._observed: dict[str, _ObservedServers] = {}

    def is_stable(
        self, service: str, incarnations: frozenset[deployment.ServerIncarnation], now_s: float
    ) -> bool:
        """Return whether the set of servers was unchanged for `STABILIZATION_WINDOW_S`.

        It also counts as stable `MAX_STABILIZATION_WAIT_S` after the first call.
        """
        observed = self._observed.get(service)
        if observed is None:
            observed = _ObservedServers(incarnations, now_s, now_s)
        elif observed.incarnations != incarnations:
            observed = _ObservedServers(incarnations, observed.first_seen_at_s, now_s)
        self._observed[service] = observed
        return (
            now_s - observed.changed_at_s >= STABILIZATION_WINDOW_S
            or now_s - observed.first_seen_at_s >= MAX_STABILIZATION_WAIT_S
        )
