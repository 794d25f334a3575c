"""Encoding, reading and takeover of the ownership table in the store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Final

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall.store import client
from goldcresthall.store import positions

if TYPE_CHECKING:
    from collections.abc import Iterable

TOPIC: Final = "keyed.goldcresthall-ownership"
KEY: Final = "table"


class UnreadableTableError(Exception):
    """The stored table is damaged or from another release; no decision may be based on it."""


def encode(table: key_ranges.OwnershipTable) -> bytes:
    """Encode a table as it is stored."""
    return documents.encode_document(table).encode()


def decode(record: client.KeyedRecord) -> key_ranges.StoredTable:
    """Decode the table of a record; a deleted record yields an empty table.

    Raises
    ------
    UnreadableTableError
        If the record is damaged or from another release.
    """
    if record.value is None:
        return key_ranges.StoredTable(record.offset, key_ranges.OwnershipTable())
    try:
        table = documents.decode_document(record.value, key_ranges.OwnershipTable)
    except exceptions.DocumentError as error:
        raise UnreadableTableError(str(error)) from error
    return key_ranges.StoredTable(record.offset, table)


def find_latest(records: tuple[client.KeyedRecord, ...]) -> client.KeyedRecord | None:
    """Return the last of the records that holds the table, or `None`."""
    latest = None
    for record in records:
        if record.key == KEY:
            latest = record
    return latest


def create_unread(lessor: key_ranges.LessorIdentity) -> key_ranges.StoredTable:
    """Return the place of a table that was not read, of which only the lessor is known."""
    table = key_ranges.OwnershipTable(lessor=lessor)
    return key_ranges.StoredTable(key_ranges.UNREAD_OFFSET, table)


def take_over(
    latest: key_ranges.OwnershipTable, own: key_ranges.LessorIdentity, fence: int
) -> key_ranges.OwnershipTable:
    """Return the table with which an instance takes over as the lessor.

    All owners stay but get a higher fencing token, so that servers that have seen it
    reject commands from earlier lessors. Predecessors at this instance's own address are
    dropped, because earlier incarnations of the instance have ended.
    """
    earlier = latest.predecessors
    if latest.lessor is not None:
        earlier = (*earlier, latest.lessor)
    return key_ranges.OwnershipTable(
        lessor=own,
        term=fence,
        predecessors=tuple(lessor for lessor in earlier if lessor.address != own.address),
        assignments=tuple(
            dataclasses.replace(assignment, fence=fence) for assignment in latest.assignments
        ),
    )


def is_from_copy(stored: key_ranges.StoredTable) -> bool:
    """Return whether a table was written in an earlier era of the store than it was read in.

    Owners may have changed since then, of which the store has lost the records.
    """
    read_in_era = positions.find_era(stored.offset + 1)
    return positions.find_era(stored.table.term) != read_in_era


def is_first(stored: key_ranges.StoredTable) -> bool:
    """Return whether the topic has no record yet, or none any more."""
    return positions.find_offset(stored.offset + 1) == 0


def take_over_copy(
    copied: key_ranges.OwnershipTable,
    own: key_ranges.LessorIdentity,
    fence: int,
    services: Iterable[str],
    retained: key_ranges.OwnershipTable | None,
) -> key_ranges.OwnershipTable:
    """Return the table with which an instance takes over after a return of the store.

    The copy says nothing of the owners. A lessor whose authority lasted until it saw the new era
    knows its own table, of which other lessors can have changed nothing but the ranges without an
    owner. Any other range may be held by a server that is not known.

    Parameters
    ----------
    services
        Names of the keyed services.
    retained
        The table of this instance's own last term, if its authority has lasted until now.
    """
    known = key_ranges.OwnershipTable() if retained is None else retained
    assignments = [dataclasses.replace(assignment, fence=fence) for assignment in known.assignments]
    named = {row.service for row in (*copied.assignments, *known.assignments)}
    for service in sorted(named | set(services)):
        covered = (row.keys for row in known.assignments if row.service == service)
        assignments += [
            key_ranges.RangeAssignment(service, gap, key_ranges.UNKNOWN_SERVER, fence)
            for gap in key_ranges.find_gaps(covered)
        ]
    taken = take_over(copied, own, fence)
    predecessors = dict.fromkeys(
        (*taken.predecessors, *known.predecessors, key_ranges.UNKNOWN_LESSOR)
    )
    return dataclasses.replace(
        taken, predecessors=tuple(predecessors), assignments=tuple(assignments)
    )


def read(store: client.StoreClient) -> key_ranges.StoredTable | None:
    """Return the table with the last offset of its topic, or `None` if it cannot be read."""
    outcome = store.read_newest(TOPIC)
    if isinstance(outcome, client.StoreFailed):
        return None
    record = find_latest(outcome.records)
    if record is None and positions.find_offset(outcome.end_offset) > 0:
        # Without its owners and predecessors, a takeover would free keys that are held.
        logging.warning(
            "ownership table is missing, step read: log ends at %s",
            positions.describe(outcome.end_offset),
        )
        return None
    if record is None:
        return key_ranges.StoredTable(outcome.end_offset - 1, key_ranges.OwnershipTable())
    try:
        stored = decode(record)
    except UnreadableTableError as error:
        logging.warning("cannot decode the ownership table, step decode: %s", error)
        return None
    return key_ranges.StoredTable(outcome.end_offset - 1, stored.table)
