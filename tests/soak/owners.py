"""Checks of the owners of keys: one holder, rising tokens, and no key given on under work."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from goldcresthall_stand_ins import deployment_server

ONE_OWNER = "one owner per key"
RISING_TOKENS = "a key moves with a higher token"
NO_WORK_ELSEWHERE = "no key is given on under running work"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerFinding:
    """A violation of one of the three rules."""

    invariant: str
    detail: str


class OwnerCheck:
    """Judges each accepted grant by the state and the history of the other servers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._accepted: dict[str, dict[range, set[int]]] = {}

    def judge(
        self,
        grant: deployment_server.AcceptedGrant,
        others: Sequence[deployment_server.DeploymentServer],
        *,
        may_be_late: bool,
    ) -> tuple[OwnerFinding, ...]:
        """Record a grant and return the rules that it violates.

        Parameters
        ----------
        others
            The other servers that run.
        may_be_late
            Whether the sender may have been resumed, or a link may have healed, just before.
        """
        higher = self._record(grant)
        if may_be_late:
            return ()
        holders = [other.name for other in others if other.holds_any(grant.keys)]
        # Rule: grants that are taken late do not count for running work.
        working = [
            other.name for other in others if not grant.is_late and other.works_on_any(grant.keys)
        ]
        subject = f"{grant.server.name} with {grant.keys} under token {grant.fence}"
        checks = (
            (ONE_OWNER, holders, "held by"),
            (RISING_TOKENS, higher, "had before by"),
            (NO_WORK_ELSEWHERE, working, "worked on by"),
        )
        return tuple(
            OwnerFinding(invariant, f"{subject}, {relation} {names}")
            for invariant, names, relation in checks
            if names
        )

    def _record(self, grant: deployment_server.AcceptedGrant) -> list[str]:
        """Record a grant; return the other servers that had a key under no lower a token."""
        with self._lock:
            own = self._accepted.setdefault(grant.server.name, {})
            repeated = [keys for keys, fences in own.items() if grant.fence in fences]
            first_taken = set(grant.keys).difference(*repeated)
            own.setdefault(grant.keys, set()).add(grant.fence)
            return [
                f"{name} under {max(fences)}"
                for name, accepted in self._accepted.items()
                if name != grant.server.name
                for keys, fences in accepted.items()
                if max(fences) >= grant.fence and not first_taken.isdisjoint(keys)
            ]
