"""HTTP client of the platform's log service."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any

import urllib3

from goldcresthall.encoding import bounded_bodies
from goldcresthall.encoding import checked_connections
from goldcresthall.log_service import log_client

if TYPE_CHECKING:
    from goldcresthall.core import settings

MS_PER_S = 1_000
CONNECTION_POOL_SIZE = 4
MAX_BODY_BYTES = 32 * 1_048_576
STATUS_OK = 200
STATUS_REQUEST_TIMEOUT = 408
STATUS_GONE = 410
CLIENT_ERROR_STATUSES = range(400, 500)


class HttpLogClient(log_client.LogClient):
    """Client of the log service at one address; it never retries."""

    def __init__(self, address: str, request_timeout_ms: int, user_agent: str = "") -> None:
        self._timeout_s = request_timeout_ms / MS_PER_S
        host, port = address.rsplit(":", 1)
        self._pool = checked_connections.CheckedPool(
            host,
            int(port),
            maxsize=CONNECTION_POOL_SIZE,
            block=False,
            retries=False,
            headers={"User-Agent": user_agent},
        )

    @classmethod
    def from_config(cls, instance_settings: settings.Settings) -> HttpLogClient:
        """Return a client of the configured log service, with the instance in its User-Agent."""
        platform = instance_settings.platform
        user_agent = f"goldcresthall/{instance_settings.name}"
        return cls(str(platform.log), platform.request_timeout_ms, user_agent)

    def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    def stop(self) -> None:
        """Close all connections."""
        self._pool.close()

    def append(self, entries: tuple[bytes, ...]) -> log_client.AppendOutcome:
        """Append entries contiguously, all or none."""
        encoded = [base64.b64encode(entry).decode() for entry in entries]
        body = json.dumps({"entries": encoded}).encode()
        try:
            response = bounded_bodies.request(
                self._pool,
                "POST",
                "/log/append",
                MAX_BODY_BYTES,
                body=body,
                timeout=self._timeout_s,
            )
            if response.status == STATUS_OK:
                return log_client.Appended(int(json.loads(response.data)["first_offset"]))
        except urllib3.exceptions.NewConnectionError as error:
            return log_client.AppendRefused(f"connect: {error}")
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            return log_client.AppendUnknown(f"receive: {error}")
        if response.status in CLIENT_ERROR_STATUSES and response.status != STATUS_REQUEST_TIMEOUT:
            return log_client.AppendRefused(f"status {response.status}")
        return log_client.AppendUnknown(f"status {response.status}")

    def read(self, from_offset: int, limit: int, wait_ms: int) -> log_client.ReadOutcome:
        """Read entries from an offset on, waiting up to `wait_ms` for the first one."""
        path = f"/log/read?from={from_offset}&limit={limit}&wait_ms={wait_ms}"
        timeout_s = self._timeout_s + wait_ms / MS_PER_S
        try:
            response = bounded_bodies.request(
                self._pool, "GET", path, MAX_BODY_BYTES, timeout=timeout_s
            )
            if response.status not in {STATUS_OK, STATUS_GONE}:
                return log_client.ReadFailed(f"status {response.status}")
            return self._decode_page(response.status, json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            return log_client.ReadFailed(f"receive: {error}")

    def _decode_page(self, status: int, document: Any) -> log_client.ReadOutcome:
        begin_offset = int(document["begin_offset"])
        end_offset = int(document["end_offset"])
        if status == STATUS_GONE:
            return log_client.ReadExpired(begin_offset, end_offset)
        entries = tuple(base64.b64decode(entry) for entry in document["entries"])
        return log_client.LogPage(int(document["first_offset"]), entries, begin_offset, end_offset)
