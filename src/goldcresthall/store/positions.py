"""Positions in a topic of the store: an offset in one era of the store.

The store can come back from a copy. What was written since the copy is gone then, offsets go back
and are given out again, and the era rises by one. A position is one integer with the era in its
high bits, so that any position of a later era is above all earlier ones. Positions serve as
versions, terms and fencing tokens; without an era, or in era 0, they equal the offsets.
"""

from __future__ import annotations

# Positions of the first 8,192 eras are below 2^53, so that doubles tell tokens apart.
OFFSET_BITS = 40
MAX_OFFSET = (1 << OFFSET_BITS) - 1
# All positions fit into a signed 64-bit integer, as peers exchange them.
MAX_ERA = (1 << (63 - OFFSET_BITS)) - 1


def create(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << OFFSET_BITS) + offset


def find_era(position: int) -> int:
    """Return the era of a position; 0 for one before all positions."""
    return max(position, 0) >> OFFSET_BITS


def find_offset(position: int) -> int:
    """Return the offset of a position in its era."""
    return max(position, 0) & MAX_OFFSET


def describe(position: int) -> str:
    """Return a position for log lines: its offset, behind the era if there is one."""
    era = find_era(position)
    return f"{era}:{find_offset(position)}" if era else str(position)
