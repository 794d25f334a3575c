"""Encoding of log records as entries of the platform's log."""

from __future__ import annotations

import json
from typing import Final

from goldcresthall.core import cancellations
from goldcresthall.core import hot_keys
from goldcresthall.core import records
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions

SCHEMA_VERSION: Final = 1

RECORD_TYPES: Final[dict[str, type[records.Record]]] = {
    "preset_published": records.PresetPublished,
    "partitions_moved": records.PartitionsMoved,
    "server_returned": records.ServerReturned,
    "lessors_appointed": records.LessorsAppointed,
    "hot_key_moved": hot_keys.HotKeyMoved,
    "move_cancelled": cancellations.MoveCancelled,
}

_NAMES: Final = {kind: name for name, kind in RECORD_TYPES.items()}


def encode_record(record: records.Record) -> bytes:
    """Return a record as one entry of the log."""
    envelope = {
        "type": _NAMES[type(record)],
        "version": SCHEMA_VERSION,
        "record": documents.to_plain(record),
    }
    return json.dumps(envelope, sort_keys=True, separators=(",", ":")).encode()


def decode_record(entry: bytes) -> records.Record:
    """Return the record of one entry of the log.

    Raises
    ------
    RecordDecodeError
        If the entry is truncated, not JSON or not of the shape of its type.
    UnknownRecordError
        If its type or version is not known to this release.
    """
    try:
        envelope = json.loads(entry)
        name = envelope["type"]
        version = envelope["version"]
        body = envelope["record"]
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.RecordDecodeError(str(error)) from error
    if version != SCHEMA_VERSION or name not in RECORD_TYPES:
        raise exceptions.UnknownRecordError(f"{name} version {version}")
    try:
        return documents.decode_plain(body, RECORD_TYPES[name])
    except exceptions.DocumentError as error:
        raise exceptions.RecordDecodeError(str(error)) from error
