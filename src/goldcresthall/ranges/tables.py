"""The ownership table in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from goldcresthall.core import key_ranges
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
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
