"""Backend servers over HTTP."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Final

import urllib3

from goldcresthall.backend import client
from goldcresthall.backend import protocol
from goldcresthall.core import attempts
from goldcresthall.core import leases
from goldcresthall.core import outcomes
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions

if TYPE_CHECKING:
    from goldcresthall.core import identity
    from goldcresthall.core import preset

MS_PER_S = 1_000
STATUS_OK = 200
CONNECT_TIMEOUT_S = 0.25
CONTROL_POOL_SIZE = 2

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

NOT_RUN_REASONS: Final = {
    protocol.NOT_RUN_NOT_OWNER: outcomes.RefusalReason.NOT_OWNER,
    protocol.NOT_RUN_SHED: outcomes.RefusalReason.SERVER_SHED,
}


class HttpBackendClient(client.BackendClient):
    """Keeps one connection pool for work and one for leases for each server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._work_pools: dict[identity.Address, urllib3.HTTPConnectionPool] = {}
        self._lease_pools: dict[identity.Address, urllib3.HTTPConnectionPool] = {}

    def start(self) -> None:
        """Do nothing; connections are opened when needed."""

    def stop(self) -> None:
        """Close all connections."""
        with self._lock:
            for pool in (*self._work_pools.values(), *self._lease_pools.values()):
                pool.close()

    def send(self, dispatch: attempts.Dispatch) -> attempts.Attempt:
        """Send one request to one server and wait for its whole answer."""
        pool = self._find_pool(self._work_pools, dispatch.server.address, dispatch.connection_limit)
        connect_timeout_s = min(CONNECT_TIMEOUT_S, dispatch.timeout_s)
        timeout = urllib3.Timeout(connect=connect_timeout_s, total=dispatch.timeout_s)
        try:
            response = pool.request(
                dispatch.method,
                dispatch.target,
                body=dispatch.body or None,
                headers=_create_headers(dispatch),
                timeout=timeout,
                redirect=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return _classify_error(error)
        return _classify_response(dispatch, response)

    def renew_lease(
        self, server: preset.BackendServer, renewal: leases.Renewal, timeout_s: float
    ) -> leases.LeaseOutcome:
        """Ask a server to let its lease run on."""
        body = documents.encode_document(renewal).encode()
        return self._exchange_lease(server, "POST", body, timeout_s)

    def report_lease(self, server: preset.BackendServer, timeout_s: float) -> leases.LeaseOutcome:
        """Ask a server for its lease without changing it."""
        return self._exchange_lease(server, "GET", None, timeout_s)

    def _exchange_lease(
        self, server: preset.BackendServer, method: str, body: bytes | None, timeout_s: float
    ) -> leases.LeaseOutcome:
        pool = self._find_pool(self._lease_pools, server.address, CONTROL_POOL_SIZE)
        try:
            response = pool.request(
                method, protocol.LEASE_PATH, body=body, timeout=timeout_s, redirect=False
            )
            if response.status != STATUS_OK:
                return leases.LeaseUnanswered(server.name, f"status {response.status}")
            return documents.decode_document(response.data, leases.LeaseReport)
        except (urllib3.exceptions.HTTPError, exceptions.DocumentError) as error:
            return leases.LeaseUnanswered(server.name, str(error))

    def _find_pool(
        self,
        pools: dict[identity.Address, urllib3.HTTPConnectionPool],
        address: identity.Address,
        size: int,
    ) -> urllib3.HTTPConnectionPool:
        pool = pools.get(address)
        if pool is not None:
            return pool
        with self._lock:
            if address not in pools:
                pools[address] = urllib3.HTTPConnectionPool(
                    address.host, address.port, maxsize=size, block=False, retries=False
                )
            return pools[address]


def _create_headers(dispatch: attempts.Dispatch) -> dict[str, str]:
    headers = {
        header.name: header.value
        for header in dispatch.headers
        if header.name.lower() not in HOP_BY_HOP_HEADERS
    }
    headers[protocol.REQUEST_ID_HEADER] = dispatch.request_id
    headers[protocol.DEADLINE_HEADER] = str(int(dispatch.timeout_s * MS_PER_S))
    if dispatch.grant is not None:
        headers[protocol.PARTITION_HEADER] = str(dispatch.grant.partition)
        headers[protocol.EPOCH_HEADER] = str(dispatch.grant.epoch)
    return headers


def _classify_error(error: urllib3.exceptions.HTTPError) -> attempts.Attempt:
    if isinstance(
        error, urllib3.exceptions.NewConnectionError | urllib3.exceptions.ConnectTimeoutError
    ):
        return attempts.AttemptNotRun(
            outcomes.RefusalReason.CONNECT_FAILED, outcomes.Step.CONNECT, str(error)
        )
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_TIMEOUT, outcomes.Step.RECEIVE, str(error)
        )
    if isinstance(error, urllib3.exceptions.IncompleteRead):
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_TRUNCATED, outcomes.Step.RECEIVE, str(error)
        )
    return attempts.AttemptUnknown(
        outcomes.UnknownReason.CONNECTION_LOST, outcomes.Step.RECEIVE, str(error)
    )


def _classify_response(
    dispatch: attempts.Dispatch, response: urllib3.BaseHTTPResponse
) -> attempts.Attempt:
    echoed = response.headers.get(protocol.REQUEST_ID_HEADER)
    if echoed is not None and echoed != dispatch.request_id:
        return attempts.AttemptUnknown(
            outcomes.UnknownReason.ANSWER_MISMATCHED,
            outcomes.Step.RECEIVE,
            f"answer of request {echoed}",
        )
    not_run = response.headers.get(protocol.NOT_RUN_HEADER)
    if not_run in NOT_RUN_REASONS:
        return attempts.AttemptNotRun(
            NOT_RUN_REASONS[not_run],
            outcomes.Step.EXECUTE,
            not_run,
            _parse_retry_after(response.headers.get("Retry-After")),
        )
    headers = tuple(
        outcomes.Header(name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() != "content-length"
    )
    return attempts.AttemptAnswered(outcomes.Answer(response.status, headers, response.data))


def _parse_retry_after(value: str | None) -> float | None:
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None
