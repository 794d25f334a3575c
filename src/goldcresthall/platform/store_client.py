"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from urllib import parse

import urllib3
from urllib3 import connection

from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from goldcresthall.platform import exceptions
from goldcresthall.platform import fields
from goldcresthall.platform import names
from goldcresthall.store import client

if TYPE_CHECKING:
    from goldcresthall.core import deployment_settings
    from goldcresthall.core import identity
    from goldcresthall.store import store_metrics

CONNECT_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 1.0
MS_PER_S = 1_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1
POOL_SIZE = 4
# A call returns 1 MiB by default.
MAX_BODY_BYTES = 8 * 1_048_576
# Pages have at most 1 MB; the memory of a machine holds no more of them.
MAX_PAGES = 200
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
NOT_WRITTEN_STATUSES: Final = frozenset({400, 403, 409, 413, 429, 503, 507})
OFFSETS_STRUCT: Final = struct.Struct(">QQ")
LENGTH_STRUCT: Final = struct.Struct(">I")
PARTITION_PARAMETER: Final = "part=0"

# A connection can fail without a reset; keepalive probes then end a long poll on it.
SOCKET_OPTIONS: Final = [
    *connection.HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


class HttpStoreClient(client.StoreClient):
    """Client of the store at one address; it does not retry failed calls.

    Parameters
    ----------
    calls
        Counts the calls.
    """

    def __init__(self, address: identity.Address, calls: store_metrics.StoreMetrics) -> None:
        self._calls = calls
        self._address = address
        self._pool = self._create_pool()

    @classmethod
    def from_config(
        cls,
        instance_settings: deployment_settings.DeploymentSettings,
        calls: store_metrics.StoreMetrics,
    ) -> HttpStoreClient:
        """Return a client of the store of a deployment."""
        return cls(instance_settings.store, calls)

    def start(self) -> None:
        """Do nothing; connections are opened when needed."""

    def stop(self) -> None:
        """Close all connections."""
        self._pool.close()

    def read_newest(self, topic: str) -> client.Records | client.StoreFailed:
        """Return the newest record of each key of a topic, reading all pages.

        The pages are not a consistent snapshot, so the end offset is that of the first
        page. Reading changes from there may return records of later pages again, which
        is harmless.
        """
        records: list[client.KeyedRecord] = []
        end_offset: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            path = f"{names.NEWEST_PATH}?topic={topic}&{PARTITION_PARAMETER}{after}"
            outcome = self._call(_Call("GET", topic, "read_newest", path))
            if isinstance(outcome, client.StoreFailed):
                return outcome
            if outcome.status == STATUS_NOT_FOUND:
                return client.Records((), 0)
            try:
                page = _decode_newest(outcome)
            except exceptions.MalformedEntryError as error:
                return client.StoreFailed("decode", str(error))
            records.extend(page.records)
            end_offset = page.end_offset if end_offset is None else end_offset
            if page.next_key is None:
                return client.Records(tuple(records), end_offset, end_offset == page.end_offset)
            after = f"&after={parse.quote(page.next_key, safe='', errors='surrogatepass')}"
        return client.StoreFailed("read", f"more than {MAX_PAGES} pages")

    def read_changes(
        self, topic: str, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> client.ReadOutcome:
        """Return the records from an offset on, waiting up to `wait_s` seconds for the first.

        One call returns a limited number of bytes, oldest records first.
        """
        wait = f"&wait_ms={int(wait_s * MS_PER_S)}" if wait_s else ""
        path = f"{names.READ_PATH}?topic={topic}&{PARTITION_PARAMETER}&from={from_offset}{wait}"
        call = _Call("GET", topic, "read_changes", path, wait_s=wait_s, timeout_s=timeout_s)
        outcome = self._call(call)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        if outcome.status == STATUS_GONE:
            return client.RecordsExpired()
        if outcome.status == STATUS_NOT_FOUND:
            if from_offset:
                return client.StoreFailed("read", "status 404 for a topic that had records")
            return client.Records((), 0)
        if outcome.status != STATUS_OK:
            return client.StoreFailed("read", f"status {outcome.status}")
        try:
            return _decode_records(outcome.data, from_offset)
        except exceptions.MalformedEntryError as error:
            return self._reject("decode", str(error))

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Append a record if the topic's end offset is `expected_end`."""
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        path = f"{names.APPEND_PATH}?topic={topic}&{PARTITION_PARAMETER}&at={expected_end}"
        body = LENGTH_STRUCT.pack(len(content)) + content
        outcome = self._call(_Call("POST", topic, "write", path, body))
        if isinstance(outcome, client.StoreFailed):
            return outcome
        try:
            document = fields.parse_object(outcome.data)
            if outcome.status == STATUS_OK:
                return self._confirm_write(_read_offset(document, "offset"), expected_end)
            if outcome.status == STATUS_PRECONDITION_FAILED:
                return self._report_conflict(_read_offset(document, "end_offset"), expected_end)
        except exceptions.MalformedEntryError as error:
            if outcome.status not in NOT_WRITTEN_STATUSES:
                return client.StoreFailed("decode", str(error))
        if outcome.status in NOT_WRITTEN_STATUSES:
            return client.WriteRefused("write", f"status {outcome.status}")
        return client.StoreFailed("write", f"status {outcome.status}")

    def _confirm_write(self, offset: int, expected_end: int) -> client.WriteOutcome:
        if offset != expected_end:
            return self._reject("write", f"response to a write at {offset}, not {expected_end}")
        return client.Written(offset)

    def _report_conflict(self, end_offset: int, expected_end: int) -> client.WriteOutcome:
        if end_offset == expected_end:
            return self._reject("write", f"conflict at the expected end {end_offset}")
        return client.OffsetConflict(end_offset)

    def _create_pool(self) -> urllib3.HTTPConnectionPool:
        return checked_connections.CheckedPool(
            self._address.host,
            self._address.port,
            maxsize=POOL_SIZE,
            block=False,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def _reject(self, step: str, detail: str) -> client.StoreFailed:
        """Return the failure of a call whose response is for another one.

        The response that is due may follow, so no kept connection is used again.
        """
        rejected, self._pool = self._pool, self._create_pool()
        rejected.close()
        return client.StoreFailed(step, detail)

    def _call(self, call: _Call) -> bounded_bodies.BoundedResponse | client.StoreFailed:
        outcome = self._send(call)
        succeeded = not isinstance(outcome, client.StoreFailed)
        self._calls.count_call(call.topic, call.operation, succeeded=succeeded)
        return outcome

    def _send(self, call: _Call) -> bounded_bodies.BoundedResponse | client.StoreFailed:
        timeout = _find_timeout(call)
        try:
            return bounded_bodies.request(
                self._pool,
                call.method,
                call.path,
                MAX_BODY_BYTES,
                body=call.body or None,
                timeout=timeout,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return client.StoreFailed("connect", str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return client.StoreFailed("receive", f"{type(error).__name__}: {error}")


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """One call to the store.

    Attributes
    ----------
    operation
        Name of the operation for the metrics.
    wait_s
        Seconds for which the store may delay the response.
    timeout_s
        Seconds beyond `wait_s` after which the call fails; `None` for the usual limits.
    """

    method: str
    topic: str
    operation: str
    path: str
    body: bytes = b""
    wait_s: float = 0.0
    timeout_s: float | None = None


def _find_timeout(call: _Call) -> urllib3.Timeout:
    if call.timeout_s is None:
        return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=RESPONSE_TIMEOUT_S + call.wait_s)
    return urllib3.Timeout(total=call.timeout_s + call.wait_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _NewestPage:
    """One page of the newest records.

    Attributes
    ----------
    next_key
        Key after which the next page begins; `None` for the last page.
    """

    records: tuple[client.KeyedRecord, ...]
    end_offset: int
    next_key: str | None


def _decode_newest(response: bounded_bodies.BoundedResponse) -> _NewestPage:
    if response.status != STATUS_OK:
        raise exceptions.MalformedEntryError(f"status {response.status}")
    document = fields.parse_object(response.data)
    # `items` is a list of records here; other calls use the name differently.
    items = fields.read_list(document, "items")
    records = tuple(_decode_item(item) for item in items)
    return _NewestPage(
        records=records,
        end_offset=_read_offset(document, "end_offset"),
        next_key=records[-1].key if records and document.get("has_more") is True else None,
    )


def _decode_item(item: dict[str, Any]) -> client.KeyedRecord:
    key = item.get("key")
    if not isinstance(key, str):
        raise exceptions.MalformedEntryError("key: must be a string")
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (ValueError, TypeError) as error:
        raise exceptions.MalformedEntryError(f"value: {error}") from error
    return client.KeyedRecord(key, value, _read_offset(item, "offset"))


def _read_offset(document: dict[str, Any], name: str) -> int:
    return fields.read_count(document, name, maximum=fields.MAX_OFFSET)


def _decode_records(data: bytes, from_offset: int) -> client.Records:
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
    if end_offset > log_end:
        detail = f"records up to {end_offset} of a log that ends at {log_end}"
        raise exceptions.MalformedEntryError(detail)
    return client.Records(tuple(records), end_offset, end_offset >= log_end)


def _decode_record(content: bytes, offset: int) -> client.KeyedRecord:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", errors="replace")
    value = content[1 + size :]
    return client.KeyedRecord(key, value or None, offset)
