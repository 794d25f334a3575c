"""HTTP client of the platform's store."""

from __future__ import annotations

import dataclasses
import socket
import struct
from typing import TYPE_CHECKING
from typing import Final
from urllib import parse

import urllib3
from urllib3 import connection

from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from goldcresthall.platform import exceptions
from goldcresthall.platform import names
from goldcresthall.platform import store_eras
from goldcresthall.platform import store_records
from goldcresthall.store import client
from goldcresthall.store import positions

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

    It turns the store's offsets into positions and back. A response of an earlier era than one
    before it is a failure, whatever it says.

    Parameters
    ----------
    calls
        Counts the calls.
    """

    def __init__(self, address: identity.Address, calls: store_metrics.StoreMetrics) -> None:
        self._calls = calls
        self._address = address
        self._eras = store_eras.StoreEras(calls)
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
                return client.Records((), positions.create(outcome.era, 0))
            try:
                page = store_records.decode_newest(outcome)
            except exceptions.MalformedEntryError as error:
                return client.StoreFailed("decode", str(error))
            records.extend(page.records)
            end_offset = page.end_offset if end_offset is None else end_offset
            if positions.find_era(page.end_offset) != positions.find_era(end_offset):
                return client.StoreFailed("read", "pages of two eras")
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
        if positions.find_era(from_offset) < self._eras.latest:
            return client.RecordsExpired()
        first = positions.find_offset(from_offset)
        wait = f"&wait_ms={int(wait_s * MS_PER_S)}" if wait_s else ""
        path = f"{names.READ_PATH}?topic={topic}&{PARTITION_PARAMETER}&from={first}{wait}"
        call = _Call("GET", topic, "read_changes", path, wait_s=wait_s, timeout_s=timeout_s)
        outcome = self._call(call)
        if isinstance(outcome, client.StoreFailed):
            return outcome
        return self._decode_changes(outcome, from_offset)

    def _decode_changes(
        self, answer: store_records.StoreAnswer, from_offset: int
    ) -> client.ReadOutcome:
        era = positions.find_era(from_offset)
        if answer.era < era:
            return client.StoreFailed("receive", f"response of era {answer.era}, not {era}")
        if answer.status == STATUS_GONE or answer.era > era:
            return client.RecordsExpired()
        if answer.status == STATUS_NOT_FOUND:
            if positions.find_offset(from_offset):
                return client.StoreFailed("read", "status 404 for a topic that had records")
            return client.Records((), from_offset)
        if answer.status != STATUS_OK:
            return client.StoreFailed("read", f"status {answer.status}")
        try:
            return store_records.decode_changes(answer.data, from_offset)
        except exceptions.MalformedEntryError as error:
            return self._reject("decode", str(error))

    def write(self, topic: str, key: str, value: bytes, expected_end: int) -> client.WriteOutcome:
        """Append a record if the topic's end offset is `expected_end`.

        The store knows nothing of the era in which the caller read that offset. If it has come
        back from a copy since, the record may be written there at an equal offset.
        """
        if positions.find_era(expected_end) < self._eras.latest:
            return client.OffsetConflict(positions.create(self._eras.latest, 0))
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        path = f"{names.APPEND_PATH}?topic={topic}&{PARTITION_PARAMETER}"
        path += f"&at={positions.find_offset(expected_end)}"
        body = LENGTH_STRUCT.pack(len(content)) + content
        outcome = self._call(_Call("POST", topic, "write", path, body))
        if isinstance(outcome, client.StoreFailed):
            return outcome
        if outcome.status in NOT_WRITTEN_STATUSES:
            return client.WriteRefused("write", f"status {outcome.status}")
        try:
            if outcome.status == STATUS_OK:
                return self._confirm_write(outcome.read_position("offset"), expected_end)
            if outcome.status == STATUS_PRECONDITION_FAILED:
                return self._report_conflict(outcome.read_position("end_offset"), expected_end)
        except exceptions.MalformedEntryError as error:
            return client.StoreFailed("decode", str(error))
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

    def _call(self, call: _Call) -> store_records.StoreAnswer | client.StoreFailed:
        outcome = self._send(call)
        succeeded = not isinstance(outcome, client.StoreFailed)
        self._calls.count_call(call.topic, call.operation, succeeded=succeeded)
        return outcome

    def _send(self, call: _Call) -> store_records.StoreAnswer | client.StoreFailed:
        timeout = _find_timeout(call)
        try:
            response = bounded_bodies.request(
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
        try:
            era = self._eras.observe(response.headers)
        except exceptions.PlatformError as error:
            return self._reject("receive", str(error))
        return store_records.StoreAnswer(response.status, response.data, era)


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
