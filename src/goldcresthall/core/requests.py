"""A caller's request, independent of the front end that received it."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's request to the router.

    Attributes
    ----------
    service
        Service named by the caller; empty if the route determines it.
    host
        Host named by the caller; empty if the service is named instead.
    path
        Path within the service, with a leading slash, without the query.
    raw_target
        Path and query as received, percent-encoded, to be forwarded unchanged;
        empty to forward `path` and `query`.
    key
        Key named by the caller separately from the path; empty if none.
    idempotency_key
        Caller's identifier of the operation, the same for all retries; empty if none.
    received_at_s
        Reading of the instance's monotonic clock when the request arrived.
    deadline_s
        Reading of the same clock by which the caller must have a response;
        `None` if only the route's own deadline applies.
    """

    request_id: str
    service: str
    method: str
    path: str
    host: str = ""
    query: str = ""
    raw_target: str = ""
    key: str = ""
    idempotency_key: str = ""
    headers: tuple[outcomes.Header, ...] = ()
    body: bytes = b""
    received_at_s: float
    deadline_s: float | None = None
