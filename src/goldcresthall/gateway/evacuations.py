"""Failure domains that the operator evacuates."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.store import positions

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.store import topics


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDomains:
    """The failure domains whose servers must get no requests.

    Attributes
    ----------
    position
        Position in the store up to which the operator's requests are known.
    """

    position: int
    failure_domains: frozenset[str]


# The operator writes again what the store lost with a return from a copy. Requests to servers that
# are being emptied would end in errors; an evacuation kept too long only costs their capacity.
KEPT_AFTER_RESTORE_S = 5.0

NO_EVACUATIONS: Final = EvacuatedDomains(-1, frozenset())


class EvacuationReader:
    """Follows the operator's requests for evacuations through the updates of one topic.

    Parameters
    ----------
    find_domain
        Returns the failure domain that a record's key asks to evacuate, `None` for other keys.
    """

    def __init__(self, find_domain: Callable[[str], str | None]) -> None:
        self._find_domain = find_domain
        self._failure_domains: frozenset[str] = frozenset()

    def apply(self, update: topics.TopicUpdate) -> EvacuatedDomains:
        """Return the evacuated failure domains after an update.

        A record without a value ends an evacuation, as does a complete read without the record.
        """
        domains = set() if update.complete else set(self._failure_domains)
        for record in update.changed:
            failure_domain = self._find_domain(record.key)
            if failure_domain is not None:
                (domains.discard if record.value is None else domains.add)(failure_domain)
        self._failure_domains = frozenset(domains)
        return EvacuatedDomains(update.end_offset, self._failure_domains)


class EvacuationState:
    """The latest known evacuations, and since when each is known.

    It never goes back to an earlier position of the store. While the store does not answer, the
    last known state stays in force. When the store comes back from a copy, an evacuation that it
    does not show stays in force for `KEPT_AFTER_RESTORE_S`. Not safe for use by several tasks that
    change it.
    """

    def __init__(self) -> None:
        self._latest = NO_EVACUATIONS
        self._since_s: dict[str, float] = {}
        self._kept: frozenset[str] = frozenset()
        self._kept_until_s = -math.inf

    @property
    def latest(self) -> EvacuatedDomains:
        """The latest known evacuations, as the store shows them."""
        return self._latest

    def find_in_force(self, now_s: float) -> frozenset[str]:
        """Return the failure domains whose servers must get nothing now."""
        if now_s >= self._kept_until_s:
            return self._latest.failure_domains
        return self._latest.failure_domains | self._kept

    def apply(self, evacuated: EvacuatedDomains, now_s: float) -> None:
        """Replace the evacuations unless a later state of the store is known."""
        if evacuated.position <= self._latest.position:
            return
        known = self.find_in_force(now_s)
        if self._is_restored(evacuated) and known:
            self._kept = known
            self._kept_until_s = now_s + KEPT_AFTER_RESTORE_S
            logging.warning(
                "evacuations kept for %.1f s, step discover: the store came back from a copy, "
                "known %d, still there %d",
                KEPT_AFTER_RESTORE_S,
                len(known),
                len(known & evacuated.failure_domains),
            )
        in_force = evacuated.failure_domains | (self._kept if now_s < self._kept_until_s else set())
        for failure_domain in sorted(evacuated.failure_domains - known):
            logging.warning("evacuation of failure domain %s begins, step discover", failure_domain)
        for failure_domain in sorted(known - in_force):
            logging.warning("evacuation of failure domain %s ends, step discover", failure_domain)
        self._since_s = {
            failure_domain: self._since_s.get(failure_domain, now_s) for failure_domain in in_force
        }
        self._latest = evacuated

    def _is_restored(self, evacuated: EvacuatedDomains) -> bool:
        """Return whether the store has come back from a copy since the latest known state."""
        era = positions.find_era(evacuated.position)
        is_later = era > positions.find_era(self._latest.position)
        return self._latest != NO_EVACUATIONS and is_later

    def find_since_s(self, failure_domain: str) -> float | None:
        """Return the clock reading in seconds since which an evacuation is known.

        Returns `None` for a failure domain that is not evacuated.
        """
        return self._since_s.get(failure_domain)
