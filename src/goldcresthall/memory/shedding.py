"""Decides whose memory is reclaimed when it runs short.

The load condition: callers hold memory with bodies that they do not complete. Holders that send
nothing go first, then those that hold more than the one that asks; the largest of each first.
Complete bodies are no candidates.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Iterable

# A sender on a busy link may pause for some round trips.
SILENT_S: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An incomplete body.

    Attributes
    ----------
    number
        Number of its account in the ledger.
    silent_s
        Seconds since it last grew.
    """

    number: int
    held_bytes: int
    silent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """Memory that is missing.

    Attributes
    ----------
    asker_bytes
        What the one that asks would hold; 0 if it goes before every incomplete body.
    """

    missing_bytes: int
    asker_bytes: int


def choose(candidates: Iterable[Candidate], shortage: Shortage) -> list[Candidate]:
    """Return the bodies to reclaim; none if they would not make up for the shortage."""
    eligible = [
        candidate
        for candidate in candidates
        if candidate.silent_s >= SILENT_S or candidate.held_bytes > shortage.asker_bytes
    ]
    eligible.sort(key=lambda each: (each.silent_s < SILENT_S, -each.held_bytes, -each.silent_s))
    chosen = []
    missing_bytes = shortage.missing_bytes
    for candidate in eligible:
        if missing_bytes <= 0:
            break
        chosen.append(candidate)
        missing_bytes -= candidate.held_bytes
    return chosen if missing_bytes <= 0 else []
