"""Limits on the size of the ownership table, which is one record of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.ranges import range_joins

if TYPE_CHECKING:
    from goldcresthall.core import key_ranges

# Fractions of the largest record. The rest is for takeovers, which add themselves to the table and
# must succeed whatever its size.
SPLIT_TABLE_FRACTION = 0.5
MAX_TABLE_FRACTION = 0.75
LOG_INTERVAL_S = 5


class TableSizes:
    """Decides by its size whether a table may be written, and whether ranges may be split.

    Parameters
    ----------
    max_record_bytes
        Size of the largest record that the store takes.
    written_bytes
        Size of the table that was written last.
    """

    def __init__(self, max_record_bytes: int, written_bytes: int) -> None:
        self._max_record_bytes = max_record_bytes
        self._written_bytes = written_bytes
        self._may_split = True

    @property
    def may_split(self) -> bool:
        """Whether the latest table that was to be written leaves room for splits of ranges."""
        return self._may_split

    def record_written(self, size_bytes: int) -> None:
        """Record the size of a table that was written."""
        self._written_bytes = size_bytes

    def fits(
        self,
        stored: key_ranges.OwnershipTable,
        planned: key_ranges.OwnershipTable,
        size_bytes: int,
    ) -> bool:
        """Return whether a table may be written: one that is small enough, or that shrinks.

        Beyond that, ranges that are to be joined may need new tokens and owners first.

        Parameters
        ----------
        stored
            The table that it replaces.
        size_bytes
            Size of the planned table.
        """
        max_bytes = self._max_record_bytes
        self._may_split = size_bytes <= SPLIT_TABLE_FRACTION * max_bytes
        if size_bytes <= MAX_TABLE_FRACTION * max_bytes or size_bytes < self._written_bytes:
            return True
        if size_bytes <= max_bytes and range_joins.is_consolidation(stored, planned):
            return True
        logging.log_every_n_seconds(
            logging.ERROR,
            "ownership table not written, step encode: %d bytes",
            LOG_INTERVAL_S,
            size_bytes,
        )
        return False
