"""The table of an instance's last term, kept over a return of the store from a copy."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.ranges import ownership_tables
from goldcresthall.store import positions

if TYPE_CHECKING:
    from goldcresthall.ranges import lessor_context


@dataclasses.dataclass(frozen=True, slots=True)
class RetainedTable:
    """The table of a term that ended because the store came back from a copy.

    Attributes
    ----------
    authority_ends_at_s
        Clock reading in seconds at which the authority of the term ends. Another lessor moves no
        range that has an owner before that.
    """

    table: key_ranges.OwnershipTable
    authority_ends_at_s: float

    def restore(
        self,
        context: lessor_context.LessorContext,
        own: key_ranges.LessorIdentity,
        copied: key_ranges.StoredTable,
    ) -> key_ranges.StoredTable:
        """Return the table to write in place of a copy, without the owners if it is too late.

        Another lessor can have moved a range that has an owner only after the end of the authority,
        and any change after the read of the copy would prevent the write.
        """
        is_known = context.clock.read_s() < self.authority_ends_at_s
        return create_from_copy(context, own, copied, self.table if is_known else None)


def create_from_copy(
    context: lessor_context.LessorContext,
    own: key_ranges.LessorIdentity,
    copied: key_ranges.StoredTable,
    known: key_ranges.OwnershipTable | None,
) -> key_ranges.StoredTable:
    """Return the table to write in place of a copy, with the owners that are known."""
    configuration = context.directory.configuration
    services = () if configuration is None else configuration.keyed_services
    position = copied.offset + 1
    logging.warning(
        "ownership table is from a copy of the store, step take over: at %s, written in term %s; "
        "ranges known %d, all other keys wait until no earlier grant can last",
        positions.describe(position),
        positions.describe(copied.table.term),
        0 if known is None else len(known.assignments),
    )
    table = ownership_tables.take_over_copy(copied.table, own, position, services, known)
    return key_ranges.StoredTable(position, table)


class TableMemory:
    """Keeps a retained table until it is used or must not be used any more.

    Safe for use by several tasks.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._retained: RetainedTable | None = None
        self._is_in_use = False

    @property
    def is_empty(self) -> bool:
        """Whether no table is kept."""
        return self._retained is None

    def keep(self, retained: RetainedTable | None) -> None:
        """Keep the table of a term that has ended."""
        with self._lock:
            self._retained = retained

    def begin_use(self) -> RetainedTable | None:
        """Return the table for a takeover; it cannot be dropped until the use ends."""
        with self._lock:
            self._is_in_use = self._retained is not None
            return self._retained

    def end_use(self) -> None:
        """Record that a takeover has ended."""
        with self._lock:
            self._is_in_use = False

    def drop(self) -> bool:
        """Drop the table for another lessor, which may move ranges then.

        Returns
        -------
        bool
            `False` if a takeover uses the table now.
        """
        with self._lock:
            if self._is_in_use:
                return False
            self._retained = None
            return True
