"""HTTP client of backend servers."""

from __future__ import annotations

import http.client
import threading
import time
from typing import TYPE_CHECKING
from typing import Final

import urllib3

from goldcresthall.backend import client
from goldcresthall.backend import connections
from goldcresthall.backend import protocol
from goldcresthall.backend import responses
from goldcresthall.core import attempts
from goldcresthall.core import leases
from goldcresthall.core import outcomes
from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import preset

MS_PER_S = 1_000
STATUS_OK = 200
CONNECT_TIMEOUT_S = 0.25
LEASE_POOL_SIZE = 2
MAX_BODY_BYTES = 32 * 1_048_576
READ_BYTES = 1_048_576
MAX_LEASE_BODY_BYTES = 1_048_576

NOT_FORWARDED: Final = responses.HOP_BY_HOP_HEADERS | {
    protocol.PARTITION_HEADER.lower(),
    protocol.EPOCH_HEADER.lower(),
}


class HttpBackendClient(client.BackendClient):
    """Keeps two connection pools for each server, one for requests and one for leases."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._work_pools: dict[identity.Address, connections.ConnectionPool] = {}
        self._lease_pools: dict[identity.Address, urllib3.HTTPConnectionPool] = {}

    def start(self) -> None:
        """Do nothing; connections are opened when needed."""

    def stop(self) -> None:
        """Close all connections."""
        with self._lock:
            for work_pool in self._work_pools.values():
                work_pool.close()
            for lease_pool in self._lease_pools.values():
                lease_pool.close()

    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Send one request to one server and wait for the complete response."""
        ends_at_s = time.monotonic() + dispatch.timeout_s
        pool = self._find_work_pool(dispatch.server.address)
        connection = None if dispatch.sent_before else pool.acquire()
        if connection is None:
            try:
                connection = pool.connect(min(CONNECT_TIMEOUT_S, dispatch.timeout_s))
            except (urllib3.exceptions.HTTPError, OSError) as error:
                return responses.classify_connect_error(error)
        attempt = _exchange(connection, dispatch, ends_at_s)
        if _may_be_kept(connection, attempt, dispatch):
            pool.release(connection)
        else:
            connection.close()
        return attempt

    def probe(
        self, server: preset.BackendServer, timeout_s: float
    ) -> attempts.ServerSignals | None:
        """Return a server's health signals, or `None` if it gives no valid response."""
        pool = self._find_lease_pool(server.address)
        try:
            response = bounded_bodies.request(
                pool, "GET", protocol.HEALTH_PATH, MAX_LEASE_BODY_BYTES, timeout=timeout_s
            )
        except urllib3.exceptions.HTTPError:
            return None
        return responses.read_signals(response.headers) if response.status == STATUS_OK else None

    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Renew a server's lease."""
        body = documents.encode_document(renewal).encode()
        return self._exchange_lease(server, "POST", body, timeout_s)

    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Query a server's lease without changing it."""
        return self._exchange_lease(server, "GET", None, timeout_s)

    def _exchange_lease(
        self, server: preset.BackendServer, method: str, body: bytes | None, timeout_s: float
    ) -> leases.LeaseOutcome:
        pool = self._find_lease_pool(server.address)
        try:
            response = bounded_bodies.request(
                pool,
                method,
                protocol.LEASE_PATH,
                MAX_LEASE_BODY_BYTES,
                body=body,
                timeout=timeout_s,
            )
            if response.status != STATUS_OK:
                return leases.LeaseUnanswered(server.name, f"status {response.status}")
            return documents.decode_document(response.data, leases.LeaseReport)
        except (urllib3.exceptions.HTTPError, exceptions.DocumentError) as error:
            return leases.LeaseUnanswered(server.name, str(error))

    def _find_work_pool(self, address: identity.Address) -> connections.ConnectionPool:
        pool = self._work_pools.get(address)
        if pool is not None:
            return pool
        with self._lock:
            return self._work_pools.setdefault(address, connections.ConnectionPool(address))

    def _find_lease_pool(self, address: identity.Address) -> urllib3.HTTPConnectionPool:
        with self._lock:
            if address not in self._lease_pools:
                self._lease_pools[address] = checked_connections.CheckedPool(
                    address.host, address.port, maxsize=LEASE_POOL_SIZE, retries=False
                )
            return self._lease_pools[address]


def _may_be_kept(
    connection: connections.BackendConnection,
    attempt: attempts.Attempt,
    dispatch: attempts.Dispatch,
) -> bool:
    is_known = not isinstance(attempt, attempts.AttemptUnknown)
    return is_known and connection.is_echoing and not _is_body_unread(attempt, dispatch)


def _is_body_unread(attempt: attempts.Attempt, dispatch: attempts.Dispatch) -> bool:
    """Return whether the server may still read the request's body as the next request."""
    return isinstance(attempt, attempts.AttemptNotRun) and bool(dispatch.body)


def _exchange(
    connection: connections.BackendConnection, dispatch: attempts.Dispatch, ends_at_s: float
) -> attempts.Attempt:
    remaining_s = ends_at_s - time.monotonic()
    if remaining_s <= 0:
        return attempts.AttemptNotRun(
            outcomes.RefusalReason.DEADLINE_EXPIRED,
            outcomes.Step.SEND,
            "expired before sending",
        )
    connection.timeout = remaining_s
    try:
        connection.request(
            dispatch.method,
            dispatch.target,
            body=dispatch.body or None,
            headers=_create_headers(dispatch, remaining_s),
            preload_content=False,
            decode_content=False,
        )
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError) as error:
        connection.close()
        return responses.classify_send_error(error)
    return _receive(connection, dispatch, ends_at_s)


def _receive(
    connection: connections.BackendConnection, dispatch: attempts.Dispatch, ends_at_s: float
) -> attempts.Attempt:
    connection.timeout = max(0.0, ends_at_s - time.monotonic())
    try:
        response = connection.getresponse()
        body = _read_body(response)
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError) as error:
        return responses.classify_receive_error(error)
    if len(body) > MAX_BODY_BYTES:
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_TOO_LARGE,
            outcomes.Step.RECEIVE,
            f"the body exceeds {MAX_BODY_BYTES} bytes",
        )
    connection.response_count += 1
    connection.is_echoing = protocol.REQUEST_ID_HEADER in response.headers
    return responses.classify_response(
        dispatch.request_id,
        response.status,
        response.headers,
        body,
        is_first=connection.response_count == 1,
    )


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return a body, or its first part if it has more than `MAX_BODY_BYTES` bytes."""
    body = bytearray()
    while len(body) <= MAX_BODY_BYTES:
        part = response.read(READ_BYTES, decode_content=False)
        if not part:
            break
        body += part
    return bytes(body)


def _create_headers(dispatch: attempts.Dispatch, remaining_s: float) -> dict[str, str]:
    headers = {
        header.name: header.value
        for header in dispatch.headers
        if header.name.lower() not in NOT_FORWARDED
    }
    headers[protocol.REQUEST_ID_HEADER] = dispatch.request_id
    headers[protocol.DEADLINE_HEADER] = str(int(remaining_s * MS_PER_S))
    if dispatch.grant is not None:
        headers[protocol.PARTITION_HEADER] = str(dispatch.grant.partition)
        headers[protocol.EPOCH_HEADER] = str(dispatch.grant.epoch)
    return headers
