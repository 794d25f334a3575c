"""A caller's request, free of the front end it came through."""

from __future__ import annotations

import dataclasses

from goldcresthall.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's request as the router sees it.

    Attributes
    ----------
    service
        Service that the caller named; empty if a route decides.
    host
        Host that the caller named; empty if the service is named instead.
    path
        Path within the service, beginning with a slash, without the query.
    raw_target
        Path and query as received, percent-encoded, to be passed on unchanged;
        empty to pass on `path` and `query`.
    key
        Key named by the caller apart from the path; empty if none.
    idempotency_key
        Caller's name for this piece of work; empty if none.
    received_at_s
        Reading of the instance's monotonic clock when the request arrived.
    deadline_s
        Reading of the same clock by which the caller must have an answer;
        none if the preset's deadline for the route applies.
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
