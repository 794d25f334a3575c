"""HTTP calls whose responses are bounded in bytes and in time."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import urllib3

if TYPE_CHECKING:
    from collections.abc import Iterator


READ_BYTES: Final = 65_536
# The timeout of the library starts anew with each byte.
MAX_BODY_S: Final = 5.0


class BodyBoundError(urllib3.exceptions.HTTPError):
    """The body of a response exceeds a bound, as one without end does."""


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedResponse:
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    data: bytes


def request(
    pool: urllib3.HTTPConnectionPool, method: str, path: str, max_body_bytes: int, **options: Any
) -> BoundedResponse:
    """Send a request and return the response.

    Parameters
    ----------
    options
        Passed to the pool.

    Raises
    ------
    BodyBoundError
        If the body has more than `max_body_bytes` bytes or takes more than `MAX_BODY_S` seconds.
        The connection is closed.
    urllib3.exceptions.HTTPError
        If the exchange fails otherwise.
    """
    response = pool.request(method, path, preload_content=False, redirect=False, **options)
    try:
        # Not `stream`, which waits for a whole block, however slowly its bytes come.
        parts = iter(lambda: response.read1(READ_BYTES, decode_content=True), b"")
        return BoundedResponse(response.status, response.headers, _join(parts, max_body_bytes))
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()


def _join(parts: Iterator[bytes], max_body_bytes: int) -> bytes:
    ends_at_s = time.monotonic() + MAX_BODY_S
    body = bytearray()
    for part in parts:
        body += part
        if len(body) > max_body_bytes:
            raise BodyBoundError(f"the body exceeds {max_body_bytes} bytes")
        if time.monotonic() > ends_at_s:
            raise BodyBoundError(f"the body takes more than {MAX_BODY_S} s")
    return bytes(body)
