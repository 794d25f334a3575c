"""The ownership table in the store."""

from __future__ import annotations

import dataclasses
from typing import Final

from absl import logging

from goldcresthall.core import key_ranges
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions
from goldcresthall.store import client

TOPIC: Final = "keyed.goldcresthall-ownership"
KEY: Final = "table"


class UnreadableTableError(Exception):
    """The stored table is not of this release; nothing may be decided on it."""


def encode(table: key_ranges.OwnershipTable) -> bytes:
    """Return a table as it stands in the store."""
    return documents.encode_document(table).encode()


def decode(record: client.KeyedRecord) -> key_ranges.StoredTable:
    """Return the table of a record.

    Raises
    ------
    UnreadableTableError
        If the record is damaged or of another release.
    """
    if record.value is None:
        return key_ranges.StoredTable(record.offset, key_ranges.OwnershipTable())
    try:
        table = documents.decode_document(record.value, key_ranges.OwnershipTable)
    except exceptions.DocumentError as error:
        raise UnreadableTableError(str(error)) from error
    return key_ranges.StoredTable(record.offset, table)


def find_latest(records: tuple[client.KeyedRecord, ...]) -> client.KeyedRecord | None:
    """Return the latest record of the table among records, or none."""
    found = None
    for record in records:
        if record.key == KEY:
            found = record
    return found


def take_over(
    latest: key_ranges.OwnershipTable, own: key_ranges.LessorIdentity, fence: int
) -> key_ranges.OwnershipTable:
    """Return the table by which an instance becomes the lessor.

    All owners stay, under a higher fence: servers that have seen it refuse what an
    earlier lessor still sends. An earlier life of the same instance has ended.
    """
    earlier = latest.predecessors
    if latest.lessor is not None:
        earlier = (*earlier, latest.lessor)
    return key_ranges.OwnershipTable(
        lessor=own,
        term=fence,
        predecessors=tuple(item for item in earlier if item.address != own.address),
        assignments=tuple(dataclasses.replace(item, fence=fence) for item in latest.assignments),
    )


def read(store: client.StoreClient) -> key_ranges.StoredTable | None:
    """Return the table and the last offset of its topic; none if it cannot be read."""
    outcome = store.read_newest(TOPIC)
    if isinstance(outcome, client.StoreFailed):
        return None
    record = find_latest(outcome.records)
    if record is None:
        return key_ranges.StoredTable(outcome.end_offset - 1, key_ranges.OwnershipTable())
    try:
        stored = decode(record)
    except UnreadableTableError as error:
        logging.warning("ownership table unreadable, step decode: %s", error)
        return None
    return key_ranges.StoredTable(outcome.end_offset - 1, stored.table)
