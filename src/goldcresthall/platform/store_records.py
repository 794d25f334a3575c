"""Decoding of the store's records, whose offsets become positions."""

from __future__ import annotations

import base64
import dataclasses
import struct
from typing import Any
from typing import Final

from goldcresthall.platform import exceptions
from goldcresthall.platform import fields
from goldcresthall.store import client
from goldcresthall.store import positions

STATUS_OK = 200
OFFSETS_STRUCT: Final = struct.Struct(">QQ")
LENGTH_STRUCT: Final = struct.Struct(">I")


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A complete response of the store, and the era in which it was given."""

    status: int
    data: bytes
    era: int

    def read_position(self, name: str) -> int:
        """Return the position of the offset in a field of a JSON response.

        Raises
        ------
        MalformedEntryError
            If there is no such field.
        """
        return positions.create(self.era, _read_offset(fields.parse_object(self.data), name))


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """One page of the newest records.

    Attributes
    ----------
    next_key
        Key after which the next page begins; `None` for the last page.
    """

    records: tuple[client.KeyedRecord, ...]
    end_offset: int
    next_key: str | None


def decode_newest(answer: StoreAnswer) -> NewestPage:
    """Decode a page of the newest records of each key.

    Raises
    ------
    MalformedEntryError
        If the response is no such page.
    """
    if answer.status != STATUS_OK:
        raise exceptions.MalformedEntryError(f"status {answer.status}")
    document = fields.parse_object(answer.data)
    # `items` is a list of records here; other calls use the name differently.
    items = fields.read_list(document, "items")
    records = tuple(_decode_item(item, answer.era) for item in items)
    return NewestPage(
        records=records,
        end_offset=positions.create(answer.era, _read_offset(document, "end_offset")),
        next_key=records[-1].key if records and document.get("has_more") is True else None,
    )


def _decode_item(item: dict[str, Any], era: int) -> client.KeyedRecord:
    key = item.get("key")
    if not isinstance(key, str):
        raise exceptions.MalformedEntryError("key: must be a string")
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (ValueError, TypeError) as error:
        raise exceptions.MalformedEntryError(f"value: {error}") from error
    return client.KeyedRecord(key, value, positions.create(era, _read_offset(item, "offset")))


def _read_offset(document: dict[str, Any], name: str) -> int:
    return fields.read_count(document, name, maximum=positions.MAX_OFFSET)


def decode_changes(data: bytes, from_offset: int) -> client.Records:
    """Decode the records from a position on.

    Raises
    ------
    MalformedEntryError
        If a record is truncated, or there are more than the log can have.
    """
    if len(data) < OFFSETS_STRUCT.size:
        raise exceptions.MalformedEntryError("the offsets are truncated")
    log_end, _first_retained = OFFSETS_STRUCT.unpack_from(data)
    position = OFFSETS_STRUCT.size
    records: list[client.KeyedRecord] = []
    while position < len(data):
        if position + LENGTH_STRUCT.size > len(data):
            raise exceptions.MalformedEntryError("a record is truncated")
        (length,) = LENGTH_STRUCT.unpack_from(data, position)
        begin = position + LENGTH_STRUCT.size
        position = begin + length
        if position > len(data):
            raise exceptions.MalformedEntryError("a record is truncated")
        records.append(_decode_record(data[begin:position], from_offset + len(records)))
    end_offset = from_offset + len(records)
    read_to = positions.find_offset(end_offset)
    if read_to > log_end:
        detail = f"records up to {read_to} of a log that ends at {log_end}"
        raise exceptions.MalformedEntryError(detail)
    return client.Records(tuple(records), end_offset, read_to >= log_end)


def _decode_record(content: bytes, offset: int) -> client.KeyedRecord:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", errors="replace")
    value = content[1 + size :]
    return client.KeyedRecord(key, value or None, offset)
