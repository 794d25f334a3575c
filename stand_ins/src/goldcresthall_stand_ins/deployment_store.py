"""Stand-in for the platform's store: compacted topics with conditional appends."""

from __future__ import annotations

import base64
import dataclasses
import json
import struct
import threading
import time

from goldcresthall_stand_ins import web

LENGTH_PREFIX = struct.Struct(">I")
OFFSETS_HEADER = struct.Struct(">QQ")
MS_PER_S = 1_000
BYTES_PER_KB = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record of a compacted topic; an empty value deletes the key."""

    key: str
    value: bytes

    def encode(self) -> bytes:
        """Return the record with its length prefix, as in a read response."""
        key = self.key.encode()
        content = bytes([len(key)]) + key + self.value
        return LENGTH_PREFIX.pack(len(content)) + content


class StoreStandIn(web.StandIn):
    """Keeps all records in memory; only the list of newest values is compacted.

    Attributes
    ----------
    is_down
        Whether every call is refused with status 503 and has no effect.
    delay_s
        Delay before each call is handled, in seconds.
    call_count
        Number of calls received, refused ones included.
    max_read_bytes
        Bytes of records that one read returns at most, oldest first; one record at least.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, threads: int = 64) -> None:
        super().__init__(host, port, threads)
        self._changed = threading.Condition()
        self._topics: dict[str, list[StoredRecord]] = {}
        self.is_down = False
        self.delay_s = 0.0
        self.call_count = 0
        self.max_read_bytes = 1_024 * BYTES_PER_KB

    def put(self, topic: str, key: str, document: object | None) -> None:
        """Append a JSON document as an operator or a server does; `None` deletes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        self.put_raw(topic, key, value)

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with an arbitrary value."""
        with self._changed:
            self._topics.setdefault(topic, []).append(StoredRecord(key, value))
            self._changed.notify_all()

    def read(self, topic: str, key: str) -> bytes:
        """Return the newest value of a key; empty if the key is absent."""
        with self._changed:
            values = [record.value for record in self._topics.get(topic, []) if record.key == key]
        return values[-1] if values else b""

    def handle_request(self, request: web.Request) -> web.Response:
        """Handle one call of the store's interface."""
        self.call_count += 1
        if self.is_down:
            return web.Response(503, b"")
        if self.delay_s:
            time.sleep(self.delay_s)
        topic = request.query.get("topic", "")
        if request.path == "/api/log-append":
            return self._append(topic, request)
        if request.path == "/api/log-read":
            return self._read(topic, request)
        if request.path == "/api/log-newest":
            return self._list_newest(topic)
        return web.Response(404, b"")

    def _append(self, topic: str, request: web.Request) -> web.Response:
        with self._changed:
            records = self._topics.setdefault(topic, [])
            expected = request.query.get("at")
            if expected is not None and int(expected) != len(records):
                return _create_json_response(412, {"end_offset": len(records)})
            offset = len(records)
            records.extend(_decode_records(request.body))
            self._changed.notify_all()
            return _create_json_response(200, {"offset": offset, "end_offset": len(records)})

    def _read(self, topic: str, request: web.Request) -> web.Response:
        first = int(request.query.get("from", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / MS_PER_S
        with self._changed:
            records = self._topics.setdefault(topic, [])
            self._changed.wait_for(lambda: len(records) > first, wait_s)
            data = _join_until(records[first:], self.max_read_bytes)
            return web.Response(200, OFFSETS_HEADER.pack(len(records), 0) + data)

    def _list_newest(self, topic: str) -> web.Response:
        with self._changed:
            records = self._topics.setdefault(topic, [])
            newest = {record.key: (offset, record) for offset, record in enumerate(records)}
            items = [
                {
                    "key": record.key,
                    "value": base64.b64encode(record.value).decode(),
                    "offset": offset,
                }
                for offset, record in newest.values()
                if record.value
            ]
            end_offset = len(records)
            return _create_json_response(
                200, {"items": items, "has_more": False, "end_offset": end_offset}
            )


def _join_until(records: list[StoredRecord], max_bytes: int) -> bytes:
    """Return the encoded records up to a number of bytes, with the first in any case."""
    data = b""
    for record in records:
        encoded = record.encode()
        if data and len(data) + len(encoded) > max_bytes:
            break
        data += encoded
    return data


def _decode_records(body: bytes) -> list[StoredRecord]:
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH_PREFIX.unpack_from(body, position)
        content = body[position + LENGTH_PREFIX.size : position + LENGTH_PREFIX.size + length]
        key_length = content[0]
        records.append(
            StoredRecord(content[1 : 1 + key_length].decode(), content[1 + key_length :])
        )
        position += LENGTH_PREFIX.size + length
    return records


def _create_json_response(status: int, document: object) -> web.Response:
    return web.Response(
        status, json.dumps(document).encode(), (("Content-Type", "application/json"),)
    )
