"""Encoding of records as entries of the platform's log."""

from __future__ import annotations

import dataclasses
import json
from typing import Any
from typing import Final

from goldcresthall.core import hot_keys
from goldcresthall.core import intents
from goldcresthall.core import move_cancellations
from goldcresthall.core import records
from goldcresthall.core import snapshots
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions

SCHEMA_VERSION: Final = 1

RECORD_TYPES: Final[dict[str, type[records.Record]]] = {
    "preset_published": records.PresetPublished,
    "partitions_moved": records.PartitionsMoved,
    "server_returned": records.ServerReturned,
    "lessors_appointed": records.LessorsAppointed,
    "intent_recorded": intents.IntentRecorded,
    "intent_concluded": intents.IntentConcluded,
    "intents_forgotten": intents.IntentsForgotten,
    "move_cancelled": move_cancellations.MoveCancelled,
    "snapshot_chunk": snapshots.SnapshotChunk,
    "hot_key_moved": hot_keys.HotKeyMoved,
}

_TYPE_NAMES: Final = {kind: name for name, kind in RECORD_TYPES.items()}


def find_type_name(record: records.Record) -> str:
    """Return the type name that the record's entry in the log carries."""
    return _TYPE_NAMES[type(record)]


def encode_record(record: records.Record) -> bytes:
    """Return a record as a log entry."""
    envelope = {
        "type": _TYPE_NAMES[type(record)],
        "version": SCHEMA_VERSION,
        "record": documents.to_json_value(record),
    }
    return json.dumps(envelope, sort_keys=True, separators=(",", ":")).encode()


def decode_record(entry: bytes) -> records.Record:
    """Return the record in a log entry.

    Raises
    ------
    RecordDecodeError
        If the entry is truncated, not JSON or does not match its record type.
    UnknownRecordError
        If this release does not support its type or version.
    """
    envelope = _decode_envelope(entry)
    if envelope.version != SCHEMA_VERSION or envelope.name not in RECORD_TYPES:
        raise exceptions.UnknownRecordError(f"{envelope.name} version {envelope.version}")
    try:
        return documents.decode_json_value(envelope.body, RECORD_TYPES[envelope.name])
    except exceptions.DocumentError as error:
        raise exceptions.RecordDecodeError(exceptions.MalformedReason.BODY, str(error)) from error


@dataclasses.dataclass(frozen=True, slots=True)
class _Envelope:
    name: str
    version: int
    body: Any


def _decode_envelope(entry: bytes) -> _Envelope:
    try:
        plain = json.loads(entry)
    except (ValueError, RecursionError) as error:
        reason = exceptions.MalformedReason.NOT_JSON
        raise exceptions.RecordDecodeError(reason, str(error)) from error
    reason = exceptions.MalformedReason.ENVELOPE
    if not isinstance(plain, dict) or not {"type", "version", "record"} <= plain.keys():
        raise exceptions.RecordDecodeError(reason, "type, version and record are required")
    if type(plain["type"]) is not str or type(plain["version"]) is not int:
        raise exceptions.RecordDecodeError(reason, "type or version has the wrong type")
    return _Envelope(plain["type"], plain["version"], plain["record"])
