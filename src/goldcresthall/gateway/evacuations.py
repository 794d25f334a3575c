"""Failure domains that the operator evacuates."""

from __future__ import annotations

import dataclasses
from typing import Final


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
