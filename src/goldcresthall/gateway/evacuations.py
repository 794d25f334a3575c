"""Failure domains that the operator evacuates."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable

    from goldcresthall.store import topics


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDomains:
    """The failure domains whose servers must get no requests.

    Attributes
    ----------
    position
        Offset in the store up to which the operator's requests are known.
    """

    position: int
    failure_domains: frozenset[str]


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
    last known state stays in force. Not safe for use by several tasks that change it.
    """

    def __init__(self) -> None:
        self._latest = NO_EVACUATIONS
        self._since_s: dict[str, float] = {}

    @property
    def latest(self) -> EvacuatedDomains:
        """The latest known evacuations."""
        return self._latest

    def apply(self, evacuated: EvacuatedDomains, now_s: float) -> None:
        """Replace the evacuations unless a later state of the store is known."""
        if evacuated.position <= self._latest.position:
            return
        known = self._latest.failure_domains
        for failure_domain in sorted(evacuated.failure_domains - known):
            logging.warning("evacuation of failure domain %s begins, step discover", failure_domain)
        for failure_domain in sorted(known - evacuated.failure_domains):
            logging.warning("evacuation of failure domain %s ends, step discover", failure_domain)
        self._since_s = {
            failure_domain: self._since_s.get(failure_domain, now_s)
            for failure_domain in evacuated.failure_domains
        }
        self._latest = evacuated

    def find_since_s(self, failure_domain: str) -> float | None:
        """Return the clock reading in seconds since which an evacuation is known.

        Returns `None` for a failure domain that is not evacuated.
        """
        return self._since_s.get(failure_domain)
