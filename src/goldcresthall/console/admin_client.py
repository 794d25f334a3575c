"""HTTP client of an instance's admin server."""

from __future__ import annotations

from typing import TypeVar

import urllib3

from goldcresthall.admin import messages
from goldcresthall.console import exceptions
from goldcresthall.encoding import checked_connections
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions as encoding_exceptions

REQUEST_TIMEOUT_S = 10.0
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
View = TypeVar("View")


class AdminClient:
    """Client of one instance's admin server."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = urllib3.PoolManager(retries=False)
        self._pool.pool_classes_by_scheme = {"http": checked_connections.CheckedPool}

    def fetch(self, path: str, target_type: type[View]) -> View:
        """Fetch a page and decode it.

        Raises
        ------
        UnreachableError
            If the instance gives no usable response.
        RefusedError
            If the instance has no such page or object.
        """
        return self._exchange("GET", path, None, target_type)

    def publish(self, publish_request: messages.PublishRequest) -> messages.PublishResult:
        """Ask the instance to put a preset in force.

        Raises
        ------
        UnknownOutcomeError
            If the response is lost.
        RefusedError
            If the instance refuses the preset.
        """
        body = documents.encode_document(publish_request).encode()
        try:
            return self._exchange("POST", "/preset", body, messages.PublishResult)
        except exceptions.UnreachableError as error:
            raise exceptions.UnknownOutcomeError(error.message) from error

    def _exchange(
        self, method: str, path: str, body: bytes | None, target_type: type[View]
    ) -> View:
        try:
            response = self._pool.request(
                method, f"http://{self._address}{path}", body=body, timeout=REQUEST_TIMEOUT_S
            )
            if response.status == STATUS_OK:
                return documents.decode_document(response.data, target_type)
            fault = documents.decode_document(response.data, messages.AdminFault)
        except (urllib3.exceptions.HTTPError, encoding_exceptions.DocumentError) as error:
            raise exceptions.UnreachableError(f"{self._address}: {error}") from error
        raise exceptions.RefusedError("\n".join((f"step {fault.step}", *fault.faults)))
