"""Encoding, reading and takeover of the ownership table in the store."""

from __future__ import annotations

import dataclasses
from typing import Final

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall.store import client
from goldcresthall.store import positions

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
